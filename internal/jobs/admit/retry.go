// Package admit decides when callers whose work was refused may return.
//
// It answers outages of unknown length: a caller who tries again every second has used up
// its tries before an outage of a few seconds is over, and callers that were refused
// together return together.
package admit

import (
	"hash/fnv"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
)

const (
	// minWait and mostWait bound what a caller is told to wait.
	minWait, maxWait = time.Second, 5 * time.Second
	// jitter is the part of the wait by which callers are spread.
	jitter = 0.5
)

// RetryAfter returns when a caller may return whose work was refused, given for how
// long the cause has lasted. An outage is expected to last as long again, so the waits
// double; callers are spread by their jobs' ids. The wait is in whole seconds, as HTTP
// says it.
func RetryAfter(lasted time.Duration, id model.ID) time.Duration {
	wait := min(max(lasted, minWait), maxWait)
	wait += time.Duration(float64(wait) * jitter * fraction(id))
	return wait.Round(time.Second)
}

// fraction returns a number from 0 to 1 that depends on an id only.
func fraction(id model.ID) float64 {
	h := fnv.New32a()
	h.Write([]byte(id))
	return float64(h.Sum32()) / (1 << 32)
}
