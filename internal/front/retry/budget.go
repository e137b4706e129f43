// Package retry decides whether a request may be sent again.
package retry

import "time"

const (
	// maxTokens bounds what a budget saves for a burst.
	maxTokens = 20
	// MaxTries bounds the upstreams that one request is sent to.
	MaxTries = 3
	// floorPerSecond is what a budget earns without any request, so that a service
	// with few requests can still send again what a lost connection took along.
	floorPerSecond = 10
)

// Budget lets retries be a share of the requests sent, beside a small number each
// second. Its zero value is ready for use.
type Budget struct {
	tokens float64
	// earned is when the floor was added last.
	earned time.Time
}

// Deposit adds what one first try earns.
func (b *Budget) Deposit(share float64) { b.tokens = min(maxTokens, b.tokens+share) }

// earn adds the floor for the time that passed.
func (b *Budget) earn(now time.Time) {
	passed := time.Second
	if !b.earned.IsZero() {
		passed = min(max(0, now.Sub(b.earned)), time.Second)
	}
	b.tokens = min(maxTokens, b.tokens+floorPerSecond*passed.Seconds())
	b.earned = now
}

// Withdraw uses up one retry if the budget allows it.
func (b *Budget) Withdraw(now time.Time) bool {
	b.earn(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Request describes a failed try.
type Request struct {
	// NotRun is set if the request certainly did not run.
	NotRun     bool
	Idempotent bool
	// Tries counts the upstreams that it was sent to.
	Tries    int
	Deadline time.Time
	// ExpectedTime is how long another try is expected to take.
	ExpectedTime time.Duration
}

// Allow reports whether the request may be sent to another upstream, and uses
// the budget if so.
func (b *Budget) Allow(now time.Time, t Request) bool {
	if !t.NotRun && !t.Idempotent {
		return false
	}
	if t.Tries >= MaxTries || now.Add(t.ExpectedTime).After(t.Deadline) {
		return false
	}
	return b.Withdraw(now)
}
