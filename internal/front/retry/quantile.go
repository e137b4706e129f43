package retry

import "time"

const (
	// hedgeQuantile is the share of answers that come before a hedge is due.
	hedgeQuantile = 0.95
	// quantileStep is the relative change of the estimate by one answer.
	quantileStep = 0.02
)

// Quantile follows a high quantile of answer times. Its zero value has seen
// none.
type Quantile struct {
	value time.Duration
	seen  int
}

// minSeen is the number of answers before the estimate is used.
const minSeen = 50

// Add takes one answer time.
func (q *Quantile) Add(d time.Duration) {
	q.seen++
	if q.value == 0 {
		q.value = d
		return
	}
	step := float64(q.value) * quantileStep
	if d > q.value {
		q.value += time.Duration(step * hedgeQuantile)
	} else {
		q.value -= time.Duration(step * (1 - hedgeQuantile))
	}
}

// Value returns the estimate, false if too few answers were seen.
func (q *Quantile) Value() (time.Duration, bool) { return q.value, q.seen >= minSeen }
