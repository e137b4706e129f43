package lead

import (
	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/plan"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

// noteUnexpected accounts for the runs that an agent lists and that the leader does not expect
// at its VM, in place of those of the list before. A synced request also lists runs that have
// ended, whose report follows, so those of it are not logged.
func (l *Leader) noteUnexpected(v *vm, sizes map[runKey]place.Resources, synced bool) {
	for key, size := range sizes {
		if _, known := v.unexpected[key]; !known && !synced {
			l.log.Info("a run is not expected at its VM", "task", key.task, "run", key.number, "vm", v.info.ID, "size", size)
		}
	}
	for key := range v.unexpected {
		l.dropUnexpected(v, key)
	}
	for _, size := range sizes {
		v.placement.Used = v.placement.Used.Plus(size)
	}
	v.unexpected = sizes
}

// dropUnexpected drops a run if it is one of those that are unexpected at the VM.
func (l *Leader) dropUnexpected(v *vm, key runKey) {
	if size, ok := v.unexpected[key]; ok {
		delete(v.unexpected, key)
		v.placement.Used = v.placement.Used.Minus(size)
		l.placementDue = true
	}
}

// unexpectedStages returns the stages of which VMs run tasks that the leader does not expect there
// and that are not completed.
func (l *Leader) unexpectedStages() map[plan.StageKey]bool {
	stages := map[plan.StageKey]bool{}
	for _, v := range l.vms {
		for key := range v.unexpected {
			ref, err := model.ParseTaskRef(key.task)
			if err != nil {
				continue
			}
			if e := l.table.Get(ref.Job); e != nil && e.Stage(ref) != nil && !e.Task(ref).Done {
				stages[stageKey(ref)] = true
			}
		}
	}
	return stages
}

// sizeOrAll returns what a run of a task takes of a VM's capacity, all of it if that is unknown.
func (l *Leader) sizeOrAll(v *vm, task string) place.Resources {
	if size, known := l.sizeOf(task); known {
		return size
	}
	return v.info.Capacity
}

// gangDone reports whether a run belongs to the run of a gang that is done. Its members end
// together, and the report of one of them is enough.
func (l *Leader) gangDone(key runKey) bool {
	ref, err := model.ParseTaskRef(key.task)
	if err != nil {
		return false
	}
	e := l.table.Get(ref.Job)
	if e == nil || e.Stage(ref) == nil || !e.Job.Steps[ref.Step].Gang {
		return false
	}
	t := e.Task(ref)
	return t.Done && t.LastRun == key.number
}
