// Package admit decides when callers whose jobs were refused should try again.
//
// It is made for outages of unknown duration, in which a constant delay fails in two ways:
// a caller that tries again every second runs out of tries before an outage of a few
// seconds is over, and callers that were refused at the same time return at the same time.
package admit

import (
	"hash/fnv"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
)

const (
	// minWait and maxWait bound the delay before the jitter is added.
	minWait, maxWait = time.Second, 5 * time.Second
	// jitter is the maximum jitter as a fraction of the delay.
	jitter = 0.5
)

// RetryAfter returns how long the caller of a refused job should wait before it tries
// again. lasted is how long the cause of the refusal has lasted. It is expected to last as
// long again, so the delays double. A jitter that depends on the job's id spreads the
// callers. The result is a number of whole seconds because the HTTP header Retry-After
// requires that.
func RetryAfter(lasted time.Duration, id model.ID) time.Duration {
	wait := min(max(lasted, minWait), maxWait)
	wait += time.Duration(float64(wait) * jitter * fraction(id))
	return wait.Round(time.Second)
}

// fraction returns a hash of the id, scaled to the range from 0 to 1.
func fraction(id model.ID) float64 {
	h := fnv.New32a()
	h.Write([]byte(id))
	return float64(h.Sum32()) / (1 << 32)
}
