package runner

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/ident"
	"github.com/ebonyarch/ebonyarch/internal/sched/guard"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// Batch returns the batch attempts that run, for the guard of the services.
func (r *Runner) Batch(now time.Time) []guard.Batch {
	var list []guard.Batch
	for _, id := range r.sorted() {
		a := r.attempts[id]
		if a.assignment.GetService() || a.ended || a.stop != keep || a.phase != schema.Phase_PHASE_RUNNING {
			continue
		}
		list = append(list, guard.Batch{
			Attempt: id, Kind: a.assignment.GetTeam() + "/" + a.assignment.GetKind(),
			CPU: a.assignment.GetSize().GetCpuMilli(), UnsavedWork: now.Sub(a.reportedAt),
		})
	}
	return list
}

// Evict gives a running attempt back, with a checkpoint.
func (r *Runner) Evict(id ident.Attempt) {
	if a := r.attempts[id]; a != nil && a.stop == keep && !a.ended {
		a.stop = stopEvict
	}
}
