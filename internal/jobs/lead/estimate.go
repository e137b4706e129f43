package lead

import "time"

// estimate is a value with its variance at a time.
type estimate struct {
	mean, variance float64
	at             time.Time
}

// drift adds doubt for the time since the estimate was made, up to a bound.
func (e *estimate) drift(now time.Time, perSecond, most float64) {
	if !e.at.IsZero() {
		e.variance = min(e.variance+perSecond*perSecond*max(0, now.Sub(e.at).Seconds()), most*most)
	}
	e.at = now
}

// correct moves the estimate by its part in an innovation of a variance; share is the
// factor by which the estimate counts in what was measured.
func (e *estimate) correct(innovation, variance, share float64) {
	gain := e.variance * share / variance
	e.mean += gain * innovation
	e.variance *= 1 - gain*share
}
