package exec

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/digest"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

// fullSpeed is the speed limit with which a worker starts a run, in percent.
const fullSpeed = 100

const (
	// retryDelay is the delay before a call is tried again. For stops it doubles with each
	// try, up to maxStopDelay.
	retryDelay   = 30 * time.Millisecond
	maxStopDelay = 240 * time.Millisecond
)

// Orders processes the leader's orders. It ignores orders of an earlier leader and orders
// for another incarnation of the worker.
func (a *Agent) Orders(now time.Time, o *msgs.Orders) {
	if o.Epoch != a.epoch || o.VM != a.vm.ID || o.Incarnation != a.vm.Incarnation {
		a.log.Info("ignored orders of another leader or for another incarnation", "epoch", o.Epoch, "latest", a.epoch, "vm", o.VM, "life", o.Incarnation, "starts", len(o.Starts))
		return
	}
	if stale := o.Follows != 0 && o.Follows < a.listSeq; len(o.Starts) > 0 && (stale || !a.synced) {
		// The leader gave them before it knew of the present runs, and orders again what it wants.
		a.log.Info("ignored orders to start runs until the leader knows the present ones", "epoch", o.Epoch, "vm", o.VM, "life", o.Incarnation, "starts", len(o.Starts))
		o.Starts = nil
	}
	a.noteSizes(o)
	for i := range o.Starts {
		a.start(now, o.Starts[i])
	}
	for _, s := range o.Stops {
		a.stop(now, s)
	}
	for _, p := range o.Throttles {
		a.throttle(runKey{p.Task, p.Run}, p.Percent)
	}
}

// start processes an order to start a run, which may have been given before.
func (a *Agent) start(now time.Time, s msgs.Start) {
	k := runKey{s.Task, s.Run}
	if r := a.runs[k]; r != nil {
		r.start = s
		return
	}
	switch {
	case a.hasEnd(k):
		return
	case a.lost[k]:
		a.reportLost(k, "it was reported as lost before the order arrived")
		return
	}
	reason := ""
	switch {
	case a.vm.Draining:
		reason = "the VM is draining"
	case a.startDeadline(now) == 0:
		reason = "the VM has no recent lease"
	}
	if reason != "" && !s.Repeated {
		a.reportLost(k, reason)
		return
	}
	// A start that an earlier process sent with the same fencing token may have got no response.
	r := &run{start: s, orderedAt: now, unanswered: s.Repeated}
	a.runs[k] = r
	if reason != "" {
		a.abandon(k, r, reason)
		return
	}
	a.callStart(now, k, 0)
}

// callStart adds a call that starts a run, unless the run no longer fits.
func (a *Agent) callStart(now time.Time, k runKey, after time.Duration) {
	r := a.runs[k]
	if !a.fits(r) {
		a.refuse(k, r)
		return
	}
	r.tries++
	deadline := a.startDeadline(now)
	a.deadline = max(a.deadline, deadline)
	a.calls = append(a.calls, Call{Incarnation: a.vm.Incarnation, After: after, Start: &port.StartOrder{
		Order: a.order(k), Payload: r.start.Payload, Checkpoint: r.start.Checkpoint,
		Ticket: r.start.Ticket, Deadline: deadline,
	}})
}

// order returns the part that all orders for a run have in common.
func (a *Agent) order(k runKey) port.Order {
	a.tokenUsed = true
	return port.Order{Worker: a.vm.ID, Task: k.task, Run: k.number, FencingToken: a.fencingToken(), Incarnation: a.startTime}
}

// stop processes an order to stop a run. The run may be unknown to this process: the worker may
// still carry out a start that an earlier one sent, until it has confirmed the stop.
func (a *Agent) stop(now time.Time, s msgs.Stop) {
	k := runKey{s.Task, s.Run}
	r := a.runs[k]
	switch {
	case r == nil && (a.hasEnd(k) || a.lost[k]):
		return
	case r == nil:
		r = &run{start: msgs.Start{Task: s.Task, Run: s.Run, Size: s.Size}}
		a.runs[k] = r
	case r.stopping:
		return
	}
	a.log.Info("run is to be stopped", "task", k.task, "run", k.number, "vm", a.vm.ID, "present", r.present, "epoch", a.epoch)
	r.stopping, r.stopOrderedAt = true, now
	a.callStop(k, 0)
}

// hasEnd reports whether the end of a run is being reported to the leader.
func (a *Agent) hasEnd(k runKey) bool {
	return slices.ContainsFunc(a.ends, func(e msgs.RunEnd) bool { return e.Task == k.task && e.Run == k.number })
}

// callStop adds a call that stops a run.
func (a *Agent) callStop(k runKey, after time.Duration) {
	order := a.order(k)
	a.calls = append(a.calls, Call{Incarnation: a.vm.Incarnation, After: after, Stop: &order})
}

