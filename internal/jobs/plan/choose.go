package plan

import "slices"

// Terms of the cost of placing a task on a VM. The unit is the VM's processor capacity:
// a difference of 1 outweighs the difference between an empty and a full VM.
const (
	// remoteCost is the cost of a VM outside the rack with the data. It exceeds any
	// difference in free processors, so tasks stay near their data while a VM there has
	// free capacity.
	remoteCost = 4
	// sameStageCost is the cost of each task of the same stage on the VM. It spreads the
	// long-running tasks of a step slightly.
	sameStageCost = 0.1
	// bestEffortCost is multiplied by the share of the processors that best-effort tasks
	// request. It keeps long-running tasks off VMs with best-effort tasks.
	bestEffortCost = 0.5
	// coLocationBonus attracts tasks that are neither long-running nor best-effort to
	// VMs with long-running tasks, with which they do not interfere, so that other VMs
	// stay free for best-effort tasks.
	coLocationBonus = 1
	// overloadedCost makes overloaded VMs the last resort for best-effort tasks.
	overloadedCost = 50
	// avoidCost makes VMs on which the task has failed the last resort.
	avoidCost = 100
	// suspicionCost is multiplied by the VM's suspicion score.
	suspicionCost = 2
)

// Choose returns the index of the VM on which placing the task costs least, or -1 if the
// task fits on none.
func Choose(t *Task, vms []*VM) int {
	best, bestCost := -1, 0.0
	for i, v := range vms {
		if !v.eligible(t) || !v.fits(t) {
			continue
		}
		if cost := v.cost(t); best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// cost returns the cost of placing the task on the VM.
func (v *VM) cost(t *Task) float64 {
	capacity := float64(max(1, v.Capacity.CPU))
	spare := float64(v.spareCPU()+v.ReclaimableCPU-t.Step.Size.CPU) / capacity
	cost := suspicionCost * v.Suspicion
	switch {
	case t.Step.LongRunning:
		// Free processors are a cost: long-running tasks are packed on few VMs.
		cost += float64(v.Free().CPU-t.Step.Size.CPU)/capacity + sameStageCost*float64(v.Stages[t.Key])
		cost += bestEffortCost * float64(v.BestEffortCPU) / capacity
	case t.Step.BestEffort:
		cost -= spare
		if v.InterferenceCost != nil {
			cost += v.InterferenceCost(t.Step)
		}
		if v.Overloaded {
			cost += overloadedCost
		}
	default:
		cost -= spare
		if v.LongRunning > 0 {
			cost -= coLocationBonus
		}
	}
	if t.Step.Rack != "" && !slices.Contains(v.Labels, t.Step.Rack) {
		cost += remoteCost
	}
	if slices.Contains(t.Avoid, v.ID) {
		cost += avoidCost
	}
	return cost
}

// Feasible reports whether the task would fit on any of the VMs if the VM were empty.
func Feasible(t *Task, vms []*VM) bool {
	for _, v := range vms {
		empty := VM{Service: v.Service, Labels: v.Labels, Capacity: v.Capacity}
		if empty.eligible(t) && v.Capacity.Covers(t.Step.ResourceRequest()) {
			return true
		}
	}
	return false
}
