package plan

import (
	"cmp"
	"slices"
	"time"
)

// WaitingStage is a stage with tasks that wait for placement.
type WaitingStage struct {
	Key StageKey
	// LongRunning is set if the tasks are long-running. They are of value to the caller
	// for as long as they run, so they are placed first.
	LongRunning bool
	// Priority is that of the queue; 0 is the highest.
	Priority int
	// Objective is when the job should be completed. After UsefulUntil its completion
	// has no value.
	Objective, UsefulUntil time.Time
	// RemainingTime is the run time of the rest of the job's critical path.
	RemainingTime time.Duration
	Accepted      time.Time
	// PlannedLate is set if LateJobs returned the job.
	PlannedLate bool
}

// lateness classifies jobs by the earliest time at which they can be completed.
type lateness int

const (
	// onTime is the class of jobs that can meet their objective and are not planned to be
	// late.
	onTime lateness = iota
	// late is the class of other jobs that can be completed while that still has a value.
	late
	// expired is the class of jobs that can only be completed after that has lost its
	// value.
	expired
)

// lateness returns the class of the stage's job if it starts now.
func (w *WaitingStage) lateness(now time.Time) lateness {
	done := now.Add(w.RemainingTime)
	switch {
	case !w.PlannedLate && !done.After(w.Objective):
		return onTime
	case !done.After(w.UsefulUntil):
		return late
	}
	return expired
}

// OnTime reports whether the stage's job can meet its objective if it starts now, and is not planned
// to be late.
func (w *WaitingStage) OnTime(now time.Time) bool { return w.lateness(now) == onTime }

// SortStages sorts stages into the order in which they are placed. Long-running ones
// come first. The others are ordered by priority and, within a priority, by what their
// jobs can achieve: first those that can be on time, by objective, then those that can
// be late, the shortest remaining time first, then the rest, the oldest first.
func SortStages(now time.Time, stages []WaitingStage) {
	slices.SortStableFunc(stages, func(a, b WaitingStage) int {
		if a.LongRunning != b.LongRunning {
			if a.LongRunning {
				return -1
			}
			return 1
		}
		if c := cmp.Compare(a.Priority, b.Priority); c != 0 {
			return c
		}
		la, lb := a.lateness(now), b.lateness(now)
		if c := cmp.Compare(la, lb); c != 0 {
			return c
		}
		if la == onTime {
			return a.Objective.Compare(b.Objective)
		}
		if c := cmp.Compare(a.RemainingTime, b.RemainingTime); la == late && c != 0 {
			return c
		}
		return a.Accepted.Compare(b.Accepted)
	})
}
