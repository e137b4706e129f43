// Package intake bounds what the clients of an HTTP server hold of its process: connections.
//
// At the limit, the client that has made no progress for longest goes first, so that stalled clients
// cannot keep others out. Only connections with incomplete requests are given up, never a request
// that the process carries out.
package intake

import (
	"container/list"
	"net/http"
	"sync"
	"time"
)

// Intake holds the connections of a server's clients. Its zero value has the default limits and is
// ready to use. It is safe for concurrent use.
//
// The server must listen with Listen, use ConnContext, and wrap its handler with Handler.
type Intake struct {
	// Limits must not change once the Intake is in use.
	Limits Limits

	counts counts

	// mu guards the fields below, and those of connections and requests that say so.
	mu sync.Mutex
	// open is the number of open connections.
	open int
	// peakOpen is the largest value of open.
	peakOpen int
	// waiting holds the open connections on which no complete request is carried out, ordered by
	// when they opened, began a request or completed a response.
	waiting list.List
}

// candidates is the number of the oldest connections or requests among which the one that has made
// no progress for longest is given up. It bounds the work that a refusal takes.
const candidates = 16

// stalest returns the element without progress for longest among the first ones of a list, nil if
// the list has none. skip is left out.
func stalest[T any](l *list.List, skip *list.Element, progress func(T) time.Time) *list.Element {
	var best *list.Element
	var oldest time.Time
	n := 0
	for e := l.Front(); e != nil && n < candidates; e = e.Next() {
		if e == skip {
			continue
		}
		n++
		if at := progress(e.Value.(T)); best == nil || at.Before(oldest) {
			best, oldest = e, at
		}
	}
	return best
}

// Handler returns a handler that accounts for the requests to h.
func (in *Intake) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		req := in.begin(r)
		defer in.end(req)
		if req.hasBody {
			r.Body = &body{r.Body, req}
		}
		h.ServeHTTP(w, r)
	})
}

// begin adds a request of which the headers have arrived.
func (in *Intake) begin(r *http.Request) *request {
	req := &request{
		in: in, conn: connOf(r.Context()),
		hasBody: r.Body != nil && r.Body != http.NoBody && r.ContentLength != 0,
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	if req.conn != nil {
		in.touch(req.conn)
	}
	if !req.hasBody {
		in.serve(req)
	}
	return req
}

// end removes a request whose handler has returned.
func (in *Intake) end(req *request) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if req.serving && req.conn != nil {
		in.unserve(req.conn)
	}
}
