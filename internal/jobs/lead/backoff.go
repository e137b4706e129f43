package lead

import (
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/plan"
)

const (
	// initialBackoff is how long a step waits after a worker refused one of its runs. Each
	// further refusal doubles the wait, up to maxBackoff.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// avoidFull is how long after its backoff a step avoids VMs that lacked capacity for it,
	// of which the leader may not have heard.
	avoidFull = 2 * time.Second
)

// backoffs delays the starts of steps whose runs workers refuse, so that tasks that cannot
// start do not load the store. The zero value is empty.
type backoffs struct {
	steps map[plan.StageKey]*backoff
}

// backoff is the exponential backoff of one step.
type backoff struct {
	until time.Time
	next  time.Duration
	// full holds the ids of the VMs whose workers refused for want of capacity.
	full []string
}

// noteRefused starts or extends the backoff of a step with a refused run.
func (b *backoffs) noteRefused(now time.Time, key plan.StageKey) {
	if b.steps == nil || len(b.steps) > maxTracked {
		b.steps = map[plan.StageKey]*backoff{}
	}
	s := b.steps[key]
	if s == nil {
		s = &backoff{next: initialBackoff}
		b.steps[key] = s
	}
	if now.Before(s.until) {
		return // an earlier refusal has already started this wait
	}
	s.until = now.Add(s.next)
	s.next = min(2*s.next, maxBackoff)
}

// noteFull records, after noteRefused, that a VM lacked capacity for a run of the step.
func (b *backoffs) noteFull(key plan.StageKey, vm string) {
	if s := b.steps[key]; !slices.Contains(s.full, vm) {
		s.full = append(s.full, vm)
	}
}

// full returns the VMs that a step avoids because they lacked capacity for it.
func (b *backoffs) full(now time.Time, key plan.StageKey) []string {
	s := b.steps[key]
	if s == nil {
		return nil
	}
	if now.After(s.until.Add(avoidFull)) {
		s.full = nil
	}
	return s.full
}

// reset ends the backoff of a step once a worker has run it.
func (b *backoffs) reset(key plan.StageKey) { delete(b.steps, key) }

// elapsed reports whether a step may start, since it has no backoff or that has elapsed.
func (b *backoffs) elapsed(now time.Time, key plan.StageKey) bool {
	s := b.steps[key]
	return s == nil || !now.Before(s.until)
}
