// Package tasks is a stand-in for the platform's executor on one VM, in memory. Time
// is an argument, so tests run it in virtual time.
//
// Like the platform's, it starts whatever it is told, also beyond its capacity; the
// Witness notes what must never happen.
package tasks

import (
	"cmp"
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

// stopFor is how long a run takes to stop.
const stopFor = 100 * time.Millisecond

// Plan says how a run of a task goes.
type Plan struct {
	Size place.Resources
	// Work is how long it takes; 0 lasts.
	Work time.Duration
	// Fails is set if it then fails.
	Fails bool
}

// Worker is one worker with its lives. Make it with New.
type Worker struct {
	id       string
	born     time.Time
	capacity place.Resources
	plan     func(task string, run uint32) Plan
	witness  *Witness
	fence    uint64
	deadline time.Duration
	runs     []*run
	// over holds the highest run of each task that was stopped or has ended.
	over  map[string]uint32
	ended []msgs.RunEnd
	count int64
	// void is the highest end before which the lease has lapsed: what is taken note of
	// later does not count.
	void int64
	// Dead is set while no process listens.
	Dead bool
}

type run struct {
	task     string
	number   uint32
	plan     Plan
	began    time.Time
	stopping time.Time
}

// New returns a worker that starts to live at now.
func New(now time.Time, id string, capacity place.Resources, plan func(task string, run uint32) Plan, w *Witness) *Worker {
	worker := &Worker{id: id, capacity: capacity, plan: plan, witness: w}
	worker.Restart(now)
	return worker
}

// Restart begins a new life, which knows nothing of before.
func (w *Worker) Restart(now time.Time) {
	for _, r := range w.runs {
		w.witness.ended(now, w.id, r.task, r.number, msgs.Lost)
	}
	w.born, w.fence, w.deadline, w.runs, w.ended, w.count, w.void = now, 0, 0, nil, nil, 0, 0
	w.over = map[string]uint32{}
	w.Dead = false
}

// Kill ends the life.
func (w *Worker) Kill(now time.Time) {
	w.Restart(now)
	w.Dead = true
}

// Incarnation returns when the life began, in Unix milliseconds.
func (w *Worker) Incarnation() int64 { return w.born.UnixMilli() }

// Heartbeat returns the worker's announcement.
func (w *Worker) Heartbeat(now time.Time) port.Heartbeat {
	return port.Heartbeat{
		VM:    msgs.VM{ID: w.id, Incarnation: w.Incarnation(), Service: "registry", Zone: "mx-a", Capacity: w.capacity},
		Clock: w.clock(now),
	}
}

func (w *Worker) clock(now time.Time) time.Duration { return now.Sub(w.born) + time.Second }

// Advance lets runs end that are done, stopped or without a lease.
func (w *Worker) Advance(now time.Time) {
	var left []*run
	if w.clock(now) > w.deadline {
		w.void = w.count
	}
	for _, r := range w.runs {
		switch {
		case w.clock(now) > w.deadline:
			w.end(now, r, msgs.LeaseExpired)
		case !r.stopping.IsZero() && now.Sub(r.stopping) >= stopFor:
			w.end(now, r, msgs.Stopped)
		case r.plan.Work > 0 && now.Sub(r.began) >= r.plan.Work && r.plan.Fails:
			w.end(now, r, msgs.Failed)
		case r.plan.Work > 0 && now.Sub(r.began) >= r.plan.Work:
			w.end(now, r, msgs.Done)
		default:
			left = append(left, r)
		}
	}
	w.runs = left
}

func (w *Worker) end(now time.Time, r *run, o msgs.Outcome) {
	w.count++
	w.ended = append(w.ended, msgs.RunEnd{Number: w.count, Task: r.task, Run: r.number, Outcome: o})
	w.over[r.task] = max(w.over[r.task], r.number)
	w.witness.ended(now, w.id, r.task, r.number, o)
}

// check returns why an order is refused, and notes its fence.
func (w *Worker) check(id string, fence uint64) error {
	switch {
	case w.Dead:
		return port.ErrNoWorker
	case id != w.id:
		return port.ErrWorkerReplaced
	case fence < w.fence:
		return port.ErrRunFenced
	}
	w.fence = fence
	return nil
}

// Start carries out an order to start.
func (w *Worker) Start(now time.Time, o port.StartOrder) error {
	w.Advance(now)
	if err := w.check(o.Worker, o.FencingToken); err != nil {
		return err
	}
	w.deadline = max(w.deadline, o.Deadline)
	if slices.ContainsFunc(w.runs, func(r *run) bool { return r.task == o.Task && r.number == o.Run }) {
		return nil
	}
	switch {
	case o.Run <= w.over[o.Task]:
		return port.ErrRunOver
	case w.clock(now) > o.Deadline:
		return port.ErrRunLate
	}
	r := &run{task: o.Task, number: o.Run, plan: w.plan(o.Task, o.Run), began: now}
	w.runs = append(w.runs, r)
	w.witness.started(now, w, r)
	return nil
}

// Stop carries out an order to stop.
func (w *Worker) Stop(now time.Time, o port.Order) error {
	w.Advance(now)
	if err := w.check(o.Worker, o.FencingToken); err != nil {
		return err
	}
	w.over[o.Task] = max(w.over[o.Task], o.Run)
	for _, r := range w.runs {
		if r.task == o.Task && r.number == o.Run && r.stopping.IsZero() {
			r.stopping = now
		}
	}
	return nil
}

// Poll answers what is present and has ended.
func (w *Worker) Poll(now time.Time, l port.Poll) (port.PollResult, error) {
	w.Advance(now)
	if err := w.check(l.Worker, l.FencingToken); err != nil {
		return port.PollResult{}, err
	}
	w.deadline = max(w.deadline, l.Deadline)
	w.witness.seen(w, l.Seen)
	w.ended = slices.DeleteFunc(w.ended, func(e msgs.RunEnd) bool { return e.Number <= l.Seen })
	v := port.PollResult{Incarnation: w.Incarnation(), Clock: w.clock(now), Ended: slices.Clone(w.ended)}
	for _, r := range w.runs {
		row := msgs.RunStatus{Task: r.task, Run: r.number, Percent: 100}
		if r.plan.Work > 0 {
			row.Percent = int(100 * now.Sub(r.began) / r.plan.Work)
		}
		v.Running = append(v.Running, row)
	}
	slices.SortFunc(v.Running, func(a, b msgs.RunStatus) int { return cmp.Compare(a.Task, b.Task) })
	return v, nil
}
