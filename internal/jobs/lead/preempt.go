package lead

import (
	"cmp"
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/plan"
)

// reservationDuration is how long the capacity freed by a preemption is reserved for the
// stage that needs it.
const reservationDuration = 2 * time.Second

// preempt stops runs of lower priority so that a long-running task can start, on the VM
// where that loses the least work. The runs that began last are stopped first.
func (p *pass) preempt(t *plan.Task) {
	var best []runKey
	var bestVM *vm
	var bestLoss time.Duration
	for _, v := range p.vms {
		if now := p.now; now.Before(v.reservedUntil) {
			if v.reservedStage == t.Key {
				return // a preemption for the stage is under way
			}
			continue
		}
		if !v.couldRun(t) || v.placement.Free().Covers(t.Step.ResourceRequest()) {
			continue // the VM does not lack capacity, so stopping runs would not help
		}
		keys, loss, ok := p.victims(v, t)
		if ok && (bestVM == nil || loss < bestLoss) {
			best, bestVM, bestLoss = keys, v, loss
		}
	}
	if bestVM == nil {
		return
	}
	bestVM.reservedStage, bestVM.reservedUntil = t.Key, p.now.Add(reservationDuration)
	for _, key := range best {
		p.l.stats.Preempted++
		p.l.stopRun(p.now, bestVM.info.ID, key, "preempted for a long-running task")
	}
}

// couldRun reports whether a VM could run the task if it were empty.
func (v *vm) couldRun(t *plan.Task) bool {
	if t.Step.MaxPerVM > 0 && v.placement.Stages[t.Key] >= t.Step.MaxPerVM {
		return false
	}
	return plan.Feasible(t, []*plan.VM{&v.placement})
}

// victims returns the runs to stop on the VM for a task, the sum of the times that they have
// run, and whether they free enough capacity.
func (p *pass) victims(v *vm, t *plan.Task) ([]runKey, time.Duration, bool) {
	type candidate struct {
		key  runKey
		r    *run
		loss time.Duration
	}
	var list []candidate
	free := v.placement.Free()
	for key, r := range v.runs {
		switch {
		case r.stopped:
			free = free.Plus(r.step.ResourceRequest())
		case r.step.LongRunning || r.entry.Job.Queue.Priority == 0:
		default:
			list = append(list, candidate{key, r, p.now.Sub(r.since)})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		if c := cmp.Compare(a.loss, b.loss); c != 0 {
			return c
		}
		return cmp.Compare(a.key.task, b.key.task)
	})
	var keys []runKey
	var loss time.Duration
	for _, c := range list {
		if free.Covers(t.Step.ResourceRequest()) {
			break
		}
		if c.r.step.ResourceRequest().CPU == 0 && free.Memory >= t.Step.ResourceRequest().Memory {
			continue // the run reserves no processors, and there is enough memory
		}
		free = free.Plus(c.r.step.ResourceRequest())
		keys = append(keys, c.key)
		loss += c.loss
	}
	return keys, loss, free.Covers(t.Step.ResourceRequest())
}
