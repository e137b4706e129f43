// Package probe detects failing upstreams: it ejects an upstream from use after
// consecutive failures, and readmits it once a single request to it, the probe,
// succeeds.
package probe

import "time"

const (
	// failuresToEject is the number of consecutive failures that ejects an upstream.
	failuresToEject = 5
	// minEjection and maxEjection limit the time from an ejection to the probe. It
	// doubles with each ejection and failed probe, and halves with each success.
	minEjection = time.Second
	maxEjection = 30 * time.Second
	// MaxEjectedPercent limits the share of a service's upstreams that are ejected at
	// the same time.
	MaxEjectedPercent = 50
)

// Health is the health of one upstream as seen by one entry. The zero value is
// healthy.
type Health struct {
	// failures is the number of failures since the latest success.
	failures int
	// ejectionTime is the latest delay from an ejection or failed probe to the next
	// probe. Each success since then halves it.
	ejectionTime time.Duration
	// probeAt is when a probe may be sent; zero unless ejected.
	probeAt time.Time
	// probing is set while the probe is in flight.
	probing bool
}

// Ejected reports whether the upstream is out of normal use.
func (h *Health) Ejected() bool { return !h.probeAt.IsZero() }

// MayProbe reports whether a probe may be sent to the upstream.
func (h *Health) MayProbe(now time.Time) bool {
	return h.Ejected() && !h.probing && !now.Before(h.probeAt)
}

// Sent records that a request was sent. To an ejected upstream, it is the probe.
func (h *Health) Sent() { h.probing = h.Ejected() }

// Succeeded records a successful request. It returns true if this ended an ejection.
func (h *Health) Succeeded() bool {
	wasEjected := h.Ejected()
	h.failures, h.probeAt, h.probing = 0, time.Time{}, false
	h.ejectionTime /= 2
	return wasEjected
}

// Failed records a failed request. mayEject says whether one more upstream of the
// service may be ejected. It returns true if this upstream was newly ejected.
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
