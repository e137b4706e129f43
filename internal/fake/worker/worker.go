// Package worker is a small stand-in for the platform's executor on one VM,
// with switches for its faults and a record of what it really ran.
package worker

import (
	"context"
	"errors"
	"fmt"
	"hash/crc32"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/ident"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// Errors of a worker.
var (
	ErrSilent = errors.New("worker does not answer")
)

// Faults are the switches of a Worker.
type Faults struct {
	// FailAll makes every attempt and request fail at once.
	FailAll bool
	// Silent makes every call fail.
	Silent bool
	// Stall is added to each request.
	Stall time.Duration
}

// Config describes a worker.
type Config struct {
	VM       string
	Capacity *schema.Size
	// ServiceTime is how long a request takes on an undisturbed VM.
	ServiceTime time.Duration
	// Slowdown returns the speed of a service beside kinds, 1 for full speed.
	Slowdown func(service string, kinds []string) float64
	// Now tells the time; nil means time.Now.
	Now func() time.Time
	// Witness may be nil.
	Witness *Witness
}

// Worker implements port.Worker. Make it with New. It is safe for concurrent
// use.
type Worker struct {
	cfg Config

	mu     sync.Mutex
	faults Faults
	dead   bool
	tasks  map[ident.Attempt]*task
	// stopped holds attempts that were stopped; they never start again.
	stopped map[ident.Attempt]bool
}

type task struct {
	assignment *schema.Assignment
	// done is the work done up to at.
	done       time.Duration
	at         time.Time
	share      uint32
	leaseUntil time.Time
	ended      bool
	failed     bool
}

// New returns a worker without tasks.
func New(cfg Config) *Worker {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Worker{cfg: cfg, tasks: map[ident.Attempt]*task{}, stopped: map[ident.Attempt]bool{}}
}

// Set changes the switches.
func (w *Worker) Set(f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// Kill ends everything on the VM, as when it loses power.
func (w *Worker) Kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	w.dead = true
	for id, t := range w.tasks {
		if !t.ended {
			w.cfg.Witness.ended(w.cfg.VM, id, w.cfg.Now(), Killed)
		}
	}
	w.tasks = map[ident.Attempt]*task{}
}

func (w *Worker) reachable() error {
	if w.dead || w.faults.Silent {
		return ErrSilent
	}
	return nil
}

// Serve implements port.Worker: it answers with the request's id and a checksum
// of its body.
func (w *Worker) Serve(ctx context.Context, req port.Request) (port.Response, error) {
	took, err := w.Admit(req)
	if err != nil {
		return port.Response{}, err
	}
	w.mu.Lock()
	fails := w.faults.FailAll
	w.mu.Unlock()
	if fails {
		return port.Response{Status: http.StatusInternalServerError, Body: []byte("failing")}, nil
	}
	select {
	case <-time.After(took):
	case <-ctx.Done():
		return port.Response{}, ctx.Err()
	}
	return Answer(req), nil
}

// Answer is the answer that a worker gives to a request.
func Answer(req port.Request) port.Response {
	sum := strconv.FormatUint(uint64(crc32.ChecksumIEEE(req.Body)), 16)
	body := fmt.Appendf(nil, "{\"id\":%q,\"path\":%q,\"sum\":%q}\n", req.ID, req.Path, sum)
	header := http.Header{"Content-Type": {"application/json"}}
	return port.Response{Status: http.StatusOK, Header: header, Body: body}
}

func (w *Worker) serves(team, service string) bool {
	for _, t := range w.tasks {
		a := t.assignment
		if a.GetService() && a.GetTeam() == team && a.GetKind() == service && !t.ended {
			return true
		}
	}
	return false
}

func (w *Worker) speed(service string) float64 {
	if w.cfg.Slowdown == nil {
		return 1
	}
	var kinds []string
	for _, t := range w.tasks {
		if !t.assignment.GetService() && !t.ended && t.share > 0 {
			kinds = append(kinds, t.assignment.GetTeam()+"/"+t.assignment.GetKind())
		}
	}
	return w.cfg.Slowdown(service, kinds)
}

// Start implements port.Worker.
func (w *Worker) Start(_ context.Context, a *schema.Assignment, lease time.Duration) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.reachable(); err != nil {
		return err
	}
	w.advance()
	id := ident.AttemptOf(a.GetTask())
	if w.tasks[id] != nil {
		return nil
	}
	if w.stopped[id] {
		return fmt.Errorf("%w: it was stopped", port.ErrRefused)
	}
	now := w.cfg.Now()
	t := &task{assignment: a, at: now, share: 100, done: decodeCheckpoint(a.GetCheckpoint())}
	if lease > 0 {
		t.leaseUntil = now.Add(lease)
	}
	t.ended, t.failed = w.faults.FailAll, w.faults.FailAll
	w.tasks[id] = t
	w.cfg.Witness.started(w.cfg.VM, id, now, a.GetSize(), w.used(), w.cfg.Capacity)
	if t.ended {
		w.cfg.Witness.ended(w.cfg.VM, id, now, Failed)
	}
	return nil
}

