package exec

import (
	"errors"
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

// pollWait is how long the worker waits for a run to end before it responds to a poll.
const pollWait = 400 * time.Millisecond

// missingTimeout is how long a run that was present must be missing from the lists before it is
// stopped. One end stands for all members of a gang: by then, the leader has heard of that end, or
// the lease of the VM where it is listed has expired.
const missingTimeout = 10 * time.Second

// Poll returns the next poll of the worker, or false if there is no worker to poll. If
// mayWait is not set, the worker responds without waiting for a run to end. The poll after a
// failed one only asks, because another incarnation of the worker may respond to it. That one
// then refuses all orders that were sent before. For the same reason, the agent polls whatever
// worker there is if it knows of none.
func (a *Agent) Poll(now time.Time, mayWait bool) (port.Poll, bool) {
	switch {
	case a.epoch == 0:
		return port.Poll{}, false
	case a.tokenIncarnation == 0:
		a.fenceOrders(now)
		a.searchUntil = now.Add(maxOrderDelay)
		a.noteLate(now, maxOrderDelay)
	case a.pollFailed:
		a.fenceOrders(now)
	}
	if !a.present {
		return a.searchPoll(now, mayWait), now.Before(a.searchUntil)
	}
	p := port.Poll{Worker: a.vm.ID, FencingToken: a.fencingToken(), Seen: a.storedEnd, StartedAt: now}
	if a.pollFailed {
		p.Seen = 0
		return p, true
	}
	if d := a.leaseDeadline(now); d > a.deadline {
		a.deadline = d
	}
	if a.leaseDeadline(now) > 0 {
		p.Deadline = a.deadline
	}
	if mayWait && a.confirmed && !a.NeedsSync() && len(a.ends) == 0 {
		p.Wait = pollWait
	}
	return p, true
}

// NeedsSync reports whether the connected leader has not been sent the present runs yet.
func (a *Agent) NeedsSync() bool { return a.connected && a.present && !a.synced }

// Polled processes the result of a poll. If err is not nil but the worker's clock is set,
// the result is valid except for runs that could not be decoded. If only ends could not, a run
// that the result does not name is not present all the same.
func (a *Agent) Polled(now time.Time, p port.Poll, res port.PollResult, err error) {
	search := !a.present && p.Worker == a.gone.ID
	if p.Worker != a.vm.ID && !search {
		return
	}
	failed := err != nil && res.Clock == 0
	if failed && errors.Is(err, port.ErrRunFenced) && p.FencingToken == a.fencingToken() {
		a.exceedFence(now)
	}
	a.pollFailed = failed
	if search {
		a.searched(now, res, err)
	}
	switch {
	case !a.present:
		return
	case failed:
		if a.silentSince.IsZero() {
			a.silentSince = now
		}
		a.handlePollError(now, err)
		return
	}
	a.silentSince, a.fencedPolls = time.Time{}, 0
	if err != nil {
		a.log.Warn("left out runs that could not be decoded from the worker's response", "vm", a.vm.ID, "err", err)
	}
	a.noWorkerSince = time.Time{}
	if !a.answered(now, p, res) {
		return
	}
	// The reading was taken before now, so a lease computed from it ends early rather
	// than late.
	if res.Clock >= a.workerClock {
		a.workerClock, a.workerClockAt = res.Clock, now
	}
	complete := (err == nil || errors.Is(err, port.ErrOddEnds)) && !res.Incomplete
	unknown := a.updateRuns(res.Running, res.Ended, complete)
	a.proveRuns(now)
	a.repeatLimits(now)
	added := a.addEnds(res.Ended, p.Seen)
	if complete {
		a.resolveUnconfirmed(p.StartedAt)
		a.stopMissing(now)
	}
	if a.NeedsSync() && p.FencingToken == a.fencingToken() {
		a.sync(now)
		return
	}
	if added {
		a.reportEnds()
	}
	if a.synced && (unknown || now.Sub(a.requestedAt) >= requestAfterPoll) {
		a.requestLease(now, false)
	}
}

// sync sends the leader all runs and all unstored ends. The ends follow the lease request
// because the leader ignores ends of an incarnation that no lease request has announced.
func (a *Agent) sync(now time.Time) {
	a.synced = true
	a.requestLease(now, true)
	a.reportEnds()
}

// updateRuns records which runs are present. It adds runs that this process did not order, and
// reports whether there are any: they were started before the agent restarted, or by an order
// that the worker carried out late. A list that is not complete may leave out a run that goes on.
func (a *Agent) updateRuns(statuses []msgs.RunStatus, ended []msgs.RunEnd, complete bool) bool {
	unknown := false
	for _, r := range a.runs {
		if complete {
			r.gone = r.seen
		}
		r.listed = false
	}
	for _, status := range statuses {
		k := runKey{status.Task, status.Run}
		if slices.ContainsFunc(ended, func(e msgs.RunEnd) bool { return e.Task == status.Task && e.Run == status.Run }) {
			continue
		}
		r := a.runs[k]
		if r == nil {
			r = &run{start: msgs.Start{Task: status.Task, Run: status.Run}, proven: true}
			a.runs[k] = r
			unknown = true
		}
		r.status, r.present, r.seen, r.listed, r.gone = status, true, true, true, false
		r.missingSince = time.Time{}
	}
	return unknown
}

// addEnds adds the ends that are new and reports whether there are any. An end whose number
// could not be decoded gets the lowest that it may have, as ends are listed in the order of
// their numbers: it was not listed before, so its number is higher than those that were. Then no
// report that lacks the end makes it count as stored, and storing it acknowledges no later end.
// The list holds the ends with numbers above seen. If others were stored meanwhile, an end without
// its number may be one of them, which the next list does not hold any more.
func (a *Agent) addEnds(ended []msgs.RunEnd, seen int64) bool {
	lowest := a.storedEnd + 1
	for _, e := range a.ends {
		lowest = max(lowest, e.Number+1)
	}
	added := false
	for _, e := range ended {
		k := runKey{e.Task, e.Run}
		if e.Number == 0 {
			if seen < a.storedEnd || a.unnumbered[k] || a.hasEnd(k) {
				continue
			}
			a.unnumbered[k] = true
			e.Number = lowest
		}
		if e.Number <= a.storedEnd || slices.ContainsFunc(a.ends, func(x msgs.RunEnd) bool {
			return x.Number == e.Number && x.Task == e.Task && x.Run == e.Run
		}) {
			continue
		}
		delete(a.runs, k)
		a.ends = append(a.ends, e)
		added = true
		a.log.Info("run ended at the worker", "task", e.Task, "run", e.Run, "vm", a.vm.ID, "outcome", e.Outcome, "number", e.Number,
			"life", a.vm.Incarnation, "stored", a.storedEnd, "epoch", a.epoch)
	}
	return added
}

// resolveUnconfirmed decides whether unconfirmed runs are present, from the result of a poll
// that started at startedAt. It decides only those that became unconfirmed before. A run that is neither present nor ended has
// never started and never will, so it is reported as lost.
func (a *Agent) resolveUnconfirmed(startedAt time.Time) {
	for k, r := range a.runs {
		if r.unconfirmedReason == "" || !startedAt.After(r.unconfirmedAt) {
			continue
		}
		if r.listed {
			r.unconfirmedReason = ""
			continue
		}
		a.reportLost(k, r.unconfirmedReason)
	}
}

// stopMissing stops the runs that were present, but that no complete list has named for
// missingTimeout, neither as present nor as ended: their ends could not be decoded or were
// forgotten. If the worker runs one nevertheless, it is listed as stopped. One whose stop is
// confirmed is lost.
func (a *Agent) stopMissing(now time.Time) {
	for k, r := range a.runs {
		switch {
		case r.listed, !r.present:
		case a.hasEnd(k):
			delete(a.runs, k) // a list that arrived late named it after its end
		case r.missingSince.IsZero():
			r.missingSince = now
		case now.Sub(r.missingSince) >= missingTimeout:
			const reason = "the worker lists neither the run nor its end"
			if !r.stopping {
				a.abandon(k, r, reason)
			} else if r.stopConfirmed {
				a.reportLost(k, reason)
			}
		}
	}
}

// handlePollError decides whether the worker is gone after a poll that failed.
func (a *Agent) handlePollError(now time.Time, err error) {
	switch {
	case errors.Is(err, port.ErrNewConnection):
		a.log.Info("polls again without lease and acknowledgements, as the worker may have restarted", "vm", a.vm.ID, "life", a.vm.Incarnation, "err", err)
		return
	case errors.Is(err, port.ErrNoWorker):
		if a.noWorkerSince.IsZero() {
			a.noWorkerSince = now
			a.log.Info("no worker listens", "vm", a.vm.ID, "err", err)
		}
		if now.Sub(a.noWorkerSince) >= noWorkerTimeout {
			a.noteCrash(now)
			a.workerGone(now, "no process listens at the worker's address")
		}
		return
	case errors.Is(err, port.ErrWorkerReplaced):
		a.noteCrash(now)
		a.workerGone(now, "another worker answers at the worker's address")
		return
	}
	a.noWorkerSince = time.Time{}
	if a.leaseExpired(now) {
		a.workerGone(now, "the worker does not respond and its lease has expired")
	}
}
