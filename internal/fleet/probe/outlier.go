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
	failures     int
	ejectionTime time.Duration
	// probeAt is when a probe may be sent; zero while in use.
	probeAt time.Time
	// probing is set while the single probe is under way.
	probing bool
}

// Ejected reports whether the upstream is out of use, probes aside.
func (h *Health) Ejected() bool { return !h.probeAt.IsZero() }

// MayProbe reports whether a single request may test the upstream.
func (h *Health) MayProbe(now time.Time) bool {
	return h.Ejected() && !h.probing && !now.Before(h.probeAt)
}

// Sent reports that a request was sent; while ejected it is the probe.
func (h *Health) Sent() { h.probing = h.Ejected() }

// Succeeded reports an answer. It returns true if the upstream came back.
func (h *Health) Succeeded() bool {
	wasEjected := h.Ejected()
	h.failures, h.probeAt, h.probing = 0, time.Time{}, false
	h.ejectionTime /= 2
	return wasEjected
}

// Failed reports a failure. allowed says whether one more upstream may be
// ejected; it returns true if this one was.
func (h *Health) Failed(now time.Time, mayEject bool) bool {
	h.failures++
	wasProbe := h.probing
	h.probing = false
	if !wasProbe && (h.failures < failuresToEject || h.Ejected() || !mayEject) {
		return false
	}
	newlyEjected := !h.Ejected()
	h.ejectionTime = min(max(2*h.ejectionTime, minEjection), maxEjection)
	h.probeAt = now.Add(h.ejectionTime)
	return newlyEjected
}
