package matrix

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/proof/world"
)

// killLeader kills the entry that leads the cell.
func (r *run) killLeader() {
	for _, e := range r.w.Entries {
		if !e.Dead && e.Core.Fold().Cell("main").Leader == e.Core.Writer().ID() {
			r.kill(e.Proc)
			return
		}
	}
}

// vm returns the VM whose agent is p, nil if p is an entry.
func (r *run) vm(p *world.Proc) *world.VM {
	for _, v := range r.w.VMs {
		if v.Proc == p {
			return v
		}
	}
	return nil
}

// kill kills a process. It starts again later without its state, unless it is the agent of a VM
// that was told to leave.
func (r *run) kill(p *world.Proc) {
	if p.Dead {
		return
	}
	for _, e := range r.w.Entries {
		if e.Proc == p {
			e.Kill()
			r.w.After(entryDowntime, e.Restart)
			return
		}
	}
	v := r.vm(p)
	v.Kill()
	if v.LeavingSince.IsZero() {
		r.w.After(agentDowntime, func() { v.Restart(false) })
	}
}

// failVM fails the whole VM of an agent, which is replaced after vmDowntime.
func (r *run) failVM(p *world.Proc) {
	v := r.vm(p)
	v.Fail()
	r.w.After(vmDowntime, func() { v.Restart(true) })
}

// cut drops the messages from a process, or to a process, for d.
func (r *run) cut(p *world.Proc, d time.Duration, from, to bool) {
	for _, other := range r.w.Procs() {
		if other == p {
			continue
		}
		if from {
			r.w.Cut(p, other, d)
		}
		if to {
			r.w.Cut(other, p, d)
		}
	}
}
