package exec

import (
	"errors"
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

// pollWait is how long the worker waits for an end before it answers.
const pollWait = 400 * time.Millisecond

// Poll returns the next question to the worker, or false if there is none to ask. The
// worker answers at once if patient is not set.
func (a *Agent) Poll(now time.Time, patient bool) (port.Poll, bool) {
	if !a.present || a.epoch == 0 {
		return port.Poll{}, false
	}
	a.pollStart = now
	p := port.Poll{Worker: a.vm.ID, FencingToken: a.fencingToken(), Seen: a.storedEnd}
	if a.pollFailed {
		p.Seen = 0
	}
	if d := a.leaseDeadline(now); d > a.deadline {
		a.deadline = d
	}
	if a.leaseDeadline(now) > 0 {
		p.Deadline = a.deadline
	}
	if patient && !a.NeedsSync() && len(a.ends) == 0 {
		p.Wait = pollWait
	}
	return p, true
}

// NeedsSync reports whether the leader waits to hear what runs.
func (a *Agent) NeedsSync() bool { return a.connected && a.present && !a.synced }

// Polled takes the answer to a look.
func (a *Agent) Polled(now time.Time, p port.Poll, res port.PollResult, err error) {
	if p.Worker != a.vm.ID {
		return
	}
	a.pollFailed = err != nil && res.Clock == 0
	if a.pollFailed {
		a.handlePollError(now, err)
		return
	}
	if err != nil {
		a.log.Warn("left out rows of the worker's answer", "vm", a.vm.ID, "err", err)
	}
	a.noWorkerSince = time.Time{}
	switch {
	case res.Life != 0 && res.Life < a.vm.Life:
		return
	case res.Life > a.vm.Life:
		a.newIncarnation(now, res.Life)
	}
	// The clock showed v.Clock before now, so a lease computed from it ends early
	// rather than late.
	if res.Clock >= a.workerClock {
		a.workerClock, a.workerClockAt = res.Clock, now
	}
	a.updateRuns(res.Running, res.Ended)
	fresh := a.addEnds(res.Ended)
	a.resolveUnconfirmed()
	if a.NeedsSync() && p.FencingToken == a.fencingToken() {
		a.sync(now)
		return
	}
	if fresh {
		a.reportEnds()
	}
	if a.synced && now.Sub(a.requestedAt) >= requestAfterPoll {
		a.requestLease(now, false)
	}
}

// sync tells the leader all that runs and has ended. The ends follow the beat, which
// tells the worker's life that they are of.
func (a *Agent) sync(now time.Time) {
	a.synced = true
	a.requestLease(now, true)
	a.reportEnds()
}

// updateRuns notes what is present. Runs that nobody here has ordered come from before
// the agent was started.
func (a *Agent) updateRuns(rows []msgs.RunStatus, ended []msgs.RunEnd) {
	for _, r := range a.runs {
		r.listed = false
	}
	for _, status := range rows {
		k := runKey{status.Task, status.Run}
		if slices.ContainsFunc(ended, func(e msgs.RunEnd) bool { return e.Task == status.Task && e.Run == status.Run }) {
			continue
		}
		r := a.runs[k]
		if r == nil {
			r = &run{start: msgs.Start{Task: status.Task, Run: status.Run}}
			a.runs[k] = r
		}
		r.status, r.present, r.listed = status, true, true
	}
}

// addEnds notes new ends and reports whether there are any.
func (a *Agent) addEnds(ended []msgs.RunEnd) bool {
	fresh := false
	for _, e := range ended {
		if e.Number <= a.storedEnd || slices.ContainsFunc(a.ends, func(x msgs.RunEnd) bool { return x.Number == e.Number }) {
			continue
		}
		delete(a.runs, runKey{e.Task, e.Run})
		a.ends = append(a.ends, e)
		fresh = true
		a.log.Info("run ended at the worker", "task", e.Task, "run", e.Run, "vm", a.vm.ID, "outcome", e.Outcome, "number", e.Number)
	}
	return fresh
}

// resolveUnconfirmed decides about runs that may not be present, by a list from after the
// doubt arose: what is neither present nor ended never began and never will.
func (a *Agent) resolveUnconfirmed() {
	for k, r := range a.runs {
		if r.unconfirmedReason == "" || !a.pollStart.After(r.unconfirmedAt) {
			continue
		}
		if r.listed {
			r.unconfirmedReason = ""
			continue
		}
		a.reportLost(k, r.unconfirmedReason)
	}
}

// handlePollError deals with a look that failed.
func (a *Agent) handlePollError(now time.Time, err error) {
	switch {
	case errors.Is(err, port.ErrNoWorker):
		if a.noWorkerSince.IsZero() {
			a.noWorkerSince = now
			a.log.Info("no worker listens", "vm", a.vm.ID, "err", err)
		}
		if now.Sub(a.noWorkerSince) >= noWorkerTimeout {
			a.workerGone(now, "no worker listens at its address")
		}
		return
	case errors.Is(err, port.ErrWorkerReplaced):
		a.workerGone(now, "another worker answers at its address")
		return
	}
	a.noWorkerSince = time.Time{}
	if a.leaseExpired(now) && a.present {
		a.workerGone(now, "the worker is silent and its lease has ended")
	}
}
