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

// answered compares the known incarnation with the one that answered a poll, which is 0 if the
// worker does not report it, and adopts a later one. It returns false if the answer is of an
// earlier incarnation.
func (a *Agent) answered(now time.Time, p port.Poll, incarnation int64) bool {
	switch {
	case incarnation > a.vm.Incarnation:
		a.newIncarnation(now, incarnation)
		if sameIncarnation(a.announced.VM, a.vm) {
			a.adoptAnnounced(now)
		}
	case incarnation != 0 && incarnation < a.vm.Incarnation:
		if a.confirmed {
			return false
		}
		a.log.Warn("the worker started earlier than its heartbeat says", "vm", a.vm.ID, "life", incarnation, "heartbeat", a.vm.Incarnation)
		a.tokenIncarnation, a.vm.Incarnation = max(a.tokenIncarnation, a.vm.Incarnation), incarnation
	}
	a.confirmed = true
	if n := a.announced.VM; n.ID != "" && p.StartedAt.After(a.announcedAt) {
		a.log.Warn("ignored a heartbeat of another worker, as the known one still answers", "vm", n.ID, "life", n.Incarnation,
			"known", a.vm.ID, "knownLife", a.vm.Incarnation)
		a.announced = port.Heartbeat{}
	}
	return true
}

// sameIncarnation reports whether two descriptions are of the same incarnation of a worker.
func sameIncarnation(a, b msgs.VM) bool { return a.ID == b.ID && a.Incarnation == b.Incarnation }
