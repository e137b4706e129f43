// Package probe takes upstreams out of use that fail more than others and lets
// them return by single requests.
package probe

import "time"

const (
	// failuresToEject is the number of failures in a row that ejects.
	failuresToEject = 5
	// minEjection and maxEjection bound how long an upstream stays out; each
	// ejection doubles the time.
	minEjection = time.Second
	maxEjection = 30 * time.Second
	// MaxEjectedPercent bounds the upstreams of a service that are out at a time.
	MaxEjectedPercent = 50
)

// Health is the health of one upstream as one entry sees it. The zero value is
// healthy.
type Health struct {
	// failures counts those since the latest success.
	failures int
	ejection time.Duration
	// until is when a probe may be sent; zero while in use.
	until time.Time
	// probing is set while the single probe is under way.
	probing bool
}

// Ejected reports whether the upstream is out of use, probes aside.
func (o *Health) Ejected() bool { return !o.until.IsZero() }

// MayProbe reports whether a single request may test the upstream.
func (o *Health) MayProbe(now time.Time) bool {
	return o.Ejected() && !o.probing && !now.Before(o.until)
}

// Sent reports that a request was sent; while ejected it is the probe.
func (o *Health) Sent() { o.probing = o.Ejected() }

// Succeeded reports an answer. It returns true if the upstream came back.
func (o *Health) Succeeded() bool {
	back := o.Ejected()
	o.failures, o.until, o.probing = 0, time.Time{}, false
	o.ejection /= 2
	return back
}

// Failed reports a failure. allowed says whether one more upstream may be
// ejected; it returns true if this one was.
func (o *Health) Failed(now time.Time, allowed bool) bool {
	o.failures++
	probed := o.probing
	o.probing = false
	if !probed && (o.failures < failuresToEject || o.Ejected() || !allowed) {
		return false
	}
	out := !o.Ejected()
	o.ejection = min(max(2*o.ejection, minEjection), maxEjection)
	o.until = now.Add(o.ejection)
	return out
}
