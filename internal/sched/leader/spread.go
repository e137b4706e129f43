package leader

import (
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/sched/place"
	"github.com/ebonyarch/ebonyarch/internal/state/fold"
)

// spreadInterval is the time between two searches for replicas that share a VM.
const spreadInterval = time.Second

// spreadReplicas moves replicas of a service from VMs with several of them to VMs with
// none. Replicas share a VM if they were placed while few VMs were known, and would be lost
// together. At most one running replica of a service moves at a time, because it serves
// nothing meanwhile.
//
// It waits until no task of a service waits, because waiting replicas go to those VMs
// first.
func (l *Leader) spreadReplicas(now time.Time) {
	if now.Sub(l.spreadAt) < spreadInterval || l.serviceWaits() {
		return
	}
	l.spreadAt = now
	p := l.newPass(now)
	moved := map[string]bool{} // services of which a running replica moves
	for _, from := range p.vms {
		for _, t := range l.fold.GrantedTo(from.Name) {
			task := placementTask(t)
			_, beingEvicted := l.evicting[t.Attempt()]
			if !task.Service || beingEvicted || p.policy.Spread.OnVM(task.Kind, from) < 2 {
				continue
			}
			running := slices.Contains(l.vms[from.Name].attempts, t.Attempt())
			if running && moved[task.Kind] {
				continue
			}
			if to := p.vmWithout(task); to != nil {
				moved[task.Kind] = moved[task.Kind] || running
				p.move(t, task, from, to)
			}
		}
	}
}

// serviceWaits reports whether a replica waits for a VM.
func (l *Leader) serviceWaits() bool {
	waiting := l.fold.Waiting(l.cell)
	return len(waiting) > 0 && waiting[0].Service // services come first
}

// vmWithout returns the best VM with capacity for a replica among those that have none
// of its service, or nil.
func (p *pass) vmWithout(task *place.Task) *place.VM {
	v := place.Choose(p.policy, task, p.vms)
	if v == nil || v.Probation || p.policy.Spread.OnVM(task.Kind, v) > 0 {
		return nil
	}
	return v
}

// move evicts a replica and reserves the capacity for its next attempt on another VM.
func (p *pass) move(t *fold.Task, task *place.Task, from, to *place.VM) {
	p.l.log.Info("moves a replica to a VM that has none of its service",
		"cell", p.l.cell, "attempt", t.Attempt(), "from", from.Name, "to", to.Name)
	p.l.evicting[t.Attempt()] = eviction{
		vm: to.Name, task: t.Attempt().Task, size: task.Size, until: p.now.Add(reservationTimeout),
	}
	p.l.stats.Evictions++
	p.l.pokes = append(p.l.pokes, from.Name)
	to.Free = to.Free.Minus(task.Size)
	p.policy.Spread.Move(task.Kind, from, to)
}