// Started processes the result of a call to start a run.
func (a *Agent) Started(now time.Time, c Call, err error) {
	k := runKey{c.Start.Task, c.Start.Run}
	r := a.runs[k]
	unanswered := err != nil && !errors.Is(err, port.ErrRunFenced) && !errors.Is(err, port.ErrNotSent) && !permanentRefusal(err)
	if unanswered {
		a.noteLate(now, maxOrderDelay)
	}
	if r == nil || c.Incarnation != a.vm.Incarnation {
		return
	}
	r.unanswered = r.unanswered || unanswered
	switch {
	case err == nil:
		a.started(now, k, r, c.Start)
	case errors.Is(err, port.ErrRunFenced):
		// Since the call, the agent has connected to a later leader, which expects the run
		// to start.
		if c.Start.FencingToken < a.fencingToken() && !r.stopping && a.startDeadline(now) > 0 {
			r.tries = 0
			a.callStart(now, k, retryDelay)
			return
		}
		r.markUnconfirmed(now, err.Error())
	case errors.Is(err, port.ErrRunOver):
		// An earlier try may have started the run, and it may have ended since.
		r.markUnconfirmed(now, err.Error())
	case permanentRefusal(err) && !r.unanswered:
		a.reportLost(k, a.refusalReason(k, err))
	default:
		r.brokenOff = r.brokenOff || unanswered && !errors.Is(err, context.DeadlineExceeded)
		a.retryStart(now, k, r, err)
	}
}

// retryStart repeats a start that was not answered, or stops the run after too many tries.
func (a *Agent) retryStart(now time.Time, k runKey, r *run, err error) {
	switch {
	case r.present:
	case r.stopping:
	case permanentRefusal(err):
		a.abandon(k, r, a.refusalReason(k, err))
	case r.tries < maxStartTries && a.startDeadline(now) > 0:
		a.log.Info("start was not answered", "task", k.task, "run", k.number, "vm", a.vm.ID, "try", r.tries, "err", err)
		a.callStart(now, k, retryDelay)
	default:
		a.abandon(k, r, "no response to its starts")
	}
}

// abandon stops a run of which the worker may still carry out an order to start. Once the
// worker has confirmed the stop, it will not, and the run is lost for the given reason.
func (a *Agent) abandon(k runKey, r *run, reason string) {
	a.log.Info("run is given up once its stop is confirmed", "task", k.task, "run", k.number, "vm", a.vm.ID, "tries", r.tries, "reason", reason)
	r.stopping, r.stopReason = true, reason
	a.callStop(k, retryDelay)
}

// started records that the worker has confirmed the start of a run by the given order.
func (a *Agent) started(now time.Time, k runKey, r *run, o *port.StartOrder) {
	r.present = true
	if r.presentSince.IsZero() {
		r.presentSince = now
	}
	a.log.Info("run started", "task", k.task, "run", k.number, "vm", a.vm.ID, "tries", r.tries, "epoch", a.epoch,
		"payload", digest.Text(o.Payload), "checkpoint", digest.Text(o.Checkpoint))
	if r.start.Percent < fullSpeed {
		a.callThrottle(k, r.start.Percent)
	}
}

// permanentRefusal reports whether err means that a call to start a run was not carried
// out and never will be.
func permanentRefusal(err error) bool { return refusal(err) != nil }

// refusal returns the error of package port because of which err is a permanent refusal, nil if it
// is none.
func refusal(err error) error {
	for _, e := range []error{
		port.ErrRunOver, port.ErrRunLate, port.ErrRunCapacity, port.ErrRunTicket, port.ErrRunInvalid,
		port.ErrWorkerUnhealthy, port.ErrWorkerReplaced, port.ErrNoWorker,
	} {
		if errors.Is(err, e) {
			return e
		}
	}
	return nil
}

// refusalReason returns the reason of a permanent refusal, which the leader compares. It logs what
// err says beyond that.
func (a *Agent) refusalReason(k runKey, err error) string {
	reason := refusal(err).Error()
	if err.Error() != reason {
		a.log.Warn("start was refused", "task", k.task, "run", k.number, "vm", a.vm.ID, "err", err)
	}
	return reason
}

// Stopped processes the result of a call to stop a run. If the run is present, its end is
// in the result of a later poll.
func (a *Agent) Stopped(now time.Time, c Call, err error) {
	k := runKey{c.Stop.Task, c.Stop.Run}
	if c.Incarnation != a.vm.Incarnation {
		return
	}
	r := a.runs[k]
	switch {
	case r == nil:
	case err == nil, errors.Is(err, port.ErrRunOver):
		if !r.stopConfirmed && !r.stopOrderedAt.IsZero() {
			a.log.Info("stop is confirmed", "task", k.task, "run", k.number, "vm", a.vm.ID, "after", now.Sub(r.stopOrderedAt), "epoch", a.epoch)
		}
		r.stopConfirmed = true
		r.markUnconfirmed(now, cmp.Or(r.stopReason, "stopped before it started"))
	default:
		// If the fencing token was out of date, the next call carries the present one.
		r.stopDelay = min(max(2*r.stopDelay, retryDelay), maxStopDelay)
		a.log.Info("stop was not answered", "task", k.task, "run", k.number, "vm", a.vm.ID, "err", err, "retryAfter", r.stopDelay, "epoch", a.epoch)
		a.callStop(k, r.stopDelay)
	}
}
