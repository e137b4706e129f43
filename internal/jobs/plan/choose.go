package plan

import "slices"

// Weights of the parts of a VM's cost, in parts of the VM's capacity.
const (
	// remoteCost keeps tasks near their data as long as any of it has room.
	remoteCost = 4
	// sameStageCost spreads the lasting tasks of one step a little.
	sameStageCost = 0.1
	// bestEffortCost keeps lasting tasks off VMs with fillers.
	bestEffortCost = 0.5
	// coLocationBonus draws tasks that disturb nobody to VMs with lasting tasks, so that
	// other VMs stay free for fillers.
	coLocationBonus = 1
	// overloadedCost makes strained VMs the last resort of fillers.
	overloadedCost = 50
	// avoidCost makes VMs on which the task failed the last resort.
	avoidCost = 100
	// suspicionCost weighs a VM's failures and slowness.
	suspicionCost = 2
)

// Choose returns the index of the VM on which a task is best placed, or -1 if it
// has room on none.
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

func (v *VM) cost(t *Task) float64 {
	capacity := float64(max(1, v.Capacity.CPU))
	spare := float64(v.spareCPU()+v.ReclaimableCPU-t.Step.Size.CPU) / capacity
	cost := suspicionCost * v.Suspicion
	switch {
	case t.Step.Lasting:
		// Lasting tasks fill one VM after the other.
		cost += float64(v.Free().CPU-t.Step.Size.CPU)/capacity + sameStageCost*float64(v.Stages[t.Key])
		cost += bestEffortCost * float64(v.BestEffortCPU) / capacity
	case t.Step.Filler:
		cost -= spare
		if v.InterferenceCost != nil {
			cost += v.InterferenceCost(t.Step)
		}
		if v.Overloaded {
			cost += overloadedCost
		}
	default:
		cost -= spare
		if v.Lasting > 0 {
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

// Feasible reports whether some VM could run the task if it were empty.
func Feasible(t *Task, vms []*VM) bool {
	for _, v := range vms {
		empty := VM{Service: v.Service, Labels: v.Labels, Capacity: v.Capacity}
		if empty.eligible(t) && v.Capacity.Covers(t.Step.ResourceRequest()) {
			return true
		}
	}
	return false
}
