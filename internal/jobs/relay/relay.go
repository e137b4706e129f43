// Package relay keeps the requests of an entry's callers until the leader responds. It decides
// which requests are sent to a leader and what a response, or the lack of one, says to the caller.
package relay

import (
	"maps"
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
)

// Request is a caller's request.
type Request struct {
	// Message is sent to leaders. Requests.Add sets its Seq.
	Message    msgs.JobRequest
	ReceivedAt time.Time
	// Left reports whether the caller waits no longer. It may be nil if the caller always waits.
	Left func() bool
	// Respond is called with the response, at most once.
	Respond func(msgs.JobResponse)
	// sent is set once a leader may have received the request. sentEpoch is the epoch of the
	// latest such leader.
	sent      bool
	sentEpoch uint64
	// sentAgain is set if the request was sent to that leader over an earlier connection as well.
	// What was sent over that one may still arrive.
	sentAgain bool
}

// Sent reports whether a leader may have received the request.
func (r *Request) Sent() bool { return r.sent }

// Requests holds the requests that wait for a response. The zero value holds none. It is not
// safe for concurrent use.
type Requests struct {
	// open holds the requests by sequence number; lastSeq is the latest one.
	open    map[uint64]*Request
	lastSeq uint64
}

// Len returns the number of requests that wait for a response.
func (q *Requests) Len() int { return len(q.open) }

// Add adds a request and gives it a sequence number.
func (q *Requests) Add(r *Request) {
	if q.open == nil {
		q.open = map[uint64]*Request{}
	}
	q.lastSeq++
	r.Message.Seq = q.lastSeq
	q.open[q.lastSeq] = r
}

// Waits reports whether a request still waits for a response.
func (q *Requests) Waits(r *Request) bool { return q.open[r.Message.Seq] == r }

// Send sends a request to the leader of an epoch. It must be called once for each connection to
// that leader. It leaves out a request whose caller waits no longer: the job might be accepted
// after the caller was refused elsewhere.
func (q *Requests) Send(r *Request, epoch uint64, send func(*msgs.JobRequest)) {
	if r.Left != nil && r.Left() {
		return
	}
	// Leaders of earlier epochs can't record the request any more, and this one has read what
	// they recorded.
	r.sentAgain = r.sent && r.sentEpoch == epoch
	r.sent, r.sentEpoch = true, epoch
	send(&r.Message)
}

// SendAll sends all requests to the leader of an epoch, the oldest first, because there is a new
// connection to it. Sending a request again is safe, as every kind of request is idempotent.
func (q *Requests) SendAll(epoch uint64, send func(*msgs.JobRequest)) {
	for _, r := range q.list() {
		q.Send(r, epoch, send)
	}
}

// list returns the requests, the oldest first.
func (q *Requests) list() []*Request {
	var list []*Request
	for _, seq := range slices.Sorted(maps.Keys(q.open)) {
		list = append(list, q.open[seq])
	}
	return list
}

// Respond delivers a response and returns the request with the response that its caller gets. It
// returns nil if no request waits for it. The response must come from the leader and the
// connection to which the requests were sent last.
func (q *Requests) Respond(resp msgs.JobResponse) (*Request, msgs.JobResponse) {
	r := q.open[resp.Seq]
	if r == nil {
		return nil, resp
	}
	delete(q.open, resp.Seq)
	if info := resp.Code.Info(); info.Ran == codes.RanNo && info.Retry && r.sentAgain && r.Message.Verb == msgs.Submit {
		resp.Code = codes.FateUnknown // the leader may still accept what it refused
	}
	r.Respond(resp)
	return r, resp
}

// ExpiryCode returns the code for a request without a response in time. A leader may still carry
// out what was sent to it.
func (r *Request) ExpiryCode() codes.Code {
	if r.sent && (r.Message.Verb == msgs.Submit || r.Message.Verb == msgs.Cancel) {
		return codes.FateUnknown
	}
	return codes.NoLeader
}

// Unsent returns the submissions that were sent to no leader and were received before a time.
func (q *Requests) Unsent(before time.Time) []*Request {
	return slices.DeleteFunc(q.list(), func(r *Request) bool {
		return r.sent || r.Message.Verb != msgs.Submit || !r.ReceivedAt.Before(before)
	})
}
