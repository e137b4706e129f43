package runner

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/ident"
	"github.com/ebonyarch/ebonyarch/internal/sched/guard"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// Batch returns the running batch attempts, as package guard needs them.
func (r *Runner) Batch(now time.Time) []guard.Batch {
	var list []guard.Batch
	for _, id := range r.sortedIDs() {
		a := r.attempts[id]
		if a.assignment.GetService() || a.ended || a.stop != stopNone || a.phase != schema.Phase_PHASE_RUNNING {
			continue
		}
		list = append(list, guard.Batch{
			Attempt: id, Kind: a.assignment.GetTeam() + "/" + a.assignment.GetKind(),
			CPU: a.assignment.GetSize().GetCpuMilli(), UnsavedWork: now.Sub(a.checkpointedAt),
		})
	}
	return list
}

// Evict stops a running attempt with a checkpoint and returns it to the leader.
func (r *Runner) Evict(id ident.Attempt) {
	if a := r.attempts[id]; a != nil && a.stop == stopNone && !a.ended {
		a.stop = stopEvict
	}
}
