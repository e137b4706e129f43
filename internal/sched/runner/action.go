package runner

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/ident"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// Start is a request to start an attempt. Its outcome is passed to Started.
type Start struct {
	Assignment *schema.Assignment
	// Lease is how long the worker may run the attempt without a renewal; 0 means
	// without limit.
	Lease time.Duration
}

// Stop is a request to stop an attempt. Its outcome is passed to Stopped.
type Stop struct {
	Attempt ident.Attempt
	Mode    port.StopMode
}

// mode returns how the worker is to stop an attempt for this reason.
func (s stopReason) mode() port.StopMode {
	switch s {
	case stopEvict:
		return port.Checkpoint
	case stopConfirm:
		return port.Confirm
	}
	return port.Discard
}

// Actions returns the attempts that the worker is to stop and to start now. An
// action is not returned again until its outcome has been passed to Stopped or
// Started.
func (r *Runner) Actions(now time.Time) (stops []Stop, starts []Start) {
	if !r.listed {
		return nil, nil
	}
	r.markStops(now)
	for _, id := range r.sortedIDs() {
		a := r.attempts[id]
		if a.stop != stopNone && !a.stopRequested {
			a.stopRequested = true
			a.phase = schema.Phase_PHASE_STOPPING
			stops = append(stops, Stop{id, a.stop.mode()})
		}
	}
	return stops, r.starts(now)
}

// markStops sets the stop reason of the attempts that must be stopped.
func (r *Runner) markStops(now time.Time) {
	assigned := make(map[ident.Attempt]*schema.Assignment, len(r.assigned))
	for _, as := range r.assigned {
		assigned[ident.AttemptOf(as.GetTask())] = as
	}
	expiring := !now.Before(r.leaseUntil.Add(-stopMargin))
	for id, a := range r.attempts {
		service := a.assignment.GetService()
		if a.stop != stopNone || a.ended || a.phase == schema.Phase_PHASE_STARTING {
			continue
		}
		as, ok := assigned[id]
		switch {
		case r.assigned != nil && !ok && !r.leaseExpired(now):
			a.stop = stopDiscard
		case r.leaving && (!service || r.stopReplicas), ok && as.GetEvict():
			a.stop = stopEvict
		case expiring && !service && !r.leaseUntil.IsZero():
			r.stats.LeaseLapses++
			a.stop = stopEvict
		}
	}
}

// leaseExpired reports whether the VM holds no lease. The assignments may then be
// older than the attempts, so an attempt is not stopped for being missing from them.
func (r *Runner) leaseExpired(now time.Time) bool { return !now.Before(r.leaseUntil) }

// starts returns the assigned attempts to start, and refuses those that the VM
// cannot run.
func (r *Runner) starts(now time.Time) []Start {
	if !now.Before(r.leaseUntil.Add(-stopMargin)) {
		return nil
	}
	var starts []Start
	for _, as := range r.assigned {
		id := ident.AttemptOf(as.GetTask())
		if r.attempts[id] != nil || r.results[id] != nil {
			continue
		}
		switch {
		case r.leaving:
			r.refuse(id, "the VM is leaving")
			continue
		case as.GetEvict():
			r.refuse(id, "evicted before it started")
			continue
		}
		if !r.ledger.Reserve(id, as.GetSize()) {
			if !r.ledger.Fits(as.GetSize()) || !r.stopping() {
				r.refuse(id, "no room on the VM")
			}
			continue
		}
		r.attempts[id] = &attempt{assignment: as, phase: schema.Phase_PHASE_STARTING, checkpointedAt: now}
		start := Start{Assignment: as}
		if !as.GetService() {
			start.Lease = r.leaseUntil.Sub(now)
		}
		starts = append(starts, start)
	}
	return starts
}

// refuse reports to the leader that an attempt was not started, and why.
func (r *Runner) refuse(id ident.Attempt, reason string) {
	r.stats.Refused++
	r.results[id] = &schema.Result{Task: id.Ref(), Outcome: schema.Outcome_OUTCOME_REFUSED, Reason: reason}
}

// stopping reports whether an attempt is being stopped, which will free capacity.
func (r *Runner) stopping() bool {
	for _, a := range r.attempts {
		if a.stop != stopNone {
			return true
		}
	}
	return false
}

// Started handles the outcome of a Start. The attempt was refused for the reason
// err if refused is true, and started if err is nil. After any other error it may
// or may not have started.
func (r *Runner) Started(id ident.Attempt, refused bool, err error) {
	a := r.attempts[id]
	if a == nil {
		return
	}
	switch {
	case refused:
		r.stats.Refused++
		r.finish(id, a, schema.Outcome_OUTCOME_REFUSED, nil, err.Error())
		r.drop(id)
	case err != nil:
		// The start may still take effect; stopping the attempt prevents that.
		a.phase, a.stop = schema.Phase_PHASE_RUNNING, stopEvict
	default:
		r.stats.Started++
		a.phase = schema.Phase_PHASE_RUNNING
	}
}

// Stopped handles the outcome of a Stop. After an error, Actions returns the Stop
// again unless the next call of Listed shows that the attempt has ended.
func (r *Runner) Stopped(id ident.Attempt, checkpoint []byte, err error) {
	a := r.attempts[id]
	if a == nil {
		return
	}
	if err != nil {
		a.stopRequested = false
		return
	}
	if a.stop == stopEvict {
		r.stats.Evicted++
		r.finish(id, a, schema.Outcome_OUTCOME_EVICTED, checkpoint, "evicted")
	}
	r.drop(id)
}
