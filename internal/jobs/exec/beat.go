package exec

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

// heartbeat is the position of a heartbeat in the order in which a worker sent them.
type heartbeat struct {
	seq   int64
	clock time.Duration
}

// after reports whether h was sent before b. A lower number alone does not show it: if one
// heartbeat had a number that is far too high, all later ones have lower numbers, but later
// clock readings.
func (b heartbeat) after(h port.Heartbeat) bool {
	return numbered(h) && h.Seq < b.seq && h.Clock <= b.clock
}

// numbered reports whether a worker has sent h. Those that the agent makes up have no place in
// the order.
func numbered(h port.Heartbeat) bool { return h.Seq != 0 || h.Clock != 0 }

// noteHeartbeat records the place of a heartbeat of the worker's present incarnation in the
// order. A reading beyond the worker's clock as the agent knows it is wrong and counts as
// that of now. The reading of the incarnation's first heartbeat cannot be compared, so it shows
// of no other heartbeat that it is earlier.
func (a *Agent) noteHeartbeat(now time.Time, h port.Heartbeat) {
	if !numbered(h) {
		return
	}
	a.heartbeat = heartbeat{seq: h.Seq}
	if !a.workerClockAt.IsZero() {
		a.heartbeat.clock = min(h.Clock, a.workerClock+now.Sub(a.workerClockAt))
	}
}

// Leave processes a worker's message that it is about to exit. The start time is 0 if the worker
// does not report it.
func (a *Agent) Leave(now time.Time, id string, started int64) {
	vm := a.vm
	if vm.ID != id || (started != 0 && started != a.startTime) {
		return
	}
	vm.Incarnation, vm.Draining = a.startTime, true
	a.Heartbeat(now, port.Heartbeat{VM: vm})
}
