package lead

import (
	"slices"

	"github.com/ebonyarch/ebonyarch/internal/jobs/plan"
)

// adviceVMs returns the VMs to ask for: those that the waiting tasks would use if they had tickets
// and, after requests that brought none, as many again each time.
func (p *pass) adviceVMs(w *adviceWanted, a *stageAdvice) []string {
	t := *w.task
	t.Tickets, t.NeedsTicket = nil, false
	var ticketed, others []*vm
	for _, v := range p.vms {
		switch incarnation, asked := a.asked[v.info.ID]; {
		case v.reservedForOther(p.now, t.Key):
		case w.task.Tickets[v.info.ID] != "":
			ticketed = append(ticketed, v)
		case !asked || incarnation != v.info.Incarnation:
			others = append(others, v)
		}
	}
	tasks := min(w.tasks, maxAdviceTasks)
	tasks -= len(p.wouldUse(&t, ticketed, tasks))
	chosen := p.wouldUse(&t, others, tasks)
	var ids []string
	for _, v := range chosen {
		if !slices.Contains(ids, v.info.ID) {
			ids = append(ids, v.info.ID)
		}
	}
	ids = ids[:min(len(ids), maxAdviceVMs)]
	if len(ids) == 0 {
		return nil
	}
	return p.widen(&t, others, ids, min(len(ids)<<min(a.misses, maxDoublings), maxAdviceVMs))
}

// maxAdviceTasks bounds the tasks of a stage that one request considers.
const maxAdviceTasks = 64

// widen adds the best of the other VMs with capacity to the ids, up to n of them.
func (p *pass) widen(t *plan.Task, vms []*vm, ids []string, n int) []string {
	rest := slices.DeleteFunc(slices.Clone(vms), func(v *vm) bool { return slices.Contains(ids, v.info.ID) })
	for len(ids) < n {
		i := plan.Choose(t, placementOf(rest))
		if i < 0 {
			break
		}
		ids = append(ids, rest[i].info.ID)
		rest = slices.Delete(rest, i, i+1)
	}
	return ids
}
