package fleet

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/jobs/relay"
)

const (
	// followInterval is the time between two checks whether an entry is connected to the leader.
	followInterval = 20 * time.Millisecond
	// requestTimeout is how long an entry waits for the response to a caller's request.
	requestTimeout = 2500 * time.Millisecond
	// noLeaderTimeout is how long new work waits for a leader before it is refused.
	noLeaderTimeout = 1200 * time.Millisecond
	// maxLateness bounds the delay of messages between entries that are late.
	maxLateness = 900 * time.Millisecond
)

// accept handles a caller's request: it sends the request to the leader and responds. An entry
// that does not run responds nothing.
func (e *Entry) accept(req msgs.JobRequest, respond func(msgs.JobResponse)) {
	w := e.world
	switch {
	case e.Dead:
		return
	case e.Frozen:
		w.After(retryDelay, func() { e.accept(req, respond) })
		return
	}
	requests := e.requests
	r := &relay.Request{Message: req, ReceivedAt: w.Now, Respond: func(resp msgs.JobResponse) {
		w.After(messageDelay, func() { respond(resp) })
	}}
	requests.Add(r)
	if send := e.sender(); send != nil {
		requests.Send(r, e.leaderEpoch(), send)
	}
	w.After(requestTimeout, func() { e.expire(requests, r) })
}

// expire responds to a request without a response in time, unless the process that received it
// has ended.
func (e *Entry) expire(requests *relay.Requests, r *relay.Request) {
	switch {
	case requests != e.requests || !requests.Waits(r):
	case e.Frozen:
		e.world.After(retryDelay, func() { e.expire(requests, r) })
	default:
		requests.Respond(msgs.JobResponse{Seq: r.Message.Seq, Code: r.ExpiryCode()})
	}
}

// leaderEpoch returns the epoch of the leader to which sender sends.
func (e *Entry) leaderEpoch() uint64 {
	if e.leader != nil {
		return e.epoch
	}
	return e.followedEpoch
}

// sender returns the function that sends a request to the leader, nil if there is none.
func (e *Entry) sender() func(*msgs.JobRequest) {
	w := e.world
	if l := e.leader; l != nil {
		return func(r *msgs.JobRequest) {
			req := *r
			l.Handle(w.Now, 0, &msgs.Message{JobRequest: &req})
		}
	}
	if e.conn == 0 {
		return nil
	}
	conn, leader := e.conn, e.followed
	return func(r *msgs.JobRequest) {
		req, delay := *r, messageDelay
		if e.MessagesLate {
			delay += time.Duration(w.callerRNG.Int64N(int64(maxLateness)))
		}
		w.After(delay, func() {
			if leader.followers[conn] == e {
				leader.handle(conn, &msgs.Message{JobRequest: &req})
			}
		})
	}
}

// follow connects each running entry to the leader and refuses requests that have waited too
// long for one. It schedules itself.
func (w *World) follow() {
	w.After(followInterval, w.follow)
	leader := w.leading()
	for _, e := range w.Entries {
		if e.Dead || e.Frozen || e.leader != nil {
			continue
		}
		if e.conn != 0 && (e.followed.followers[e.conn] != e || (leader != nil && leader.epoch > e.followedEpoch)) {
			e.conn = 0
		}
		if e.conn == 0 && leader != nil {
			w.conns++
			e.conn, e.followed, e.followedEpoch = w.conns, leader, leader.epoch
			leader.followers[e.conn] = e
			e.requests.SendAll(e.followedEpoch, e.sender())
		}
		if e.conn != 0 {
			continue
		}
		for _, r := range e.requests.Unsent(w.Now.Add(-noLeaderTimeout)) {
			e.requests.Respond(msgs.JobResponse{Seq: r.Message.Seq, Code: codes.NoLeader})
		}
	}
}

// receive handles the leader's response that arrives over a connection.
func (e *Entry) receive(conn uint64, resp msgs.JobResponse) {
	switch {
	case e.Dead || conn != e.conn:
	case e.Frozen:
		e.world.After(retryDelay, func() { e.receive(conn, resp) })
	default:
		e.requests.Respond(resp)
	}
}

// loseLeader ends the entry's connection to the leader. What it sent may still arrive.
func (e *Entry) loseLeader() { e.conn = 0 }
