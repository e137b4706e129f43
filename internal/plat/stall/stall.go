// Package stall ends transfers that make no progress. A fixed timeout for the whole of a
// large response would always end it on a narrow link.
package stall

import (
	"context"
	"errors"
	"io"
	"time"
)

// ErrStalled is the cause of a context that a Guard has cancelled.
var ErrStalled = errors.New("no further data arrived in time")

// Guard cancels a context once no data has arrived for a time. Create it with New, and call
// Stop at the end.
type Guard struct {
	timeout time.Duration
	timer   *time.Timer
	cancel  context.CancelCauseFunc
}

// New returns a Guard and the context that it cancels unless data arrives within timeout,
// and again within timeout after each part.
func New(ctx context.Context, timeout time.Duration) (context.Context, *Guard) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(timeout, func() { cancel(ErrStalled) })
	return ctx, &Guard{timeout, timer, cancel}
}

// Reader returns a reader of r that tells the guard of the data that arrives.
func (g *Guard) Reader(r io.Reader) io.Reader { return reader{r, g} }

// Stop releases the guard and ends the context.
func (g *Guard) Stop() {
	g.timer.Stop()
	g.cancel(nil)
}

// reader postpones the end of its guard with each part that it reads.
type reader struct {
	io.Reader
	guard *Guard
}

// Read implements io.Reader.
func (r reader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.guard.timer.Reset(r.guard.timeout)
	}
	return n, err
}
