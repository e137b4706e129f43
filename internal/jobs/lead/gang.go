package lead

import (
	"slices"

	"github.com/ebonyarch/ebonyarch/internal/jobs/book"
	"github.com/ebonyarch/ebonyarch/internal/jobs/plan"
)

// placeGang places all tasks of a stage or none. Tasks that are slower over several racks go
// to one rack as long as one has room for all.
func (p *pass) placeGang(e *book.Entry, st *book.Stage, task *plan.Task) {
	if len(st.Waiting) < st.Open {
		return // members of an earlier run are still ending
	}
	var chosen []*vm
	if task.Step.Local {
		for _, rack := range p.vmLabels() {
			if chosen = p.chooseGangVMs(task, len(st.Waiting), rack); chosen != nil {
				break
			}
		}
	}
	if chosen == nil {
		chosen = p.chooseGangVMs(task, len(st.Waiting), "")
	}
	if chosen == nil && task.Advised {
		p.requestAdvice(task)
	}
	number := uint32(0)
	for i := range task.Step.Tasks {
		number = max(number, e.Tasks[st.First+i].Last+1)
	}
	for _, v := range chosen {
		p.assign(e, st, st.Waiting[0], v, number)
	}
}

// chooseGangVMs returns a VM for each of n tasks, on one rack if it is named, or nil if they
// do not all have room.
func (p *pass) chooseGangVMs(task *plan.Task, n int, rack string) []*vm {
	var placement []*plan.VM
	var vms []*vm
	for _, v := range p.vms {
		if (rack == "" || slices.Contains(v.info.Labels, rack)) && !v.reservedForOther(p.now, task.Key) {
			placement, vms = append(placement, &v.placement), append(vms, v)
		}
	}
	var chosen []*vm
	for range n {
		i := plan.Choose(task, placement)
		if i < 0 {
			break
		}
		placement[i].Add(task.Key, task.Step)
		chosen = append(chosen, vms[i])
	}
	for _, v := range chosen {
		v.placement.Remove(task.Key, task.Step)
	}
	if len(chosen) < n {
		return nil
	}
	return chosen
}

// vmLabels returns all labels of VMs; a label that is not a rack does no harm here.
func (p *pass) vmLabels() []string {
	var list []string
	for _, v := range p.vms {
		for _, label := range v.info.Labels {
			if !slices.Contains(list, label) {
				list = append(list, label)
			}
		}
	}
	slices.Sort(list)
	return list
}
