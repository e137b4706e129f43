package runner

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/ident"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// Start asks for an attempt to be started; Started reports what came of it.
type Start struct {
	Assignment *schema.Assignment
	// Lease is how long the worker may run it without a renewal; 0 is no bound.
	Lease time.Duration
}

// Stop asks for an attempt to be stopped; Stopped reports what came of it.
type Stop struct {
	Attempt ident.Attempt
	Mode    port.StopMode
}

func (s stopReason) mode() port.StopMode {
	switch s {
	case stopEvict:
		return port.Checkpoint
	case stopConfirm:
		return port.Confirm
	}
	return port.Discard
}

// Actions returns what is to be done at the worker now. Each is asked for once,
// until its outcome is reported.
func (r *Runner) Actions(now time.Time) (stops []Stop, starts []Start) {
	if !r.listed {
		return nil, nil
	}
	r.markStops(now)
	for _, id := range r.sorted() {
		a := r.attempts[id]
		if a.stop != keep && !a.asked {
			a.asked = true
			a.phase = schema.Phase_PHASE_STOPPING
			stops = append(stops, Stop{id, a.stop.mode()})
		}
	}
	return stops, r.starts(now)
}

func (r *Runner) markStops(now time.Time) {
	assigned := make(map[ident.Attempt]*schema.Assignment, len(r.assigned))
	for _, as := range r.assigned {
		assigned[ident.AttemptOf(as.GetTask())] = as
	}
	lapsed := !now.Before(r.leaseUntil.Add(-stopBefore))
	for id, a := range r.attempts {
		service := a.assignment.GetService()
		if a.stop != keep || a.ended || a.phase == schema.Phase_PHASE_STARTING {
			continue
		}
		as, ok := assigned[id]
		switch {
		case r.assigned != nil && !ok && !r.unconfirmed(now):
			a.stop = stopDiscard
		case r.leaving && !service, ok && as.GetEvict():
			a.stop = stopEvict
		case lapsed && !service && !r.leaseUntil.IsZero():
			r.stats.LeaseLapses++
			a.stop = stopEvict
		}
	}
}

// unconfirmed reports whether the assignments may be older than the attempts
// because the VM holds no lease.
func (r *Runner) unconfirmed(now time.Time) bool { return !now.Before(r.leaseUntil) }

func (r *Runner) starts(now time.Time) []Start {
	if !now.Before(r.leaseUntil.Add(-stopBefore)) {
		return nil
	}
	var starts []Start
	for _, as := range r.assigned {
		id := ident.AttemptOf(as.GetTask())
		if r.attempts[id] != nil || r.results[id] != nil || as.GetEvict() {
			continue
		}
		if r.leaving {
			r.refuse(id, "the VM is leaving")
			continue
		}
		if !r.ledger.Reserve(id, as.GetSize()) {
			if !r.ledger.Fits(as.GetSize()) || !r.stopping() {
				r.refuse(id, "no room on the VM")
			}
			continue
		}
		r.attempts[id] = &attempt{assignment: as, phase: schema.Phase_PHASE_STARTING, reportedAt: now}
		start := Start{Assignment: as}
		if !as.GetService() {
			start.Lease = r.leaseUntil.Sub(now)
		}
		starts = append(starts, start)
	}
	return starts
}

// refuse gives back an attempt that was not started.
func (r *Runner) refuse(id ident.Attempt, reason string) {
	r.stats.Refused++
	r.results[id] = &schema.Result{Task: id.Ref(), Outcome: schema.Outcome_OUTCOME_REFUSED, Reason: reason}
}

func (r *Runner) stopping() bool {
	for _, a := range r.attempts {
		if a.stop != keep {
			return true
		}
	}
	return false
}

// Started reports the outcome of a Start: refused with the reason in err, done,
// or unknown with another err.
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
		// The start may still take effect; a stop makes certain that it does not.
		a.phase, a.stop = schema.Phase_PHASE_RUNNING, stopEvict
	default:
		r.stats.Started++
		a.phase = schema.Phase_PHASE_RUNNING
	}
}

// Stopped reports the outcome of a Stop. After an error it is asked for again,
// unless the next Listed shows that the attempt has ended.
func (r *Runner) Stopped(id ident.Attempt, checkpoint []byte, err error) {
	a := r.attempts[id]
	if a == nil {
		return
	}
	if err != nil {
		a.asked = false
		return
	}
	if a.stop == stopEvict {
		r.stats.Evicted++
		r.finish(id, a, schema.Outcome_OUTCOME_EVICTED, checkpoint, "evicted")
	}
	r.drop(id)
}
