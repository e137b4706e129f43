// Package retry decides whether a request may be sent again.
package retry

import "time"

const (
	// maxTokens is the largest number of tokens that a budget accumulates for a burst
	// of retries.
	maxTokens = 20
	// MaxTries is the largest number of upstreams that one request is sent to.
	MaxTries = 3
	// minTokensPerSecond is the rate at which a budget grows even without requests, so
	// that a service with few requests can still retry those lost with a connection.
	minTokensPerSecond = 10
)

// Budget is a token bucket that limits retries to a share of the requests plus a small
// number each second. Each retry uses one token. The zero value is ready for use. It
// is not safe for concurrent use.
type Budget struct {
	tokens float64
	// refilledAt is the time of the latest refill.
	refilledAt time.Time
}

// Deposit adds the tokens for the first try of a request. share is the number of
// retries allowed per request, usually a fraction.
func (b *Budget) Deposit(share float64) { b.tokens = min(maxTokens, b.tokens+share) }

// refill adds minTokensPerSecond for the time since the latest refill, but for one
// second at most. The first refill counts one second.
func (b *Budget) refill(now time.Time) {
	elapsed := time.Second
	if !b.refilledAt.IsZero() {
		elapsed = min(max(0, now.Sub(b.refilledAt)), time.Second)
	}
	b.tokens = min(maxTokens, b.tokens+minTokensPerSecond*elapsed.Seconds())
	b.refilledAt = now
}

// Withdraw uses one token and returns true, or returns false if there is none.
func (b *Budget) Withdraw(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Request describes a request for which another try is considered.
type Request struct {
	// NotRun is set if the request certainly did not run.
	NotRun     bool
	Idempotent bool
	// Tries is the number of upstreams that the request was sent to.
	Tries    int
	Deadline time.Time
	// ExpectedTime is how long another try is expected to take.
	ExpectedTime time.Duration
}

// Allow reports whether the request may be sent to another upstream: that is safe, it
// can succeed before the deadline, and the budget has a token. It uses a token if so.
func (b *Budget) Allow(now time.Time, req Request) bool {
	if !req.NotRun && !req.Idempotent {
		return false
	}
	if req.Tries >= MaxTries || now.Add(req.ExpectedTime).After(req.Deadline) {
		return false
	}
	return b.Withdraw(now)
}
