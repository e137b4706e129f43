package place

import (
	"math"
	"time"
)

// Slowdown estimates how much one kind of batch work slows down a service.
type Slowdown interface {
	// Slowdown returns the expected relative increase of the service time by one
	// task of the kind: 0 for none, 1 for a service time twice as long.
	Slowdown(service, kind string) float64
	// MeanSlowdown returns the expected slowdown averaged over all services.
	MeanSlowdown(kind string) float64
}

// Weights and limits of the terms of Pack's score.
const (
	// slowdownWeight makes a slowdown of 10% count for more than a perfect fit.
	slowdownWeight = 10
	// acceleratorPenalty is the penalty of a VM with free accelerators for tasks
	// that need none, so that its other resources stay free for tasks that do.
	acceleratorPenalty = 0.5
	// maxSlowdown is the largest expected slowdown of a service that placement
	// accepts.
	maxSlowdown = 0.6
	// preferenceFactor is the factor by which the slowdown per CPU of another
	// waiting kind must be higher, or lower, for a VM to be left to that kind. See
	// Pack.accepts.
	preferenceFactor = 1.5
	// RelaxAfter is the waiting time after which a task may go to any VM on which
	// it fits, whatever the slowdown.
	RelaxAfter = 2 * time.Hour
	// probationPenalty keeps tasks off VMs on probation while they fit elsewhere.
	probationPenalty = 100
)

// Pack is a bin-packing policy. It places batch tasks where they leave the least
// unusable remainder and slow services down least, and spreads the replicas of a
// service over availability zones, racks and VMs.
type Pack struct {
	// Estimates are the expected slowdowns; nil ignores slowdown.
	Estimates Slowdown
	// Spread counts the replicas of each service; nil disables spreading.
	Spread *Spread
	// WaitingKinds are the kinds of batch work with waiting tasks.
	WaitingKinds []WaitingKind
}

// WaitingKind is a kind of batch work with tasks that wait for a VM.
type WaitingKind struct {
	Kind string
	Size Resources
	// Count is the number of waiting tasks.
	Count int
	// SlowdownPerCPU is the result of Pack.SlowdownPerCPU for the kind.
	SlowdownPerCPU float64
}

// Score implements Policy.
func (p Pack) Score(t *Task, v *VM) float64 {
	score := 0.0
	if v.Probation {
		score += probationPenalty
	}
	if t.Service {
		score += p.Spread.cost(t.Kind, v)
		return score + p.slowdownSuffered(t, v) - v.freeShare()
	}
	if p.Estimates != nil && !p.accepts(t, v) {
		return math.Inf(1)
	}
	score += p.slowdownCaused(t, v)
	if t.Size.Accelerators == 0 && v.Free.Accelerators > 0 {
		score += acceleratorPenalty
	}
	return score + imbalance(v.Free.Minus(t.Size), v.Capacity)
}

// accepts reports whether a batch task may go to a VM. It must not slow the
// services there down by more than maxSlowdown, and no other waiting kind may suit
// the VM much better: VMs without services are kept for the kinds with the highest
// slowdown per CPU, the others for the kinds with the lowest. A task that has
// waited for RelaxAfter may go to any VM.
func (p Pack) accepts(t *Task, v *VM) bool {
	if t.Waited >= RelaxAfter {
		return true
	}
	if !p.withinMaxSlowdown(t, v) {
		return false
	}
	own := t.SlowdownPerCPU
	for i := range p.WaitingKinds {
		w := &p.WaitingKinds[i]
		if w.Count == 0 || w.Kind == t.Kind || !v.Free.Covers(w.Size) {
			continue
		}
		other := w.SlowdownPerCPU
		if len(v.Services) == 0 && other > preferenceFactor*own {
			return false
		}
		if len(v.Services) > 0 && preferenceFactor*other < own && p.withinMaxSlowdown(&Task{Kind: w.Kind}, v) {
			return false
		}
	}
	return true
}

// withinMaxSlowdown reports whether the expected slowdown of every service on v,
// by t and the batch tasks already there, is at most maxSlowdown.
func (p Pack) withinMaxSlowdown(t *Task, v *VM) bool {
	for _, service := range v.Services {
		sum := p.Estimates.Slowdown(service, t.Kind)
		for _, kind := range v.Kinds {
			sum += p.Estimates.Slowdown(service, kind)
		}
		if sum > maxSlowdown {
			return false
		}
	}
	return true
}

// SlowdownPerCPU returns the mean slowdown of services by one task of a kind, per
// thousandth of a processor. Callers store it in tasks and waiting kinds, so that
// it is computed once for many calls of Choose.
func (p Pack) SlowdownPerCPU(kind string, size Resources) float64 {
	if p.Estimates == nil {
		return 0
	}
	return p.Estimates.MeanSlowdown(kind) / float64(max(size.CPU, 1))
}

// slowdownCaused returns the weighted slowdown of the services on v by task t.
func (p Pack) slowdownCaused(t *Task, v *VM) float64 {
	if p.Estimates == nil {
		return 0
	}
	sum := 0.0
	for _, service := range v.Services {
		sum += p.Estimates.Slowdown(service, t.Kind)
	}
	return slowdownWeight * sum
}

// slowdownSuffered returns the weighted slowdown of replica t by the batch tasks
// on v.
func (p Pack) slowdownSuffered(t *Task, v *VM) float64 {
	if p.Estimates == nil {
		return 0
	}
	sum := 0.0
	for _, kind := range v.Kinds {
		sum += p.Estimates.Slowdown(t.Kind, kind)
	}
	return slowdownWeight * sum
}

// freeShare returns the fraction of the VM's processors that is free.
func (v *VM) freeShare() float64 {
	return share(v.Free.CPU, v.Capacity.CPU)
}

// imbalance returns a penalty for the difference between the fractions of
// processors and of memory that stay free, since one cannot be used without the
// other, plus a smaller one for the fraction of both that stays free.
func imbalance(free, capacity Resources) float64 {
	cpu, memory := share(free.CPU, capacity.CPU), share(free.Memory, capacity.Memory)
	return max(cpu-memory, memory-cpu) + min(cpu, memory)/4
}

// share returns part as a fraction of whole, 0 if whole is 0.
func share(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
