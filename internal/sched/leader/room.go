package leader

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/ident"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
	"github.com/ebonyarch/ebonyarch/internal/state/fold"
)

// reservationFor is how long room that is being made is kept for its task.
const reservationFor = 10 * time.Second

// eviction is an attempt that was asked to leave its VM for an urgent task.
type eviction struct {
	vm string
	// task is the task that gets the room.
	task  ident.Task
	size  place.Resources
	until time.Time
}

func (l *Leader) dropReservations(now time.Time) {
	for a, e := range l.evicting {
		if !now.Before(e.until) || l.fold.Task(a.Ref()) == nil || l.fold.Task(a.Ref()).State != fold.Granted {
			delete(l.evicting, a)
		}
	}
}

// reserve withholds the room that is being made for urgent tasks.
func (p *plan) reserve() {
	done := map[ident.Task]bool{}
	for _, e := range p.l.evicting {
		if v := p.byName[e.vm]; v != nil && !done[e.task] {
			done[e.task] = true
			v.Free = v.Free.Minus(e.size)
		}
	}
}

// reserved returns the VM on which room is being made for a task, with that
// room given back, or nil.
func (p *plan) reserved(t *fold.Task) *place.VM {
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

// makeRoom evicts batch attempts from the VM where that costs least.
func (p *plan) makeRoom(t *fold.Task, task *place.Task) {
	for _, e := range p.l.evicting {
		if e.task == t.Attempt().Task {
			if v := p.byName[e.vm]; v != nil {
				v.Free = v.Free.Minus(e.size) // reserved gave it back
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
			vm: bestVM.Name, task: t.Attempt().Task, size: task.Size, until: p.now.Add(reservationFor),
		}
		p.l.stats.Evictions++
	}
	bestVM.Free = bestVM.Free.Minus(task.Size)
}

// candidates returns the attempts of a VM that may be evicted.
func (p *plan) candidates(v *place.VM) []place.Victim {
	var list []place.Victim
	for _, t := range p.l.fold.GrantedTo(v.Name) {
		_, leaving := p.l.evicting[t.Attempt()]
		if t.Job.Service || t.Job.Urgent || leaving {
			continue
		}
		list = append(list, place.Victim{
			Attempt: t.Attempt(), Size: place.ResourcesOf(t.Job.Size), Evictions: int(t.Evictions),
			UnsavedWork: max(0, p.l.fold.Clock().Sub(t.ProgressSavedAt)),
		})
	}
	return list
}
