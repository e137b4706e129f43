package exec

import (
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

// noteSizes records the sizes of the runs that are known. The orders to start others depend on
// them.
func (a *Agent) noteSizes(o *msgs.Orders) {
	for _, s := range o.Starts {
		if r := a.runs[runKey{s.Task, s.Run}]; r != nil {
			r.start = s
		}
	}
	for _, s := range o.Stops {
		if r := a.runs[runKey{s.Task, s.Run}]; r != nil && s.Size != (place.Resources{}) {
			r.start.Size = s.Size
		}
	}
}

// fits reports whether the worker's capacity, according to its latest heartbeat, covers a run
// that is not present in addition to all runs that may be. The leader may have ordered the run
// long before, when the capacity was larger.
func (a *Agent) fits(r *run) bool {
	if r.present {
		return true
	}
	used := r.start.Size
	for _, other := range a.runs {
		if other != r && !other.gone {
			used = used.Plus(other.start.Size)
		}
	}
	capacity, size := a.vm.Capacity, r.start.Size
	return within(used.CPU, capacity.CPU, size.CPU) && within(used.Memory, capacity.Memory, size.Memory) &&
		within(used.Accelerators, capacity.Accelerators, size.Accelerators)
}

// within reports whether a run that takes size of a resource may start if used is taken then.
// One that takes nothing may start even if too much is taken already.
func within(used, capacity, size int64) bool { return size == 0 || used <= capacity }

// refuse ends a run that no longer fits and is not known to be present. An earlier process of
// the agent may have sent its start, so it is lost only once the worker has confirmed a stop.
func (a *Agent) refuse(k runKey, r *run) {
	a.log.Info("run is not started", "task", k.task, "run", k.number, "vm", a.vm.ID, "reason", port.ErrRunCapacity,
		"size", r.start.Size, "capacity", a.vm.Capacity, "runs", len(a.runs))
	r.stopping, r.stopReason = true, port.ErrRunCapacity.Error()
	a.callStop(k, 0)
}
