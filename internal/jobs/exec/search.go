package exec

import (
	"errors"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

// searchPoll returns a poll of the worker that is gone, as its next process may listen under its
// id, or of whatever worker listens at the address if the agent knows of none. It does not wait for
// long, because the poll that follows the worker's first heartbeat starts only after it.
func (a *Agent) searchPoll(now time.Time, mayWait bool) port.Poll {
	p := port.Poll{Worker: a.gone.ID, FencingToken: a.fencingToken(), StartedAt: now}
	if mayWait && !a.pollFailed {
		p.Wait = PollRetryDelay
	}
	return p
}

// searched processes the result of a search poll. If the worker that was gone answers, it is known
// again, without capacity until its heartbeat: it may already run what was ordered of its earlier
// process, and the leader must not start that elsewhere.
func (a *Agent) searched(now time.Time, res port.PollResult, err error) {
	switch {
	case errors.Is(err, port.ErrWorkerReplaced):
		a.gone = msgs.VM{}
	case a.gone.ID == "" || res.Clock == 0 || res.Incarnation == 0:
	default:
		vm := a.gone
		vm.Draining = vm.Draining && res.Incarnation == vm.Incarnation
		vm.Incarnation, vm.Capacity = res.Incarnation, place.Resources{}
		a.log.Info("the worker answers again before its heartbeat", "vm", vm.ID, "life", vm.Incarnation, "before", a.gone.Incarnation, "runs", len(res.Running))
		a.Heartbeat(now, port.Heartbeat{VM: vm})
	}
}
