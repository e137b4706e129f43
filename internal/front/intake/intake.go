// Package intake bounds what the clients of an HTTP server hold of its process: connections,
// unfinished requests, and the memory and time of request bodies.
//
// At a limit, the client that has made no progress for longest goes first, so that stalled clients
// cannot keep others out. Only connections and requests that are incomplete are given up, never a
// request that the process carries out. Memory counts from when bytes arrive, not from when they
// are announced.
package intake

import (
	"container/list"
	"net/http"
	"sync"
	"time"
)

// Intake holds the connections and requests of a server's clients. Its zero value has the default
// limits and is ready to use. It is safe for concurrent use.
//
// The server must listen with Listen, use ConnContext, and wrap its handler with Handler.
type Intake struct {
	// Limits must not change once the Intake is in use.
	Limits Limits
	// Refuse responds to requests beyond Limits.Requests. If it is nil, they get status 504, which
	// does not say whether an earlier attempt was carried out.
	Refuse http.Handler

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
	// requests is the number of requests without a complete response.
	requests int
	// arriving holds those of which the body is incomplete, the oldest first.
	arriving list.List
	// holding holds the requests that may be given up for their memory, in the order in which they
	// came to hold some: those of arriving, and complete ones that wait for more.
	holding list.List
	// used is the memory that requests hold, in bytes; abandoned is the part of it that is held by
	// requests that were given up and have not ended yet.
	used, abandoned int64
	// freed is closed when memory is released, nil if nothing waits for that.
	freed chan struct{}
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

// Handler returns a handler that accounts for the requests to h and for their bodies.
func (in *Intake) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		req := in.begin(w, r)
		if req == nil {
			in.refuse(w, r)
			return
		}
		defer in.end(req)
		defer req.limitFlush(in.Limits.orDefaults().BodyTimeout)
		r = r.WithContext(withRequest(r.Context(), req))
		if req.hasBody {
			r.Body = &body{r.Body, req}
		}
		h.ServeHTTP(&response{w, req, in.Limits.orDefaults().BodyTimeout}, r)
	})
}

// refuse responds to a request beyond the limit.
func (in *Intake) refuse(w http.ResponseWriter, r *http.Request) {
	endConnection(w, r)
	if r.ProtoMajor == 1 { // the request is not accounted for, so its body has no deadline yet
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(lingerTime)) // fails only in tests
	}
	if in.Refuse != nil {
		in.Refuse.ServeHTTP(w, r)
		return
	}
	w.WriteHeader(http.StatusGatewayTimeout)
}

// begin adds a request of which the headers have arrived. It gives up the stalest incomplete
// request at the limit, and returns nil if there is none.
func (in *Intake) begin(w http.ResponseWriter, r *http.Request) *request {
	now, limits := time.Now(), in.Limits.orDefaults()
	req := &request{
		in: in, conn: connOf(r.Context()), control: http.NewResponseController(w), multiplexed: r.ProtoMajor > 1,
		hasBody: r.Body != nil && r.Body != http.NoBody && r.ContentLength != 0, left: r.Context().Done(),
		deadline: now.Add(limits.BodyTimeout), progress: now,
	}
	in.mu.Lock()
	var victim *request
	if in.requests >= limits.Requests {
		if victim = stalestRequest(&in.arriving, nil); victim == nil {
			in.mu.Unlock()
			in.counts.add(requestRefused)
			return nil
		}
		in.abandon(victim, requestDropped)
	}
	in.requests++
	in.startRequest(req)
	in.mu.Unlock()
	if victim != nil {
		victim.abort()
	}
	if !req.multiplexed {
		req.setWriteDeadline(time.Time{}) // that of the connection's latest response may have passed
	}
	if req.hasBody {
		req.limitTime(req.deadline)
	}
	return req
}

// startRequest adds a request to those that arrive or are carried out. The caller holds mu.
func (in *Intake) startRequest(req *request) {
	if req.conn != nil {
		in.touch(req.conn)
	}
	if req.hasBody {
		req.arriving = in.arriving.PushBack(req)
		return
	}
	in.serve(req)
}

// end removes a request whose handler has returned.
func (in *Intake) end(req *request) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.requests--
	in.unlist(req)
	in.used -= req.held
	if req.stop.closed {
		in.abandoned -= req.held
	}
	req.held = 0
	if req.serving && req.conn != nil {
		in.unserve(req.conn)
	}
	in.wake()
}
