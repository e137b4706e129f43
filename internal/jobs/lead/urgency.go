package lead

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/plan"
)

// urgency says when a run's job should be completed.
type urgency struct {
	// late is set if the job is planned to be late.
	late bool
	// objective is when the job should be completed, zero if no plan includes it.
	objective time.Time
}

// urgencyOf returns the urgency of a run according to the present plan.
func (l *Leader) urgencyOf(r *run) urgency {
	o := &l.onTimePlan
	key := plan.StageKey{Job: r.ref.Job, Occurrence: r.ref.Occurrence}
	return urgency{o.late[key], o.objectives[key]}
}

// compare orders jobs that can be on time before late ones and, among each, by objective.
func (u urgency) compare(v urgency) int {
	if c := compareLate(u.late, v.late); c != 0 {
		return c
	}
	return u.objective.Compare(v.objective)
}

// compareLate orders what is late after what is not.
func compareLate(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
