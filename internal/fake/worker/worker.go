// Package worker simulates the platform's executor on one VM. It can inject faults, and it
// records which attempts and requests it ran.
package worker

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/ident"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// Errors of a worker.
var (
	// ErrUnresponsive is returned by each call while the worker does not respond.
	ErrUnresponsive = errors.New("worker does not answer")
)

// Faults selects what a Worker does wrong. With the zero value it works.
type Faults struct {
	// FailAll makes every new attempt and request fail at once.
	FailAll bool
	// Silent makes every call fail.
	Silent bool
	// Stall is added to the time of each request.
	Stall time.Duration
}

// Config holds the properties of a worker.
type Config struct {
	VM       string
	Capacity *schema.Size
	// ServiceTime is how long a request takes at full speed.
	ServiceTime time.Duration
	// Speed returns the speed of a service beside attempts of the given kinds of batch work,
	// 1 for full speed. If it is nil, services run at full speed.
	Speed func(service string, kinds []string) float64
	// UsageLag is the age of the speeds and processor shares that the worker reports.
	UsageLag time.Duration
	// Now returns the time; nil means time.Now.
	Now func() time.Time
	// Witness records what the worker runs; it may be nil.
	Witness *Witness
}

// Worker implements port.Worker. Create it with New. It is safe for concurrent use.
type Worker struct {
	cfg Config

	mu     sync.Mutex
	faults Faults
	dead   bool
	tasks  map[ident.Attempt]*task
	// usage holds the samples of the last UsageLag and the one before them, oldest first.
	usage []usageSample
	// stopped holds the attempts that were stopped; they cannot start again.
	stopped map[ident.Attempt]bool
}

// New returns a worker without tasks.
func New(cfg Config) *Worker {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Worker{cfg: cfg, tasks: map[ident.Attempt]*task{}, stopped: map[ident.Attempt]bool{}}
}

// Set replaces the current faults.
func (w *Worker) Set(f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// Kill ends the worker and all its attempts, as when the VM loses power.
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

// reachable returns the error of a call if the worker does not respond.
func (w *Worker) reachable() error {
	if w.dead || w.faults.Silent {
		return ErrUnresponsive
	}
	return nil
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
	t := &task{assignment: a, updatedAt: now, sharePercent: 100, done: decodeCheckpoint(a.GetCheckpoint())}
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

// RecordEnds records the ends of attempts up to now, also of a worker that gets no more calls.
func (w *Worker) RecordEnds() {
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
		w.cfg.Witness.outputDecided(w.cfg.VM, id, mode)
		return nil, nil
	}
	w.cfg.Witness.ended(w.cfg.VM, id, w.cfg.Now(), Stopped)
	if mode != port.Checkpoint {
		return nil, nil
	}
	return encodeCheckpoint(t.done), nil
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
		t.sharePercent = percent
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
	usage := w.delayedUsage()
	tasks := make([]*schema.WorkerTask, 0, len(w.tasks))
	for id, t := range w.tasks {
		a := t.assignment
		entry := &schema.WorkerTask{
			Task: a.GetTask(), Phase: schema.Phase_PHASE_RUNNING, Size: a.GetSize(), Used: a.GetSize(),
			Ended: t.ended, Failed: t.failed, Assignment: a, Checkpoint: encodeCheckpoint(t.done),
			SpeedPercent: usage[id].speed, SharePercent: usage[id].sharePercent,
		}
		if t.failed {
			entry.Reason = "the worker fails everything"
		}
		if a.GetService() {
			entry.Checkpoint = nil
		}
		tasks = append(tasks, entry)
	}
	return tasks, nil
}
