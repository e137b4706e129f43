package lead

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/plan"
)

// chooseRanked is chooseVM with the ranking of VMs for the task ranked, which applies to t if
// nothing distinguishes the two.
func (p *pass) chooseRanked(t, ranked *plan.Task, ranking *plan.Ranking) int {
	if len(t.Avoid) > len(ranked.Avoid) || t.Urgent != ranked.Urgent {
		return p.chooseVM(t)
	}
	i := ranking.Best()
	if i >= 0 && p.vms[i].reservedForOther(p.now, t.Key) {
		return p.chooseVM(t)
	}
	return i
}

// chooseVM returns the index of the VM for a task, or a negative number. VMs whose
// capacity is reserved for another stage are left out.
func (p *pass) chooseVM(t *plan.Task) int {
	p.l.work += uint64(len(p.placement))
	i := plan.Choose(t, p.placement)
	if i < 0 || !p.vms[i].reservedForOther(p.now, t.Key) {
		return i
	}
	var placement []*plan.VM
	var index []int
	for j, v := range p.vms {
		if !v.reservedForOther(p.now, t.Key) {
			placement, index = append(placement, &v.placement), append(index, j)
		}
	}
	if i = plan.Choose(t, placement); i < 0 {
		return i
	}
	return index[i]
}

// reservedForOther reports whether capacity of the VM is reserved for a stage other than
// key.
func (v *vm) reservedForOther(now time.Time, key plan.StageKey) bool {
	return now.Before(v.reservedUntil) && v.reservedStage != key
}

// wouldUse returns the VMs among the given ones on which up to n tasks would be placed, one for each
// task. It places none.
func (p *pass) wouldUse(t *plan.Task, vms []*vm, n int) []*vm {
	placement := placementOf(vms)
	p.l.work += uint64(len(placement) + n)
	ranking := plan.NewRanking(t, placement)
	var chosen []*vm
	for range n {
		i := ranking.Best()
		if i < 0 {
			break
		}
		placement[i].Add(t.Key, t.Step)
		ranking.Update(i)
		chosen = append(chosen, vms[i])
	}
	for _, v := range chosen {
		v.placement.Remove(t.Key, t.Step)
	}
	return chosen
}

// placementOf returns the placement state of VMs.
func placementOf(vms []*vm) []*plan.VM {
	list := make([]*plan.VM, len(vms))
	for i, v := range vms {
		list[i] = &v.placement
	}
	return list
}
