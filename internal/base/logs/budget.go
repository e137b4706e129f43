package logs

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

const (
	// linesPerSecond limits the average rate of lines with the same message; burst is
	// the number of such lines that may be written at once.
	linesPerSecond, burst = 100, 400
	// maxMessages is the number of messages with their own limit. All others share one,
	// so that the memory for token buckets is bounded.
	maxMessages = 256
)

// RateLimiter is a handler that limits the rate of lines with the same message, so that
// frequent lines neither take much processor time nor displace lines with other
// messages. After lines were dropped, the next line with the same message has their
// number as the attribute heldBack. Create it with NewRateLimiter.
type RateLimiter struct {
	next   slog.Handler
	shared *buckets
}

// NewRateLimiter returns a handler that passes at most the permitted lines to next.
func NewRateLimiter(next slog.Handler) *RateLimiter {
	return &RateLimiter{next: next, shared: &buckets{byMessage: map[string]*bucket{}}}
}

// Enabled implements slog.Handler.
func (l *RateLimiter) Enabled(ctx context.Context, level slog.Level) bool {
	return l.next.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (l *RateLimiter) Handle(ctx context.Context, r slog.Record) error {
	heldBack, ok := l.shared.take(r.Time, r.Message)
	if !ok {
		return nil
	}
	if heldBack > 0 {
		r.AddAttrs(slog.Uint64("heldBack", heldBack))
	}
	return l.next.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (l *RateLimiter) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &RateLimiter{l.next.WithAttrs(attrs), l.shared}
}

// WithGroup implements slog.Handler.
func (l *RateLimiter) WithGroup(name string) slog.Handler {
	return &RateLimiter{l.next.WithGroup(name), l.shared}
}

// buckets holds the token bucket of each message.
type buckets struct {
	mu        sync.Mutex
	byMessage map[string]*bucket
}

// bucket is a token bucket. Each line takes one token.
type bucket struct {
	// tokens is at most burst.
	tokens     float64
	refilledAt time.Time
	// heldBack is the number of lines dropped since the last one written.
	heldBack uint64
}

// take removes a token for a line with the given message. It returns how many lines were
// dropped since the last one written, and false if this line must be dropped too.
func (bs *buckets) take(now time.Time, message string) (heldBack uint64, ok bool) {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	b := bs.byMessage[message]
	if b == nil {
		if len(bs.byMessage) >= maxMessages {
			message = ""
		}
		b = bs.byMessage[message]
	}
	if b == nil {
		b = &bucket{tokens: burst, refilledAt: now}
		bs.byMessage[message] = b
	}
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens = min(burst, b.tokens+elapsed.Seconds()*linesPerSecond)
		b.refilledAt = now
	}
	if b.tokens < 1 {
		b.heldBack++
		return 0, false
	}
	b.tokens--
	heldBack, b.heldBack = b.heldBack, 0
	return heldBack, true
}
