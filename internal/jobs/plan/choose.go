package plan

import "slices"

// Weights of the parts of a VM's cost, in parts of the VM's capacity.
const (
	// remoteCost keeps tasks near their data as long as any of it has room.
	remoteCost = 4
	// crowdCost spreads the lasting tasks of one step a little.
	crowdCost = 0.1
	// fillingCost keeps lasting tasks off VMs with fillers.
	fillingCost = 0.5
	// besideBonus draws tasks that disturb nobody to VMs with lasting tasks, so that
	// other VMs stay free for fillers.
	besideBonus = 1
	// strainedCost makes strained VMs the last resort of fillers.
	strainedCost = 50
	// avoidCost makes VMs on which the task failed the last resort.
	avoidCost = 100
	// doubtCost weighs a VM's failures and slowness.
	doubtCost = 2
)

// Choose returns the index of the VM on which a task is best placed, or -1 if it
// has room on none.
func Choose(t *Task, vms []*VM) int {
	best, bestCost := -1, 0.0
	for i, v := range vms {
		if !v.allows(t) || !v.fits(t) {
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
	left := float64(v.spare()+v.ReclaimableCPU-t.Step.Size.CPU) / capacity
	cost := doubtCost * v.Suspicion
	switch {
	case t.Step.Lasting:
		// Lasting tasks fill one VM after the other.
		cost += float64(v.Free().CPU-t.Step.Size.CPU)/capacity + crowdCost*float64(v.Stages[t.Key])
		cost += fillingCost * float64(v.BestEffortCPU) / capacity
	case t.Step.Filler:
		cost -= left
		if v.InterferenceCost != nil {
			cost += v.InterferenceCost(t.Step)
		}
		if v.Overloaded {
			cost += strainedCost
		}
	default:
		cost -= left
		if v.Lasting > 0 {
			cost -= besideBonus
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
		if empty.allows(t) && v.Capacity.Covers(t.Step.ResourceRequest()) {
			return true
		}
	}
	return false
}
