package plan

import (
	"cmp"
	"slices"
	"time"
)

// Work is a stage with tasks that wait.
type Work struct {
	Key StageKey
	// Lasting work earns as long as it runs, so it goes first.
	Lasting  bool
	Priority int
	// Objective is when the job should be done, Late when it is worth nothing.
	Objective, Late time.Time
	// Left is the run time of what is left of the job's critical path.
	Left     time.Duration
	Accepted time.Time
	// Untimely work is not planned to meet its objective.
	Untimely bool
}

// hope says what a job can still reach.
type hope int

const (
	onTime hope = iota
	late
	lost
)

func (w *Work) hope(now time.Time) hope {
	done := now.Add(w.Left)
	switch {
	case !w.Untimely && !done.After(w.Objective):
		return onTime
	case !done.After(w.Late):
		return late
	}
	return lost
}

// Order sorts work by what comes first: lasting work, then by priority, then what
// can still be on time by the latest moment to begin, then what can be late, then
// the rest, oldest first.
func Order(now time.Time, work []Work) {
	slices.SortStableFunc(work, func(a, b Work) int {
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
		if c := cmp.Compare(a.Left, b.Left); ha == late && c != 0 {
			return c
		}
		return a.Accepted.Compare(b.Accepted)
	})
}
