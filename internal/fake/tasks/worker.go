// Package tasks simulates the platform's executor on one VM, in memory. The time is an
// argument of each method, so tests can use virtual time.
//
// Like the platform's executor, a Worker starts every run that it is ordered to start, even
// beyond its capacity, unless it guards that; the Witness records such faults of the scheduler.
package tasks

import (
	"cmp"
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

const (
	// stopDuration is how long a run takes to stop.
	stopDuration = 100 * time.Millisecond
	// crashDelay is the time from the start of a run that crashes the worker to the crash.
	crashDelay = 10 * time.Millisecond
)

// Worker is a simulated worker with its successive incarnations. Create it with New.
type Worker struct {
	id string
	// startedAt is the time at which the incarnation started.
	startedAt time.Time
	// lives is the number of incarnations so far.
	lives int
	// SetBack is how far the time of day was set back when the incarnation started.
	SetBack time.Duration
	// ClockDrift is the fraction by which the worker's clock is fast, negative if it is slow. It must
	// be set before the worker's first lease.
	ClockDrift float64
	capacity   place.Resources
	// earlier holds the capacities before the latest changes, the oldest first.
	earlier []earlierCapacity
	// heartbeats is the number of heartbeats of the incarnation.
	heartbeats int64
	plan       func(task string, run uint32) Plan
	witness    *Witness
	// fencingToken is the highest token of the orders so far; orders with a lower one are
	// rejected.
	fencingToken uint64
	// deadline is the end of the lease, on the worker's clock.
	deadline time.Duration
	runs     []*run
	// lastOver holds the highest run number of each task that was stopped or has ended.
	lastOver map[string]uint32
	// ended holds the run ends that were not acknowledged yet, by number.
	ended []msgs.RunEnd
	// forgotten holds the acknowledged run ends, if RepeatsEnds is set.
	forgotten []msgs.RunEnd
	// endedAt holds the times of the incarnation's run ends, by number.
	endedAt map[int64]time.Time
	// endCount is the number of run ends of the incarnation.
	endCount int64
	// lastExpiredEnd is the number of the last run end before the latest expiry of the lease.
	// The witness ignores later acknowledgements of ends up to this number.
	lastExpiredEnd int64
	// odd holds the incarnation's run ends that cannot be decoded, by number. Oddity, if set,
	// returns what cannot be decoded of the next one.
	odd    map[int64]Oddity
	Oddity func() Oddity
	// Dead is set while no process listens at the worker's address.
	Dead bool
	// GuardsCapacity is set if the worker refuses to start what exceeds its capacity.
	GuardsCapacity bool
	// RepeatsEnds is set if the worker lists each run end twice, also those that were acknowledged.
	RepeatsEnds bool
	// ShrinkNotice is how long a capacity still counts after the worker has shrunk. The
	// Witness records starts beyond it.
	ShrinkNotice time.Duration
}

type run struct {
	task      string
	number    uint32
	plan      Plan
	startedAt time.Time
	// stoppingSince is the time of the first order to stop, zero before it.
	stoppingSince time.Time
	// gangOutcome is the outcome of the run's gang, 0 until another member has ended.
	gangOutcome msgs.Outcome
	saves       saves
}

// New returns a worker whose first incarnation starts at now. The plan function returns the
// behavior of each run.
func New(now time.Time, id string, capacity place.Resources, plan func(task string, run uint32) Plan, w *Witness) *Worker {
	worker := &Worker{id: id, capacity: capacity, plan: plan, witness: w}
	worker.Restart(now)
	return worker
}

// Restart starts a new incarnation, which keeps no state of the earlier one.
func (w *Worker) Restart(now time.Time) {
	for _, r := range w.runs {
		w.witness.leave(r, msgs.Lost)
		w.witness.ended(now, w.id, r.task, r.number, msgs.Lost)
	}
	w.startedAt, w.fencingToken, w.deadline, w.runs, w.ended, w.endCount, w.lastExpiredEnd = now, 0, 0, nil, nil, 0, 0
	w.heartbeats, w.earlier, w.forgotten = 0, nil, nil
	w.lives++
	w.lastOver, w.endedAt = map[string]uint32{}, map[int64]time.Time{}
	w.odd = map[int64]Oddity{}
	w.Dead = false
}

// Replace starts another worker, with its own id, in place of one that has ended.
func (w *Worker) Replace(now time.Time, id string) {
	w.Restart(now)
	w.id = id
}

// Kill ends the incarnation. No process listens until the next Restart.
func (w *Worker) Kill(now time.Time) {
	for _, r := range w.runs {
		w.witness.crashed(r)
	}
	w.Restart(now)
	w.Dead = true
}

// Crash ends the incarnation if a run that crashes the worker has started crashDelay ago, and
// reports whether it has. No process listens until the next Restart.
func (w *Worker) Crash(now time.Time) bool {
	if !slices.ContainsFunc(w.runs, func(r *run) bool { return r.plan.Crashes && now.Sub(r.startedAt) >= crashDelay }) {
		return false
	}
	w.Kill(now)
	return true
}

// Incarnation returns the number of the incarnation: its start time in Unix milliseconds, by the
// time of day then.
func (w *Worker) Incarnation() int64 { return w.startedAt.Add(-w.SetBack).UnixMilli() }

// Age returns the time since the incarnation started.
func (w *Worker) Age(now time.Time) time.Duration { return now.Sub(w.startedAt) }

// Heartbeat returns the heartbeat that the worker sends at now.
func (w *Worker) Heartbeat(now time.Time) port.Heartbeat {
	w.heartbeats++
	return port.Heartbeat{
		Seq:   w.heartbeats,
		VM:    msgs.VM{ID: w.id, Incarnation: w.Incarnation(), Service: "registry", Zone: "mx-a", Capacity: w.capacity},
		Clock: w.clock(now),
	}
}

// clock returns the worker's monotonic clock, which starts at 1s in each incarnation.
func (w *Worker) clock(now time.Time) time.Duration {
	return time.Duration(float64(now.Sub(w.startedAt))*(1+w.ClockDrift)) + time.Second
}

// ID returns the worker's id.
func (w *Worker) ID() string { return w.id }

// Advance ends the runs that have finished, have stopped or have lost their lease by now.
func (w *Worker) Advance(now time.Time) {
	var remaining []*run
	if w.clock(now) > w.deadline {
		w.lastExpiredEnd = w.endCount
	}
	for _, r := range w.runs {
		w.advanceSaves(now, r)
		switch {
		case w.clock(now) > w.deadline:
			w.endRun(now, r, msgs.LeaseExpired)
		case w.advanceMember(now, r):
		case !r.stoppingSince.IsZero() && now.Sub(r.stoppingSince) >= stopDuration:
			w.endRun(now, r, msgs.Stopped)
		case r.plan.Fails && w.witness.workDone(now, r):
			w.endRun(now, r, msgs.Failed)
		case w.witness.workDone(now, r):
			w.endRun(now, r, msgs.Done)
		default:
			remaining = append(remaining, r)
		}
	}
	w.runs = remaining
}

func (w *Worker) endRun(now time.Time, r *run, o msgs.Outcome) {
	checkpoint := w.saveAtEnd(now, r, o)
	w.witness.leave(r, o)
	w.endCount++
	w.endedAt[w.endCount] = now
	if w.Oddity != nil {
		w.odd[w.endCount] = w.Oddity()
	}
	w.ended = append(w.ended, msgs.RunEnd{Number: w.endCount, Task: r.task, Run: r.number, Outcome: o, Checkpoint: checkpoint})
	w.lastOver[r.task] = max(w.lastOver[r.task], r.number)
	w.witness.ended(now, w.id, r.task, r.number, o)
}

// check returns the error if an order is refused, and records its fencing token otherwise. The
// order may name no worker.
func (w *Worker) check(id string, fencingToken uint64) error {
	switch {
	case w.Dead:
		return port.ErrNoWorker
	case id != w.id && id != "":
		return port.ErrWorkerReplaced
	case fencingToken < w.fencingToken:
		return port.ErrRunFenced
	}
	w.fencingToken = fencingToken
	return nil
}

// Start carries out an order to start a run. Repeating the order has no effect.
func (w *Worker) Start(now time.Time, o port.StartOrder) error {
	w.Advance(now)
	if err := w.check(o.Worker, o.FencingToken); err != nil {
		return err
	}
	w.witness.checkTexts(now, w.id, o, w.plan(o.Task, o.Run).Members)
	w.deadline = max(w.deadline, o.Deadline)
	if slices.ContainsFunc(w.runs, func(r *run) bool { return r.task == o.Task && r.number == o.Run }) {
		return nil
	}
	switch {
	case o.Run <= w.lastOver[o.Task]:
		return port.ErrRunOver
	case w.clock(now) > o.Deadline:
		return port.ErrRunLate
	}
	r := &run{task: o.Task, number: o.Run, plan: w.plan(o.Task, o.Run), startedAt: now}
	if w.GuardsCapacity && !w.capacity.Covers(w.used().Plus(r.plan.Size)) {
		w.witness.noteRefused()
		return port.ErrRunCapacity
	}
	w.witness.takeOrder(now, w, r, o)
	w.runs = append(w.runs, r)
	w.witness.started(now, w, r)
	w.witness.join(now, r)
	return nil
}

// Stop carries out an order to stop a run, which ends after stopDuration. A later order to
// start the run is refused.
func (w *Worker) Stop(now time.Time, o port.Order) error {
	w.Advance(now)
	if err := w.check(o.Worker, o.FencingToken); err != nil {
		return err
	}
	w.lastOver[o.Task] = max(w.lastOver[o.Task], o.Run)
	for _, r := range w.runs {
		if r.task == o.Task && r.number == o.Run && r.stoppingSince.IsZero() {
			r.stoppingSince = now
		}
	}
	return nil
}

// Poll returns the present runs and the run ends without acknowledgement. It also extends
// the lease. The result is valid beside port.ErrOddEnds.
func (w *Worker) Poll(now time.Time, poll port.Poll) (port.PollResult, error) {
	w.Advance(now)
	if err := w.check(poll.Worker, poll.FencingToken); err != nil {
		return port.PollResult{}, err
	}
	w.deadline = max(w.deadline, poll.Deadline)
	w.witness.recordAck(w, poll.Seen)
	w.forget(poll.Seen)
	ended, err := w.listEnds()
	result := port.PollResult{Incarnation: w.Incarnation(), Clock: w.clock(now), Ended: slices.Concat(ended, w.forgotten)}
	for _, r := range w.runs {
		status := msgs.RunStatus{Task: r.task, Run: r.number, Checkpoint: r.saves.latest, Percent: 100}
		if r.plan.Work > 0 {
			status.Percent = int(100 * w.witness.progress(now, r) / r.plan.Work)
		}
		result.Running = append(result.Running, status)
	}
	slices.SortFunc(result.Running, func(a, b msgs.RunStatus) int { return cmp.Compare(a.Task, b.Task) })
	return result, err
}
