package exec

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

// announce records a heartbeat that names another worker, or a later incarnation, than the
// known one. Anyone may have sent it, and the known worker may still run what it was told to,
// so the heartbeat takes effect only once polls show that the known worker is gone or has
// restarted. A poll of the known worker that starts later and succeeds refutes it.
func (a *Agent) announce(now time.Time, h port.Heartbeat) {
	if !sameIncarnation(a.announced.VM, h.VM) {
		a.announcedAt = now
		a.log.Info("a heartbeat names another worker than the known one", "vm", h.VM.ID, "life", h.VM.Incarnation,
			"known", a.vm.ID, "knownLife", a.vm.Incarnation)
	}
	a.announced = h
}

// adoptAnnounced processes the announced heartbeat, if there is one.
func (a *Agent) adoptAnnounced(now time.Time) {
	if h := a.announced; h.VM.ID != "" {
		a.announced = port.Heartbeat{}
		a.Heartbeat(now, h)
	}
}

// answered compares the known process of the worker with the one that answered a poll, by their
// start times, and adopts another one. A later answer is of a later process, even if the time of
// day was set back in between. The start time is 0 if the worker does not report it. answered
// returns false if the poll started before an answer of the known process.
func (a *Agent) answered(now time.Time, p port.Poll, res port.PollResult) bool {
	started := res.Incarnation
	switch {
	case started == 0, started == a.startTime:
	case started < a.startTime && !a.confirmed:
		a.log.Warn("the worker started earlier than its heartbeat says", "vm", a.vm.ID, "life", started, "heartbeat", a.startTime)
		a.tokenIncarnation = max(a.tokenIncarnation, a.vm.Incarnation)
		a.vm.Incarnation, a.startTime = started, started
	case a.confirmed && p.StartedAt.Before(a.answeredAt):
		return false
	default:
		a.noteStartedNext(res)
		a.newIncarnation(now, started)
		if a.isKnown(a.announced.VM) {
			a.adoptAnnounced(now)
		}
	}
	a.answeredAt = now
	a.confirmed = true
	if n := a.announced.VM; n.ID != "" && p.StartedAt.After(a.announcedAt) {
		a.log.Warn("ignored a heartbeat of another worker, as the known one still answers", "vm", n.ID, "life", n.Incarnation,
			"known", a.vm.ID, "knownLife", a.vm.Incarnation)
		a.announced = port.Heartbeat{}
	}
	return true
}

// isKnown reports whether a worker's description of itself is of the known process.
func (a *Agent) isKnown(vm msgs.VM) bool { return vm.ID == a.vm.ID && vm.Incarnation == a.startTime }

// sameIncarnation reports whether two descriptions are of the same incarnation of a worker.
func sameIncarnation(a, b msgs.VM) bool { return a.ID == b.ID && a.Incarnation == b.Incarnation }
