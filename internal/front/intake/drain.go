package intake

import (
	"container/list"
	"context"
	"time"
)

const (
	// drainInterval is the time between two searches for stalled clients.
	drainInterval = 50 * time.Millisecond
	// drainPatience is how long a client may make no progress while its server shuts down.
	drainPatience = 250 * time.Millisecond
)

// Drain closes the connections and gives up the requests that make no progress, so that they don't
// hold up the shutdown of the server. Once ctx is done, it does so with all that are incomplete.
func (in *Intake) Drain(ctx context.Context) {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for {
		in.dropStalled(time.Now().Add(-drainPatience))
		select {
		case <-ctx.Done():
			in.dropStalled(time.Now())
			return
		case <-ticker.C:
		}
	}
}

// dropStalled gives up what has made no progress since a time.
func (in *Intake) dropStalled(since time.Time) {
	var conns []*conn
	var requests []*request
	in.mu.Lock()
	each(&in.arriving, func(r *request) {
		if !r.progress.After(since) {
			in.abandon(r, drained)
			requests = append(requests, r)
		}
	})
	each(&in.waiting, func(c *conn) {
		if !c.progressAt().After(since) {
			in.forget(c)
			in.counts.add(drained)
			conns = append(conns, c)
		}
	})
	in.mu.Unlock()
	for _, r := range requests {
		r.abort()
	}
	for _, c := range conns {
		c.Conn.Close()
	}
}

// each calls f with the elements of a list, which f may remove.
func each[T any](l *list.List, f func(T)) {
	for e := l.Front(); e != nil; {
		next := e.Next()
		f(e.Value.(T))
		e = next
	}
}
