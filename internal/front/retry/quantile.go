package retry

import "time"

const (
	// hedgeQuantile is the quantile of reply times that is estimated, as a fraction.
	hedgeQuantile = 0.95
	// quantileStep scales the relative change of the estimate by one reply time. A
	// longer reply time raises the estimate by quantileStep * hedgeQuantile, a shorter
	// one lowers it by quantileStep * (1 - hedgeQuantile). The two balance when the
	// fraction hedgeQuantile of the reply times is shorter.
	quantileStep = 0.02
)

// Quantile estimates the hedgeQuantile of reply times. The zero value is an estimate
// without samples.
type Quantile struct {
	value   time.Duration
	samples int
}

// minSamples is the number of samples that the estimate needs before it is used.
const minSamples = 50

// Add adds one reply time to the estimate.
func (q *Quantile) Add(d time.Duration) {
	q.samples++
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

// Value returns the estimate, and whether there were enough samples for it.
func (q *Quantile) Value() (time.Duration, bool) { return q.value, q.samples >= minSamples }
