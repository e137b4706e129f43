package lead

import "time"

// estimate is the mean and the variance of an estimated value, as of a time.
type estimate struct {
	mean, variance float64
	at             time.Time
}

// drift increases the variance by what the true value may have changed since the previous
// call: stdDevPerSecond is the standard deviation of the change in one second. maxStdDev
// bounds the standard deviation of the estimate.
func (e *estimate) drift(now time.Time, stdDevPerSecond, maxStdDev float64) {
	if !e.at.IsZero() {
		e.variance = min(e.variance+stdDevPerSecond*stdDevPerSecond*max(0, now.Sub(e.at).Seconds()), maxStdDev*maxStdDev)
	}
	e.at = now
}

// update applies the Kalman update for one measurement. innovation is the difference of
// the measured and the predicted value, variance its variance, and weight the factor of
// this estimate in the prediction.
func (e *estimate) update(innovation, variance, weight float64) {
	gain := e.variance * weight / variance
	e.mean += gain * innovation
	e.variance *= 1 - gain*weight
}
