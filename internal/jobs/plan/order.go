package plan

import (
	"cmp"
	"slices"
	"time"
)

// WaitingStage is a stage with tasks that wait.
type WaitingStage struct {
	Key StageKey
	// Lasting work earns as long as it runs, so it goes first.
	Lasting  bool
	Priority int
	// Objective is when the job should be done, Late when it is worth nothing.
	Objective, UsefulUntil time.Time
	// RemainingTime is the run time of what is left of the job's critical path.
	RemainingTime time.Duration
	Accepted      time.Time
	// PlannedLate work is not planned to meet its objective.
	PlannedLate bool
}

// hope says what a job can still reach.
type hope int

const (
	onTime hope = iota
	late
	lost
)

func (w *WaitingStage) hope(now time.Time) hope {
	done := now.Add(w.RemainingTime)
	switch {
	case !w.PlannedLate && !done.After(w.Objective):
		return onTime
	case !done.After(w.UsefulUntil):
		return late
	}
	return lost
}

// SortStages sorts work by what comes first: lasting work, then by priority, then what
// can still be on time by the latest moment to begin, then what can be late, then
// the rest, oldest first.
func SortStages(now time.Time, work []WaitingStage) {
	slices.SortStableFunc(work, func(a, b WaitingStage) int {
		if a.Lasting != b.Lasting {
			if a.Lasting {
				return -1
			}
			return 1
		}
		if c := cmp.Compare(a.Priority, b.Priority); c != 0 {
			return c
		}
		ha, hb := a.hope(now), b.hope(now)
		if c := cmp.Compare(ha, hb); c != 0 {
			return c
		}
		if ha == onTime {
			return a.Objective.Compare(b.Objective)
		}
		if c := cmp.Compare(a.RemainingTime, b.RemainingTime); ha == late && c != 0 {
			return c
		}
		return a.Accepted.Compare(b.Accepted)
	})
}
