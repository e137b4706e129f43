package lead

import "time"

// estimate is a value with its variance at a time.
type estimate struct {
	mean, variance float64
	at             time.Time
}

// drift adds doubt for the time since the estimate was made, up to a bound.
func (e *estimate) drift(now time.Time, stdDevPerSecond, maxStdDev float64) {
	if !e.at.IsZero() {
		e.variance = min(e.variance+stdDevPerSecond*stdDevPerSecond*max(0, now.Sub(e.at).Seconds()), maxStdDev*maxStdDev)
	}
	e.at = now
}

// update moves the estimate by its part in an innovation of a variance; share is the
// factor by which the estimate counts in what was measured.
func (e *estimate) update(innovation, variance, weight float64) {
	gain := e.variance * weight / variance
	e.mean += gain * innovation
	e.variance *= 1 - gain*weight
}
