package lead

import (
	"cmp"
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/plan"
)

// keepFor is how long room that is being made is kept for its stage.
const keepFor = 2 * time.Second

// makeRoom stops work of lower priority on the VM where that loses least, so that
// a lasting task can start there. Runs that save their progress and have begun
// last are stopped first.
func (p *pass) makeRoom(t *plan.Task) {
	var best []runKey
	var bestVM *vm
	var bestLoss time.Duration
	for _, v := range p.vms {
		if now := p.now; now.Before(v.keptUntil) {
			if v.kept == t.Key {
				return // room is being made already
			}
			continue
		}
		if !v.accepts(t) {
			continue
		}
		keys, loss, ok := p.victims(v, t)
		if ok && (bestVM == nil || loss < bestLoss) {
			best, bestVM, bestLoss = keys, v, loss
		}
	}
	if bestVM == nil {
		return
	}
	bestVM.kept, bestVM.keptUntil = t.Key, p.now.Add(keepFor)
	for _, key := range best {
		p.l.stats.Preempted++
		p.l.stopRun(p.now, bestVM.info.ID, key, "makes room for a lasting task")
	}
}

// accepts reports whether a VM could run the task if it were empty.
func (v *vm) accepts(t *plan.Task) bool {
	if t.Step.MaxPerVM > 0 && v.room.Stages[t.Key] >= t.Step.MaxPerVM {
		return false
	}
	return plan.Feasible(t, []*plan.VM{&v.room})
}

// victims returns the runs to stop for a task, and the work that is lost with them.
func (p *pass) victims(v *vm, t *plan.Task) ([]runKey, time.Duration, bool) {
	type candidate struct {
		key  runKey
		it   *run
		loss time.Duration
	}
	var list []candidate
	free := v.room.Free()
	for key, it := range v.runs {
		switch {
		case it.stopped:
			free = free.Plus(it.step.ResourceRequest())
		case it.step.LongRunning || it.entry.Job.Queue.Priority == 0:
		default:
			list = append(list, candidate{key, it, p.now.Sub(it.since)})
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
		if c.it.step.ResourceRequest().CPU == 0 && free.Memory >= t.Step.ResourceRequest().Memory {
			continue
		}
		free = free.Plus(c.it.step.ResourceRequest())
		keys = append(keys, c.key)
		loss += c.loss
	}
	return keys, loss, free.Covers(t.Step.ResourceRequest())
}
