package lead

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/plan"
)

const (
	// firstWait is how long a step waits after a worker refused one of its runs; each
	// further refusal doubles it, up to mostWait.
	firstWait = 50 * time.Millisecond
	mostWait  = 2 * time.Second
)

// waits spaces the starts of steps whose runs workers refuse, so that what cannot start
// does not keep the store busy. Its zero value is empty.
type waits struct {
	steps map[plan.StageKey]*wait
}

type wait struct {
	until time.Time
	next  time.Duration
}

// refused notes that a run of a step was refused.
func (w *waits) refused(now time.Time, key plan.StageKey) {
	if w.steps == nil || len(w.steps) > maxKnown {
		w.steps = map[plan.StageKey]*wait{}
	}
	s := w.steps[key]
	if s == nil {
		s = &wait{next: firstWait}
		w.steps[key] = s
	}
	if now.Before(s.until) {
		return // other runs of the step were refused with it
	}
	s.until = now.Add(s.next)
	s.next = min(2*s.next, mostWait)
}

// started forgets the refusals of a step that a worker runs.
func (w *waits) started(key plan.StageKey) { delete(w.steps, key) }

// over reports whether a step may start.
func (w *waits) over(now time.Time, key plan.StageKey) bool {
	s := w.steps[key]
	return s == nil || !now.Before(s.until)
}