func (w *Worker) used() *schema.Size {
	sum := &schema.Size{}
	for _, t := range w.tasks {
		if t.ended {
			continue
		}
		sum.CpuMilli += t.assignment.GetSize().GetCpuMilli()
		sum.MemoryMb += t.assignment.GetSize().GetMemoryMb()
		sum.Accelerators += t.assignment.GetSize().GetAccelerators()
	}
	return sum
}

// advance brings the tasks up to now: work goes on, leases end.
func (w *Worker) advance() {
	now := w.cfg.Now()
	for id, t := range w.tasks {
		if t.ended || t.assignment.GetService() {
			continue
		}
		until := now
		lapsed := !t.leaseUntil.IsZero() && !now.Before(t.leaseUntil)
		if lapsed {
			until = t.leaseUntil
		}
		if until.After(t.at) {
			t.done += until.Sub(t.at) * time.Duration(t.share) / 100
			t.at = until
		}
		work := time.Duration(t.assignment.GetWorkMs()) * time.Millisecond
		switch {
		case t.done >= work:
			t.ended = true
			end := until.Add(-(t.done - work))
			w.cfg.Witness.ended(w.cfg.VM, id, end, Finished)
		case lapsed:
			w.cfg.Witness.ended(w.cfg.VM, id, t.leaseUntil, Lapsed)
			delete(w.tasks, id)
			w.stopped[id] = true
		}
	}
}

// Settle records what came to its end so far, also if nobody asks any more.
func (w *Worker) Settle() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
}

// Stop implements port.Worker.
func (w *Worker) Stop(_ context.Context, ref *schema.TaskRef, mode port.StopMode) ([]byte, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.reachable(); err != nil {
		return nil, err
	}
	w.advance()
	id := ident.AttemptOf(ref)
	t := w.tasks[id]
	if t != nil && t.ended && mode == port.Checkpoint {
		return nil, port.ErrEnded
	}
	w.stopped[id] = true
	delete(w.tasks, id)
	if t == nil || t.ended {
		w.cfg.Witness.settled(w.cfg.VM, id, mode)
		return nil, nil
	}
	w.cfg.Witness.ended(w.cfg.VM, id, w.cfg.Now(), Stopped)
	if mode != port.Checkpoint {
		return nil, nil
	}
	return encodeCheckpoint(t.done), nil
}

func encodeCheckpoint(done time.Duration) []byte {
	return strconv.AppendInt(nil, done.Milliseconds(), 10)
}

func decodeCheckpoint(token []byte) time.Duration {
	ms, _ := strconv.ParseInt(string(token), 10, 64)
	return time.Duration(ms) * time.Millisecond
}

// Throttle implements port.Worker.
func (w *Worker) Throttle(_ context.Context, ref *schema.TaskRef, percent uint32) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.reachable(); err != nil {
		return err
	}
	w.advance()
	if t := w.tasks[ident.AttemptOf(ref)]; t != nil {
		t.share = percent
	}
	return nil
}

// Renew implements port.Worker.
func (w *Worker) Renew(_ context.Context, lease time.Duration) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.reachable(); err != nil {
		return err
	}
	w.advance()
	for _, t := range w.tasks {
		if !t.leaseUntil.IsZero() {
			t.leaseUntil = w.cfg.Now().Add(lease)
		}
	}
	return nil
}

// List implements port.Worker.
func (w *Worker) List(context.Context) ([]*schema.WorkerTask, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.reachable(); err != nil {
		return nil, err
	}
	w.advance()
	tasks := make([]*schema.WorkerTask, 0, len(w.tasks))
	for _, t := range w.tasks {
		a := t.assignment
		entry := &schema.WorkerTask{
			Task: a.GetTask(), Phase: schema.Phase_PHASE_RUNNING, Size: a.GetSize(), Used: a.GetSize(),
			Ended: t.ended, Failed: t.failed, Assignment: a, Checkpoint: encodeCheckpoint(t.done), SharePercent: t.share,
		}
		if t.failed {
			entry.Reason = "the worker fails everything"
		}
		if a.GetService() {
			entry.SpeedPercent = uint32(100 * w.speed(a.GetTeam()+"/"+a.GetKind()))
			entry.Checkpoint = nil
		}
		tasks = append(tasks, entry)
	}
	return tasks, nil
}

// Admit begins a request in tests that keep their own time: it fails if the VM
// is dead or runs no replica, and records the request as run otherwise. It
// returns how long the request takes.
func (w *Worker) Admit(req port.Request) (time.Duration, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.reachable(); err != nil {
		return 0, err
	}
	if !w.serves(req.Team, req.Service) {
		return 0, fmt.Errorf("%w: no replica of %s/%s here", port.ErrNotStarted, req.Team, req.Service)
	}
	w.cfg.Witness.served(w.cfg.VM, req.ID)
	took := w.cfg.ServiceTime + w.faults.Stall
	if speed := w.speed(req.Team + "/" + req.Service); speed > 0 {
		took = time.Duration(float64(took) / speed)
	}
	return took, nil
}
