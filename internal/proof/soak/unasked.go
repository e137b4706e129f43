package soak

import (
	"context"
	"fmt"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/fake/tasks"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

const (
	// cancelDelay is the time after the response to a cancellation within which a task of the job
	// may still start, and after which its runs have to stop.
	cancelDelay = 3 * time.Second
	// contactDelay is how long a VM counts as disturbed after the end of a fault.
	contactDelay = 3 * time.Second
	// stopTime is how long a simulated worker takes to stop a run.
	stopTime = 100 * time.Millisecond
	// maxLease is the longest lease that a worker grants. It bounds the runs on VMs that are
	// disturbed all the while.
	maxLease = 6 * time.Second
	// runsInterval is the time between two looks at what the workers run.
	runsInterval = 100 * time.Millisecond
)

// checkStart returns the rules that a start breaks: it must be of a task that a caller asked
// for, with the payload of its job, and not later than cancelDelay after the job was cancelled.
// Only faults of the VM itself excuse a later start.
func (f *fleet) checkStart(now time.Time, worker string, o port.StartOrder) (broken []string) {
	add := func(format string, args ...any) {
		what := fmt.Sprintf("%s: %s run %d starts on %s ", now.Format("05.000"), o.Task, o.Run, worker)
		broken = append(broken, what+fmt.Sprintf(format, args...))
	}
	j, _, found := f.jobs.find(o.Task)
	switch {
	case j == nil:
		add("but nobody submitted its job")
		return broken
	case !found:
		add("but its job has no such task")
	}
	if o.Payload != j.payload {
		add("with payload %.200q, want %.200q", o.Payload, j.payload)
	}
	f.jobs.update(func() {
		j.started = true
		late := now.Sub(j.goneAt)
		if !j.goneAt.IsZero() && late > cancelDelay && now.Sub(f.byID[worker].disturbed.calmSince(now)) > contactDelay {
			add("%s after the response %d to the cancellation of its job", late.Round(time.Millisecond), j.goneStatus)
		}
	})
	return broken
}

// runWatch checks that the runs of cancelled jobs end.
type runWatch struct {
	fleet *fleet
	// reported holds the runs of which a violation is recorded.
	reported map[tasks.Run]bool
}

// watch checks all runs until ctx ends.
func (w *runWatch) watch(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		for _, v := range w.fleet.vms {
			for _, r := range v.runs() {
				w.check(now, v, r)
			}
		}
		sleep(ctx, runsInterval)
	}
}

// runs returns what the VM's worker runs.
func (v *vm) runs() (list []tasks.Run) {
	v.worker.Do(func(w *tasks.Worker) { list = w.Runs(time.Now()) })
	return list
}

// check records a violation if a run of a cancelled job has outlasted its bounds.
func (w *runWatch) check(now time.Time, v *vm, r tasks.Run) {
	j, _, _ := w.fleet.jobs.find(r.Task)
	if j == nil || w.reported[r] {
		return
	}
	var goneAt time.Time
	var status int
	w.fleet.jobs.update(func() { goneAt, status = j.goneAt, j.goneStatus })
	if goneAt.IsZero() || !now.After(w.fleet.runBound(now, v, r, goneAt)) {
		return
	}
	w.reported[r] = true
	w.fleet.jobs.addFault("%s run %d, started %s after the response %d to the cancellation of its job, runs on %s %s after it",
		r.Task, r.Number, r.StartedAt.Sub(goneAt).Round(time.Millisecond), status, v.id, now.Sub(goneAt).Round(time.Millisecond))
}

// runBound returns when a run has to be over whose job was cancelled at goneAt: after a calm
// stretch in which it could be stopped, or else when the store has been sound for the time of a
// lease that nobody extends. A run that an order started late counts from contactDelay after its
// start.
func (f *fleet) runBound(now time.Time, v *vm, r tasks.Run, goneAt time.Time) time.Time {
	from := goneAt
	if r.StartedAt.Sub(goneAt) > cancelDelay {
		from = r.StartedAt.Add(contactDelay)
	}
	sound := latest(from, f.storeDisturbed.calmSince(now))
	calm := latest(sound, latest(v.disturbed.calmSince(now), f.entriesDisturbed.calmSince(now)))
	stretch, lease := calm.Add(cancelDelay+stopTime), sound.Add(cancelDelay+maxLease+stopTime)
	if lease.Before(stretch) {
		return lease
	}
	return stretch
}

// latest returns the later one of two times.
func latest(t, u time.Time) time.Time {
	if t.After(u) {
		return t
	}
	return u
}
