package place

import (
	"math"
	"time"
)

// Slowdown estimates how much one kind of batch work slows a service.
type Slowdown interface {
	// Slowdown returns the expected relative loss of speed, 0 for none.
	Slowdown(service, kind string) float64
	// MeanSlowdown returns that over all services.
	MeanSlowdown(kind string) float64
}

// Weights and bounds of the parts of Pack's score.
const (
	// slowdownWeight makes a slowdown of 10% outweigh a perfect fit.
	slowdownWeight = 10
	// acceleratorWaste is the cost of using a VM's accelerators' neighbours:
	// work without accelerators shuns VMs that have them free.
	acceleratorWaste = 0.5
	// tolerated is the slowdown of a service that placement keeps to.
	tolerated = 0.6
	// betterBy is how much less, or more, other waiting work must disturb for its
	// size for a VM to be left to it.
	betterBy = 1.5
	// RelaxAfter is how long a task is choosy.
	RelaxAfter = 2 * time.Hour
	// probationCost keeps work off VMs on probation while others have room.
	probationCost = 100
)

// Pack places batch tasks where they leave the least unusable remainder and slow
// services least, and spreads replicas over zones, racks and VMs.
type Pack struct {
	// Estimates may be nil.
	Estimates Slowdown
	// Spread counts replicas by place; nil does not spread.
	Spread *Spread
	// WaitingKinds are the kinds of batch work that wait.
	WaitingKinds []WaitingKind
}

// WaitingKind is a kind of batch work that waits for VMs.
type WaitingKind struct {
	Kind  string
	Size  Resources
	Count int
	// SlowdownPerCPU is the kind's, see Pack.
	SlowdownPerCPU float64
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
	if p.Estimates != nil && !p.suits(t, v) {
		return math.Inf(1)
	}
	score += p.disturbing(t, v)
	if t.Size.Accelerators == 0 && v.Free.Accelerators > 0 {
		score += acceleratorWaste
	}
	return score + imbalance(v.Free.Minus(t.Size), v.Capacity)
}

// suits reports whether a batch task may go to a VM: it must not disturb the
// services there too much, and no waiting work may suit the VM much better. Of
// what waits, VMs without services are for what disturbs most for its size, the
// others for what disturbs least. A task that waits long may go anywhere.
func (p Pack) suits(t *Task, v *VM) bool {
	if t.Waited >= RelaxAfter {
		return true
	}
	if !p.tolerable(t, v) {
		return false
	}
	own := t.SlowdownPerCPU
	for i := range p.WaitingKinds {
		r := &p.WaitingKinds[i]
		if r.Count == 0 || r.Kind == t.Kind || !v.Free.Covers(r.Size) {
			continue
		}
		other := r.SlowdownPerCPU
		if len(v.Services) == 0 && other > betterBy*own {
			return false
		}
		if len(v.Services) > 0 && betterBy*other < own && p.tolerable(&Task{Kind: r.Kind}, v) {
			return false
		}
	}
	return true
}

// tolerable reports whether no service on v would be disturbed too much.
func (p Pack) tolerable(t *Task, v *VM) bool {
	for _, service := range v.Services {
		sum := p.Estimates.Slowdown(service, t.Kind)
		for _, kind := range v.Kinds {
			sum += p.Estimates.Slowdown(service, kind)
		}
		if sum > tolerated {
			return false
		}
	}
	return true
}

// SlowdownPerCPU is how much a kind of batch work disturbs services for its size. Callers
// set it on tasks and rivals, once for many choices.
func (p Pack) SlowdownPerCPU(kind string, size Resources) float64 {
	if p.Estimates == nil {
		return 0
	}
	return p.Estimates.MeanSlowdown(kind) / float64(max(size.CPU, 1))
}

// disturbing is the slowdown that task t causes to the services on v.
func (p Pack) disturbing(t *Task, v *VM) float64 {
	if p.Estimates == nil {
		return 0
	}
	sum := 0.0
	for _, service := range v.Services {
		sum += p.Estimates.Slowdown(service, t.Kind)
	}
	return slowdownWeight * sum
}

// disturbed is the slowdown that replica t suffers from the batch work on v.
func (p Pack) disturbed(t *Task, v *VM) float64 {
	if p.Estimates == nil {
		return 0
	}
	sum := 0.0
	for _, kind := range v.Kinds {
		sum += p.Estimates.Slowdown(t.Kind, kind)
	}
	return slowdownWeight * sum
}

func (v *VM) freeShare() float64 {
	return share(v.Free.CPU, v.Capacity.CPU)
}

// imbalance is how much processors and memory left differ in share: what is
// left of one without the other cannot be used.
func imbalance(free, capacity Resources) float64 {
	cpu, memory := share(free.CPU, capacity.CPU), share(free.Memory, capacity.Memory)
	return max(cpu-memory, memory-cpu) + min(cpu, memory)/4
}

func share(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
