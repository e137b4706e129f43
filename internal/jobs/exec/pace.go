package exec

import (
	"errors"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

// repeatLimitAfter is the time after which the speed limit of a run is set again, if a call that
// set one got no response or was refused.
const repeatLimitAfter = 500 * time.Millisecond

// throttle sets the speed limit of a run, once the run has started.
func (a *Agent) throttle(k runKey, percent int) {
	r := a.runs[k]
	if r == nil || r.stopping {
		return
	}
	r.start.Percent = percent
	if r.present {
		a.callThrottle(k, percent)
	}
}

// callThrottle adds a call that sets the speed limit of a run.
func (a *Agent) callThrottle(k runKey, percent int) {
	order := a.order(k)
	a.calls = append(a.calls, Call{Incarnation: a.vm.Incarnation, Throttle: &order, Percent: percent})
}

// Throttled processes the result of a call to set a run's speed limit. A call without a response
// may replace later ones for maxOrderDelay, and the leader sends only limits that change.
func (a *Agent) Throttled(now time.Time, c Call, err error) {
	r := a.runs[runKey{c.Throttle.Task, c.Throttle.Run}]
	if r == nil || c.Incarnation != a.vm.Incarnation {
		return
	}
	if err != nil && !errors.Is(err, port.ErrRunFenced) && !permanentRefusal(err) {
		r.limitUnsureUntil = now.Add(maxOrderDelay)
	}
	if err != nil || now.Before(r.limitUnsureUntil) {
		r.limitDue = now.Add(repeatLimitAfter)
	}
}

// repeatLimits sets the speed limits again that are due.
func (a *Agent) repeatLimits(now time.Time) {
	for k, r := range a.runs {
		if r.listed && !r.stopping && !r.limitDue.IsZero() && !now.Before(r.limitDue) {
			r.limitDue = time.Time{}
			a.callThrottle(k, r.start.Percent)
		}
	}
}
