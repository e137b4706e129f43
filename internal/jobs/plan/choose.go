package plan

import "slices"

// Weights of the parts of a VM's cost, in parts of the VM's capacity.
const (
	// remoteCost keeps tasks near their data as long as any of it has room.
	remoteCost = 4
	// crowdCost spreads the lasting tasks of one step.
	crowdCost = 8
	// freshCost keeps lasting tasks of different steps together, so that other VMs
	// stay free for fillers; fillingCost keeps them off VMs with fillers.
	freshCost   = 4
	fillingCost = 4
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
	left := float64(v.spare()+v.Unused-t.Step.Size.CPU) / float64(max(1, v.Capacity.CPU))
	cost := -left + doubtCost*v.Doubt
	if t.Step.Rack != "" && !slices.Contains(v.Labels, t.Step.Rack) {
		cost += remoteCost
	}
	if t.Step.Lasting {
		cost += crowdCost * float64(v.Stages[t.Key])
		cost += fillingCost * float64(v.Filling) / float64(max(1, v.Capacity.CPU))
		if v.Lasting == 0 {
			cost += freshCost
		}
	}
	if t.Step.Filler && v.Harm != nil {
		cost += v.Harm(t.Step)
	}
	if slices.Contains(t.Avoid, v.ID) {
		cost += avoidCost
	}
	return cost
}

// Possible reports whether some VM could run the task if it were empty.
func Possible(t *Task, vms []*VM) bool {
	for _, v := range vms {
		empty := VM{Service: v.Service, Labels: v.Labels, Capacity: v.Capacity}
		if empty.allows(t) && v.Capacity.Covers(t.Step.Room()) {
			return true
		}
	}
	return false
}
