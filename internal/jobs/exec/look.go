package exec

import (
	"errors"
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

// lookWait is how long the worker waits for an end before it answers.
const lookWait = 400 * time.Millisecond

// Poll returns the next question to the worker, or false if there is none to ask. The
// worker answers at once if patient is not set.
func (a *Agent) Poll(now time.Time, patient bool) (port.Poll, bool) {
	if !a.present || a.epoch == 0 {
		return port.Poll{}, false
	}
	a.lookAt = now
	l := port.Poll{Worker: a.vm.ID, FencingToken: a.fence(), Seen: a.seen}
	if a.unsure {
		l.Seen = 0
	}
	if d := a.lease(now); d > a.deadline {
		a.deadline = d
	}
	if a.lease(now) > 0 {
		l.Deadline = a.deadline
	}
	if patient && !a.NeedsSync() && len(a.ends) == 0 {
		l.Wait = lookWait
	}
	return l, true
}

// NeedsSync reports whether the leader waits to hear what runs.
func (a *Agent) NeedsSync() bool { return a.joined && a.present && !a.synced }

// Polled takes the answer to a look.
func (a *Agent) Polled(now time.Time, l port.Poll, v port.PollResult, err error) {
	if l.Worker != a.vm.ID {
		return
	}
	a.unsure = err != nil && v.Clock == 0
	if a.unsure {
		a.blind(now, err)
		return
	}
	if err != nil {
		a.log.Warn("left out rows of the worker's answer", "vm", a.vm.ID, "err", err)
	}
	a.absentSince = time.Time{}
	switch {
	case v.Life != 0 && v.Life < a.vm.Life:
		return
	case v.Life > a.vm.Life:
		a.renew(now, v.Life)
	}
	// The clock showed v.Clock before now, so a lease computed from it ends early
	// rather than late.
	if v.Clock >= a.clock {
		a.clock, a.clockAt = v.Clock, now
	}
	a.takeRows(v.Running, v.Ended)
	fresh := a.takeEnds(v.Ended)
	a.settleDoubts()
	if a.NeedsSync() && l.FencingToken == a.fence() {
		a.sync(now)
		return
	}
	if fresh {
		a.report()
	}
	if a.synced && now.Sub(a.beatAt) >= beatAfter {
		a.beat(now, false)
	}
}

// sync tells the leader all that runs and has ended. The ends follow the beat, which
// tells the worker's life that they are of.
func (a *Agent) sync(now time.Time) {
	a.synced = true
	a.beat(now, true)
	a.report()
}

// takeRows notes what is present. Runs that nobody here has ordered come from before
// the agent was started.
func (a *Agent) takeRows(rows []msgs.RunStatus, ended []msgs.RunEnd) {
	for _, r := range a.runs {
		r.listed = false
	}
	for _, row := range rows {
		k := key{row.Task, row.Run}
		if slices.ContainsFunc(ended, func(e msgs.RunEnd) bool { return e.Task == row.Task && e.Run == row.Run }) {
			continue
		}
		r := a.runs[k]
		if r == nil {
			r = &run{start: msgs.Start{Task: row.Task, Run: row.Run}}
			a.runs[k] = r
		}
		r.row, r.present, r.listed = row, true, true
	}
}

// takeEnds notes new ends and reports whether there are any.
func (a *Agent) takeEnds(ended []msgs.RunEnd) bool {
	fresh := false
	for _, e := range ended {
		if e.Number <= a.seen || slices.ContainsFunc(a.ends, func(x msgs.RunEnd) bool { return x.Number == e.Number }) {
			continue
		}
		delete(a.runs, key{e.Task, e.Run})
		a.ends = append(a.ends, e)
		fresh = true
		a.log.Info("run ended at the worker", "task", e.Task, "run", e.Run, "vm", a.vm.ID, "outcome", e.Outcome, "number", e.Number)
	}
	return fresh
}

// settleDoubts decides about runs that may not be present, by a list from after the
// doubt arose: what is neither present nor ended never began and never will.
func (a *Agent) settleDoubts() {
	for k, r := range a.runs {
		if r.doubted == "" || !a.lookAt.After(r.doubtedAt) {
			continue
		}
		if r.listed {
			r.doubted = ""
			continue
		}
		a.lose(k, r.doubted)
	}
}

// blind deals with a look that failed.
func (a *Agent) blind(now time.Time, err error) {
	switch {
	case errors.Is(err, port.ErrNoWorker):
		if a.absentSince.IsZero() {
			a.absentSince = now
			a.log.Info("no worker listens", "vm", a.vm.ID, "err", err)
		}
		if now.Sub(a.absentSince) >= absentAfter {
			a.over(now, "no worker listens at its address")
		}
		return
	case errors.Is(err, port.ErrWorkerReplaced):
		a.over(now, "another worker answers at its address")
		return
	}
	a.absentSince = time.Time{}
	if a.lapsed(now) && a.present {
		a.over(now, "the worker is silent and its lease has ended")
	}
}
