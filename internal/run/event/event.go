// Package event has the queue of a goroutine that owns the mutable state of a process: others post functions
// to it, which it runs one after the other.
package event

import (
	"context"
	"time"
)

// Queue holds functions that wait to be run. Create it with New. It is safe for concurrent use.
type Queue struct {
	// first holds the functions that run before those in rest.
	first, rest chan func()
}

// New returns a queue that holds up to size functions of either kind. Posting a further one blocks.
func New(size int) *Queue { return &Queue{make(chan func(), size), make(chan func(), size)} }

// Post queues a function unless ctx is done.
func (q *Queue) Post(ctx context.Context, f func()) { post(ctx, q.rest, f) }

// PostFirst is Post for a function that runs before all that Post has queued, however many these are.
func (q *Queue) PostFirst(ctx context.Context, f func()) { post(ctx, q.first, f) }

func post(ctx context.Context, c chan<- func(), f func()) {
	select {
	case c <- f:
	case <-ctx.Done():
	}
}

// Len returns the number of functions that wait.
func (q *Queue) Len() int { return len(q.first) + len(q.rest) }

// Next removes and returns the next function, nil if there is none.
func (q *Queue) Next() func() {
	select {
	case f := <-q.first:
		return f
	default:
	}
	select {
	case f := <-q.first:
		return f
	case f := <-q.rest:
		return f
	default:
		return nil
	}
}

// Wait is Next, but waits for a function until timer fires. It returns false once ctx is done.
func (q *Queue) Wait(ctx context.Context, timer <-chan time.Time) (f func(), ok bool) {
	if ctx.Err() != nil {
		return nil, false
	}
	if f := q.Next(); f != nil {
		return f, true
	}
	select {
	case f := <-q.first:
		return f, true
	case f := <-q.rest:
		return f, true
	case <-timer:
		return nil, true
	case <-ctx.Done():
		return nil, false
	}
}
