package lead

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/plan"
)

const (
	// initialBackoff is how long a step waits after a worker refused one of its runs; each
	// further refusal doubles it, up to mostWait.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// backoffs spaces the starts of steps whose runs workers refuse, so that what cannot start
// does not keep the store busy. Its zero value is empty.
type backoffs struct {
	steps map[plan.StageKey]*backoff
}

type backoff struct {
	until time.Time
	next  time.Duration
}

// noteRefused notes that a run of a step was refused.
func (w *backoffs) noteRefused(now time.Time, key plan.StageKey) {
	if w.steps == nil || len(w.steps) > maxTracked {
		w.steps = map[plan.StageKey]*backoff{}
	}
	s := w.steps[key]
	if s == nil {
		s = &backoff{next: initialBackoff}
		w.steps[key] = s
	}
	if now.Before(s.until) {
		return // other runs of the step were refused with it
	}
	s.until = now.Add(s.next)
	s.next = min(2*s.next, maxBackoff)
}

// reset forgets the refusals of a step that a worker runs.
func (w *backoffs) reset(key plan.StageKey) { delete(w.steps, key) }

// elapsed reports whether a step may start.
func (w *backoffs) elapsed(now time.Time, key plan.StageKey) bool {
	s := w.steps[key]
	return s == nil || !now.Before(s.until)
}
