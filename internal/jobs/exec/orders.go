package exec

import (
	"errors"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

// fullPace is the pace at which a worker starts a run, in percent.
const fullPace = 100

// retryAfter spaces the tries of a call that was not answered.
const retryAfter = 30 * time.Millisecond

// Orders takes the leader's orders. Those of an earlier leader and for another life
// of the worker are left out.
func (a *Agent) Orders(now time.Time, o *msgs.Orders) {
	if o.Epoch != a.epoch || o.VM != a.vm.ID || o.Life != a.vm.Life {
		a.log.Info("ignored orders", "epoch", o.Epoch, "latest", a.epoch, "vm", o.VM, "life", o.Life, "starts", len(o.Starts))
		return
	}
	for i := range o.Starts {
		a.start(now, o.Starts[i])
	}
	for _, s := range o.Stops {
		a.stop(key{s.Task, s.Run})
	}
	for _, p := range o.Throttles {
		a.pace(key{p.Task, p.Run}, p.Percent)
	}
}

// pace sets the pace of a run, now or once it has started.
func (a *Agent) pace(k key, percent int) {
	r := a.runs[k]
	if r == nil || r.stopping {
		return
	}
	r.start.Percent = percent
	if r.present {
		a.callPace(k, percent)
	}
}

func (a *Agent) callPace(k key, percent int) {
	order := a.order(k)
	a.calls = append(a.calls, Call{Life: a.vm.Life, Throttle: &order, Percent: percent})
}

func (a *Agent) start(now time.Time, s msgs.Start) {
	k := key{s.Task, s.Run}
	if r := a.runs[k]; r != nil {
		r.start = s
		return
	}
	for _, e := range a.ends {
		if e.Task == s.Task && e.Run == s.Run {
			return // the leader is being told of its end
		}
	}
	switch {
	case a.vm.Draining:
		a.lose(k, "the VM is draining")
		return
	case a.lease(now) == 0:
		a.lose(k, "the VM has no lease")
		return
	}
	a.runs[k] = &run{start: s}
	a.callStart(now, k, 0)
}

func (a *Agent) callStart(now time.Time, k key, after time.Duration) {
	r := a.runs[k]
	r.tries++
	deadline := a.lease(now)
	a.deadline = max(a.deadline, deadline)
	a.calls = append(a.calls, Call{Life: a.vm.Life, After: after, Start: &port.StartOrder{
		Order: a.order(k), Payload: r.start.Payload, Checkpoint: r.start.Checkpoint,
		Ticket: r.start.Ticket, Deadline: deadline,
	}})
}

func (a *Agent) order(k key) port.Order {
	return port.Order{Worker: a.vm.ID, Task: k.task, Run: k.number, FencingToken: a.fence()}
}

func (a *Agent) stop(k key) {
	if r := a.runs[k]; r != nil {
		if r.stopping {
			return
		}
		r.stopping = true
	}
	a.callStop(k, 0)
}

func (a *Agent) callStop(k key, after time.Duration) {
	order := a.order(k)
	a.calls = append(a.calls, Call{Life: a.vm.Life, After: after, Stop: &order})
}

// Started takes what came of a call to start a run.
func (a *Agent) Started(now time.Time, c Call, err error) {
	k := key{c.Start.Task, c.Start.Run}
	r := a.runs[k]
	if r == nil || c.Life != a.vm.Life {
		return
	}
	switch {
	case err == nil:
		a.started(k, r)
	case errors.Is(err, port.ErrRunFenced):
		// A later leader is connected; it knows of this run and asks for it anew.
		if c.Start.FencingToken < a.fence() && !r.stopping {
			r.tries = 0
			a.callStart(now, k, retryAfter)
			return
		}
		a.lose(k, err.Error())
	case refusedForGood(err):
		// An earlier try may have begun the run, which may even have ended since.
		if r.tries > 1 || errors.Is(err, port.ErrRunOver) {
			r.doubt(now, err.Error())
			return
		}
		a.lose(k, err.Error())
	case r.present:
	case r.stopping:
	case r.tries < maxTries && a.lease(now) > 0:
		a.log.Info("start was not answered", "task", k.task, "run", k.number, "vm", a.vm.ID, "try", r.tries, "err", err)
		a.callStart(now, k, retryAfter)
	default:
		// The order may still be carried out. A stop that the worker answers rules
		// that out.
		r.stopping = true
		a.callStop(k, retryAfter)
	}
}

func (a *Agent) started(k key, r *run) {
	r.present = true
	a.log.Info("run started", "task", k.task, "run", k.number, "vm", a.vm.ID, "tries", r.tries, "epoch", a.epoch)
	if r.start.Percent < fullPace {
		a.callPace(k, r.start.Percent)
	}
}

// refusedForGood reports whether a start was not carried out and never will be.
func refusedForGood(err error) bool {
	for _, e := range []error{
		port.ErrRunOver, port.ErrRunLate, port.ErrRunCapacity, port.ErrRunTicket, port.ErrRunInvalid,
		port.ErrWorkerUnhealthy, port.ErrWorkerReplaced, port.ErrNoWorker,
	} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// Stopped takes what came of a call to stop a run. A run that is present ends later,
// by the worker's list.
func (a *Agent) Stopped(now time.Time, c Call, err error) {
	k := key{c.Stop.Task, c.Stop.Run}
	if c.Life != a.vm.Life {
		return
	}
	r := a.runs[k]
	switch {
	case err == nil && r != nil:
		r.doubt(now, "stopped before it started")
	case err == nil, errors.Is(err, port.ErrRunOver), errors.Is(err, port.ErrRunFenced), errors.Is(err, port.ErrNoWorker), errors.Is(err, port.ErrWorkerReplaced):
	case r != nil:
		a.callStop(k, retryAfter)
	}
}

// doubt notes that a run may not be present.
func (r *run) doubt(now time.Time, reason string) {
	if r.doubted == "" {
		r.doubted, r.doubtedAt = reason, now
	}
}
