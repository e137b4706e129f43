package lead

import (
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
)

// removeVM ends all runs of a VM whose worker is gone, and forgets the VM.
func (l *Leader) removeVM(now time.Time, v *vm, reason string) {
	if v == nil {
		return
	}
	l.log.Info("VM is gone", "vm", v.info.ID, "life", v.info.Incarnation, "runs", len(v.runs), "reason", reason,
		"leaseLeft", v.leaseExpiry.Sub(now), "heard", now.Sub(v.lastContact), "epoch", l.epoch)
	l.endRunsBefore(now, v, v.info.Incarnation+1, reason)
	delete(l.vms, v.info.ID)
	delete(l.vmByConn, v.conn)
	l.placementDue = true
}

// removeReplaced removes VMs of earlier workers on the same node: each of them must have
// ended before the next could listen at its address. It keeps those that the node's agent named
// on a later connection: if the time of day was set back, a lower incarnation may be the later one.
func (l *Leader) removeReplaced(now time.Time, v *vm) {
	node := v.info.Node
	if node == "" {
		return
	}
	present := slices.DeleteFunc(l.vmsByNode[node], func(other *vm) bool {
		return l.vms[other.info.ID] != other || other.info.Node != node
	})
	if !slices.Contains(present, v) {
		present = append(present, v)
	}
	l.vmsByNode[node] = present
	for _, other := range present {
		if other.info.Incarnation < v.info.Incarnation && !l.replaced(other, v.conn) {
			l.removeVM(now, other, "a newer worker runs on its node")
		}
	}
}

// expireLeases removes VMs whose leases have ended even by the slowest allowed clock.
func (l *Leader) expireLeases(now time.Time) {
	for _, v := range l.vms {
		if now.After(v.leaseExpiry) {
			l.removeVM(now, v, "its lease has ended")
		}
	}
}

// endRunsBefore ends the VM's runs of all incarnations before the given one.
func (l *Leader) endRunsBefore(now time.Time, v *vm, incarnation int64, reason string) {
	lost := l.stats.Lost
	for key, r := range v.runs {
		if r.incarnation < incarnation {
			l.endRun(now, v, key, msgs.Lost, "", reason)
		}
	}
	l.stats.LostWithVM += l.stats.Lost - lost
	v.synced = false
}
