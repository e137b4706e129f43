package exec

import "time"

// maxCallTime is how long a call to the worker may take until the agent knows that it gets no
// response.
const maxCallTime = time.Second

// Sends reports whether a call still holds. The process must ask just before it makes the call,
// since that may be long after the core has decided on it: a process of the worker that has started
// since has seen no fencing token and would carry out any start. A call that does not hold has no
// result to pass back.
func (a *Agent) Sends(now time.Time, c Call) bool {
	if c.Incarnation != a.vm.Incarnation {
		a.log.Info("did not send a call to an earlier incarnation", "life", c.Incarnation, "latest", a.vm.Incarnation)
		return false
	}
	if c.Start == nil {
		return true
	}
	k := runKey{c.Start.Task, c.Start.Run}
	r := a.runs[k]
	switch {
	case r == nil, r.stopping:
	case r.present:
		// A poll has confirmed it.
		a.started(now, k, r, c.Start)
	default:
		a.noteLate(now, maxCallTime)
		return true
	}
	a.log.Info("did not send a start that no longer holds", "task", k.task, "run", k.number, "vm", a.vm.ID, "life", a.vm.Incarnation)
	return false
}
