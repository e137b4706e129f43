package lead

import (
	"slices"

	"github.com/ebonyarch/ebonyarch/internal/jobs/plan"
	"github.com/ebonyarch/ebonyarch/internal/jobs/table"
)

// gang places all tasks of a stage or none. Tasks that are slower over several racks go
// to one rack as long as one has room for all.
func (p *pass) gang(e *table.Entry, st *table.Stage, task *plan.Task) {
	if len(st.Waiting) < st.Open {
		return // members of an earlier run are still ending
	}
	var chosen []*vm
	if task.Step.LocalitySensitive {
		for _, rack := range p.racks() {
			if chosen = p.together(task, len(st.Waiting), rack); chosen != nil {
				break
			}
		}
	}
	if chosen == nil {
		chosen = p.together(task, len(st.Waiting), "")
	}
	if chosen == nil && task.NeedsTicket {
		p.ask(task)
	}
	number := uint32(0)
	for i := range task.Step.Tasks {
		number = max(number, e.Tasks[st.First+i].LastRun+1)
	}
	for _, v := range chosen {
		p.start(e, st, st.Waiting[0], v, number)
	}
}

// together returns a VM for each of n tasks, on one rack if it is named, or nil if they
// do not all have room.
func (p *pass) together(task *plan.Task, n int, rack string) []*vm {
	var room []*plan.VM
	var vms []*vm
	for _, v := range p.vms {
		if (rack == "" || slices.Contains(v.info.Labels, rack)) && !v.keptFor(p.now, task.Key) {
			room, vms = append(room, &v.room), append(vms, v)
		}
	}
	var chosen []*vm
	for range n {
		i := plan.Choose(task, room)
		if i < 0 {
			break
		}
		room[i].Add(task.Key, task.Step)
		chosen = append(chosen, vms[i])
	}
	for _, v := range chosen {
		v.room.Remove(task.Key, task.Step)
	}
	if len(chosen) < n {
		return nil
	}
	return chosen
}

// racks returns all labels of VMs; a label that is not a rack does no harm here.
func (p *pass) racks() []string {
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
