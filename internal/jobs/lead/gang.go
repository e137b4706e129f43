package lead

import (
	"slices"

	"github.com/ebonyarch/ebonyarch/internal/jobs/plan"
	"github.com/ebonyarch/ebonyarch/internal/jobs/table"
)

// placeGang places all tasks of a stage or none. Tasks that are slower across several racks
// are placed in one rack if one has capacity for all of them. It returns false if the pass is
// exhausted before that.
func (p *pass) placeGang(e *table.Entry, st *table.Stage, task *plan.Task) bool {
	if len(st.Waiting) < st.Open {
		return true // members of an earlier run have not ended yet
	}
	if p.starts > 0 && p.starts+len(st.Waiting) > maxStarts {
		return false
	}
	var chosen []*vm
	if e.Suspect(e.Ref(st, 0), 0) {
		chosen = p.chooseGangRacks(task, len(st.Waiting), func(v *vm) bool { return v.unproven == 0 })
	}
	if chosen == nil {
		chosen = p.chooseGangRacks(task, len(st.Waiting), func(*vm) bool { return true })
	}
	if chosen == nil && task.NeedsTicket {
		p.wantAdvice(task, e, st)
	}
	// All members of a gang get the same run number, which none of them has had before.
	number := uint32(0)
	for i := range task.Step.Tasks {
		number = max(number, e.Tasks[st.First+i].LastRun+1)
	}
	for _, v := range chosen {
		p.assign(e, st, st.Waiting[0], v, number)
	}
	return true
}

// gangRun identifies a run of a gang.
type gangRun struct {
	stage  plan.StageKey
	number uint32
}

// gangRuns tells of runs of gangs whether a member has ended. The zero value is ready for use while
// nothing ends.
type gangRuns struct {
	ended map[gangRun]bool
}

// memberEnded reports whether another member of a run of a gang has ended, so that the others wait
// for it in vain until they are started anew.
func (g *gangRuns) memberEnded(r *run) bool {
	if !r.step.Gang {
		return false
	}
	key := gangRun{stageKey(r.ref), r.number}
	if ended, known := g.ended[key]; known {
		return ended
	}
	if g.ended == nil {
		g.ended = map[gangRun]bool{}
	}
	st := r.entry.Stage(r.ref)
	g.ended[key] = slices.ContainsFunc(r.entry.Tasks[st.First:st.First+r.step.Tasks], func(t table.Task) bool {
		return !slices.ContainsFunc(t.Runs, func(other table.Run) bool { return other.Number == r.number })
	})
	return g.ended[key]
}

// chooseGangRacks returns a VM for each of n tasks, or nil if there is not enough capacity for
// all of them. It prefers VMs of one rack if the tasks are slower otherwise. Only VMs for which
// allowed returns true are used.
func (p *pass) chooseGangRacks(task *plan.Task, n int, allowed func(*vm) bool) []*vm {
	if task.Step.LocalitySensitive {
		for _, rack := range p.vmLabels() {
			if chosen := p.chooseGangVMs(task, n, rack, allowed); chosen != nil {
				return chosen
			}
		}
	}
	return p.chooseGangVMs(task, n, "", allowed)
}

// chooseGangVMs returns a VM for each of n tasks, or nil if there is not enough capacity for
// all of them. Only VMs of the given rack are used, unless it is empty, and only those for
// which allowed returns true.
func (p *pass) chooseGangVMs(task *plan.Task, n int, rack string, allowed func(*vm) bool) []*vm {
	var vms []*vm
	for _, v := range p.vms {
		if (rack == "" || slices.Contains(v.info.Labels, rack)) && !v.reservedForOther(p.now, task.Key) && allowed(v) {
			vms = append(vms, v)
		}
	}
	chosen := p.wouldUse(task, vms, n)
	if len(chosen) < n {
		return nil
	}
	return chosen
}

// vmLabels returns all labels of VMs, sorted. Labels other than racks are included; placing
// a gang on VMs that share such a label is allowed as well.
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
