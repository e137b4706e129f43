package place

// Slowdown estimates how much one kind of batch work slows a service.
type Slowdown interface {
	// Slowdown returns the expected relative loss of speed, 0 for none.
	Slowdown(service, kind string) float64
}

// Weights of the parts of Pack's score.
const (
	// slowdownWeight makes a slowdown of 10% outweigh a perfect fit.
	slowdownWeight = 10
	// acceleratorWaste is the cost of using a VM's accelerators' neighbours:
	// work without accelerators shuns VMs that have them free.
	acceleratorWaste = 0.5
	// probationCost keeps work off VMs on probation while others have room.
	probationCost = 100
)

// Pack places batch tasks where they leave the least unusable remainder and slow
// services least, and spreads replicas over zones, racks and VMs.
type Pack struct {
	// Learned may be nil.
	Learned Slowdown
	// Spread counts replicas by place; see NewSpread.
	Spread *Spread
}

// Score implements Policy.
func (p Pack) Score(t *Task, v *VM) float64 {
	score := 0.0
	if v.Probation {
		score += probationCost
	}
	if t.Service {
		score += p.Spread.cost(t.Kind, v)
		return score + p.disturbed(t, v) - v.freeShare()
	}
	score += p.disturbing(t, v)
	if t.Size.Accelerators == 0 && v.Free.Accelerators > 0 {
		score += acceleratorWaste
	}
	return score + imbalance(v.Free.Minus(t.Size), v.Capacity)
}

// disturbing is the slowdown that task t causes to the services on v.
func (p Pack) disturbing(t *Task, v *VM) float64 {
	if p.Learned == nil {
		return 0
	}
	sum := 0.0
	for _, service := range v.Services {
		sum += p.Learned.Slowdown(service, t.Kind)
	}
	return slowdownWeight * sum
}

// disturbed is the slowdown that replica t suffers from the batch work on v.
func (p Pack) disturbed(t *Task, v *VM) float64 {
	if p.Learned == nil {
		return 0
	}
	sum := 0.0
	for _, kind := range v.Kinds {
		sum += p.Learned.Slowdown(t.Kind, kind)
	}
	return slowdownWeight * sum
}

func (v *VM) freeShare() float64 {
	return share(v.Free.CPU, v.Capacity.CPU)
}

// imbalance is how much processors and memory left differ in share: what is
// left of one without the other cannot be used.
func imbalance(free, capacity Amount) float64 {
	cpu, memory := share(free.CPU, capacity.CPU), share(free.Memory, capacity.Memory)
	return max(cpu-memory, memory-cpu) + min(cpu, memory)/4
}

func share(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
