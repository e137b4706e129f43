// Package retry decides whether a request may be sent again.
package retry

import "time"

const (
	// maxTokens bounds what a budget saves for a burst.
	maxTokens = 20
	// MaxTries bounds the upstreams that one request is sent to.
	MaxTries = 3
)

// Budget lets retries be a share of the requests sent. The zero value allows
// none until requests were sent.
type Budget struct {
	tokens float64
}

// Sent adds what one first try earns.
func (b *Budget) Sent(share float64) { b.tokens = min(maxTokens, b.tokens+share) }

// Take uses up one retry if the budget allows it.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Try describes a failed try.
type Try struct {
	// NotRun is set if the request certainly did not run.
	NotRun     bool
	Idempotent bool
	// Tries counts the upstreams that it was sent to.
	Tries    int
	Deadline time.Time
	// Expected is how long another try is expected to take.
	Expected time.Duration
}

// Again reports whether the request may be sent to another upstream, and uses
// the budget if so.
func (b *Budget) Again(now time.Time, t Try) bool {
	if !t.NotRun && !t.Idempotent {
		return false
	}
	if t.Tries >= MaxTries || now.Add(t.Expected).After(t.Deadline) {
		return false
	}
	return b.Take()
}
