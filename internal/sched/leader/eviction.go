package leader

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/ident"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
	"github.com/ebonyarch/ebonyarch/internal/state/fold"
)

// reservationTimeout is how long the capacity that an eviction frees is reserved
// for the task that it was evicted for.
const reservationTimeout = 10 * time.Second

// eviction is the eviction of an attempt for a replica or an urgent task, or of a replica
// that moves to another VM.
type eviction struct {
	// vm is the VM on which capacity is reserved: that of the attempt, or the other one.
	vm string
	// task is the task that gets the freed capacity, and size its resource request.
	task ident.Task
	size place.Resources
	// until is when the reservation expires.
	until time.Time
}

// dropReservations removes the evictions that timed out or whose attempts have
// ended.
func (l *Leader) dropReservations(now time.Time) {
	for a, e := range l.evicting {
		if !now.Before(e.until) || l.fold.Task(a.Ref()) == nil || l.fold.Task(a.Ref()).State != fold.Granted {
			delete(l.evicting, a)
		}
	}
}

// subtractReservations subtracts the capacity that is reserved by evictions from
// the free capacity of the VMs, once for each task.
func (p *pass) subtractReservations() {
	subtracted := map[ident.Task]bool{}
	for _, e := range p.l.evicting {
		if v := p.byName[e.vm]; v != nil && !subtracted[e.task] {
			subtracted[e.task] = true
			v.Free = v.Free.Minus(e.size)
		}
	}
}

// reservedVM returns the VM on which capacity is reserved for a task, or nil. It
// adds the reserved capacity to the VM's free capacity again.
func (p *pass) reservedVM(t *fold.Task) *place.VM {
	for _, e := range p.l.evicting {
		if e.task != t.Attempt().Task {
			continue
		}
		v := p.byName[e.vm]
		if v == nil {
			return nil
		}
		v.Free = v.Free.Plus(e.size)
		return v
	}
	return nil
}

// evictFor evicts batch attempts for a task, on the VM where the eviction costs
// least. It does nothing if an eviction for the task is in progress.
func (p *pass) evictFor(t *fold.Task, task *place.Task) {
	for _, e := range p.l.evicting {
		if e.task == t.Attempt().Task {
			if v := p.byName[e.vm]; v != nil {
				v.Free = v.Free.Minus(e.size) // undoes the addition in reservedVM
			}
			return
		}
	}
	var best place.Eviction
	var bestVM *place.VM
	for _, v := range p.vms {
		e, ok := place.ChooseVictims(p.candidates(v), v.Free, task.Size)
		if ok && !v.Probation && (bestVM == nil || e.Cost < best.Cost) {
			best, bestVM = e, v
		}
	}
	if bestVM == nil {
		return
	}
	p.l.pokes = append(p.l.pokes, bestVM.Name)
	for _, victim := range best.Victims {
		p.l.evicting[victim.Attempt] = eviction{
			vm: bestVM.Name, task: t.Attempt().Task, size: task.Size, until: p.now.Add(reservationTimeout),
		}
		p.l.stats.Evictions++
	}
	bestVM.Free = bestVM.Free.Minus(task.Size)
}

// candidates returns the attempts on a VM that may be evicted.
func (p *pass) candidates(v *place.VM) []place.Victim {
	var list []place.Victim
	for _, t := range p.l.fold.GrantedTo(v.Name) {
		_, beingEvicted := p.l.evicting[t.Attempt()]
		if t.Job.Service || t.Job.Urgent || beingEvicted {
			continue
		}
		list = append(list, place.Victim{
			Attempt: t.Attempt(), Size: place.ResourcesOf(t.Job.Size), Evictions: int(t.Evictions),
			UnsavedWork: max(0, p.l.fold.Clock().Sub(t.ProgressSavedAt)),
		})
	}
	return list
}
