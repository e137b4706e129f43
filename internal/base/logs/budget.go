package logs

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

const (
	// linesPerSecond is how many lines of one message may be written in a second on
	// average, burst how many at once.
	linesPerSecond, burst = 100, 400
	// maxMessages bounds the messages that are counted one by one; others share a budget.
	maxMessages = 256
)

// Budget is a handler that bounds the lines of each message, so that a flood of one kind
// costs neither processor time nor the lines of another. What was held back is said by
// the next line of the message that is written, as heldBack. Make it with NewBudget.
type Budget struct {
	next   slog.Handler
	shared *budgets
}

// NewBudget returns a handler that bounds what it passes to another.
func NewBudget(next slog.Handler) *Budget {
	return &Budget{next: next, shared: &budgets{messages: map[string]*bucket{}}}
}

// Enabled implements slog.Handler.
func (b *Budget) Enabled(ctx context.Context, level slog.Level) bool {
	return b.next.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (b *Budget) Handle(ctx context.Context, r slog.Record) error {
	heldBack, ok := b.shared.take(r.Time, r.Message)
	if !ok {
		return nil
	}
	if heldBack > 0 {
		r.AddAttrs(slog.Uint64("heldBack", heldBack))
	}
	return b.next.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (b *Budget) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Budget{b.next.WithAttrs(attrs), b.shared}
}

// WithGroup implements slog.Handler.
func (b *Budget) WithGroup(name string) slog.Handler {
	return &Budget{b.next.WithGroup(name), b.shared}
}

// budgets holds the budget of each message.
type budgets struct {
	mu       sync.Mutex
	messages map[string]*bucket
}

// bucket is a token bucket.
type bucket struct {
	// left is at most burst.
	left     float64
	at       time.Time
	heldBack uint64
}

// take takes a line from a message's budget. It returns how many lines were held back
// since the last one, and false if this one has to be held back too.
func (b *budgets) take(now time.Time, message string) (heldBack uint64, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.messages[message]
	if k == nil {
		if len(b.messages) >= maxMessages {
			message = ""
		}
		k = b.messages[message]
	}
	if k == nil {
		k = &bucket{left: burst, at: now}
		b.messages[message] = k
	}
	if passed := now.Sub(k.at); passed > 0 {
		k.left = min(burst, k.left+passed.Seconds()*linesPerSecond)
		k.at = now
	}
	if k.left < 1 {
		k.heldBack++
		return 0, false
	}
	k.left--
	heldBack, k.heldBack = k.heldBack, 0
	return heldBack, true
}
