package entry

import (
	"context"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/jobs/admit"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
)

const (
	// noLeaderTimeout is how long new work waits for a leader before it is refused.
	noLeaderTimeout = 1200 * time.Millisecond
	// localConn is the connection id under which the leader sees the callers of its own
	// entry.
	localConn = 0
)

// pendingRequest is a caller's request that waits for a response.
type pendingRequest struct {
	req        msgs.JobRequest
	receivedAt time.Time
	response   chan msgs.JobResponse
	// done is closed once the caller's deadline has passed or the caller has gone.
	done <-chan struct{}
	// sent is set once a leader may have received the request. sentEpoch is the epoch of the
	// latest such leader.
	sent      bool
	sentEpoch uint64
	// sentAgain is set if the request was sent to that leader over an earlier connection as well.
	// What was sent over that one may still arrive.
	sentAgain bool
}

// left reports whether the caller waits no longer.
func (r *pendingRequest) left() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// noteSent notes that the request is sent to the leader of an epoch. Leaders of earlier epochs
// can't record it any more, and this one has read what they recorded.
func (r *pendingRequest) noteSent(epoch uint64) {
	r.sentAgain = r.sent && r.sentEpoch == epoch
	r.sent, r.sentEpoch = true, epoch
}

// refusalUncertain reports whether the leader may still accept a submission that it refused.
func (r *pendingRequest) refusalUncertain() bool { return r.sentAgain && r.req.Verb == msgs.Submit }

// Ready implements port.Jobs.
func (e *Entry) Ready() bool { return e.config.Load() != nil && !e.stopping.Load() }

// JobRequest implements port.Jobs.
func (e *Entry) JobRequest(ctx context.Context, jobReq msgs.JobRequest) msgs.JobResponse {
	r := &pendingRequest{req: jobReq, receivedAt: time.Now(), response: make(chan msgs.JobResponse, 1), done: ctx.Done()}
	e.post(func() {
		e.lastSeq++
		r.req.Seq = e.lastSeq
		e.pending[r.req.Seq] = r
		e.forward(r)
	})
	select {
	case resp := <-r.response:
		return resp
	case <-ctx.Done():
	case <-e.ctx.Done():
	}
	e.postAndWait(func() { e.expire(r) })
	select {
	case resp := <-r.response:
		return resp
	default:
		return msgs.JobResponse{Code: codes.FateUnknown}
	}
}

// forward sends a request to the leader, if there is one. It leaves out a request whose caller
// waits no longer: the job might be accepted after the caller was refused elsewhere.
func (e *Entry) forward(r *pendingRequest) {
	switch {
	case r.left():
	case e.leader != nil:
		r.noteSent(e.epoch)
		e.leader.Handle(time.Now(), localConn, &msgs.Message{JobRequest: &r.req})
	case e.leaderConn != nil:
		r.noteSent(e.epoch)
		e.leaderConn.Send(&msgs.Message{JobRequest: &r.req})
	}
}

// forwardAll sends all pending requests to a new leader. Sending a request again is safe,
// as every kind of request is idempotent.
func (e *Entry) forwardAll() {
	for _, r := range e.pending {
		e.forward(r)
	}
}

// respond delivers the response to a pending request and removes the request.
func (e *Entry) respond(resp *msgs.JobResponse) {
	if r := e.pending[resp.Seq]; r != nil {
		delete(e.pending, resp.Seq)
		if info := resp.Code.Info(); info.Ran == codes.RanNo && info.Retry && r.refusalUncertain() {
			resp = &msgs.JobResponse{Seq: resp.Seq, Code: codes.FateUnknown, RetryAfter: resp.RetryAfter}
		}
		e.metrics.observeRequest(r, resp)
		if resp.Code != codes.OK {
			e.log.Info("request answered", "req", r.req.Job, "verb", r.req.Verb.String(), "code", int(resp.Code), "reason", resp.Code.String(),
				"waited", time.Since(r.receivedAt), "epoch", e.epoch, "leader", e.leaderAddr.String(), "config", r.req.Config)
		}
		r.response <- *resp
	}
}

// expire responds to a request whose deadline has passed or whose caller has gone. A
// submission that may have reached a leader gets FateUnknown.
func (e *Entry) expire(r *pendingRequest) {
	if _, open := e.pending[r.req.Seq]; !open {
		return
	}
	code := codes.NoLeader
	if r.sent && r.req.Verb == msgs.Submit {
		code = codes.FateUnknown
	}
	e.log.Warn("request not answered in time", "req", r.req.Job, "verb", r.req.Verb.String(), "code", int(code),
		"waited", time.Since(r.receivedAt), "sent", r.sent, "epoch", e.epoch, "leader", e.leaderAddr.String(), "leaderHeard", e.sinceLeaderHeard())
	e.respond(&msgs.JobResponse{Seq: r.req.Seq, Code: code, RetryAfter: admit.RetryAfter(e.sinceLeaderHeard(), r.req.Job)})
}

// refuseWithoutLeader refuses submissions that were sent to no leader and have waited
// longer than noLeaderTimeout.
func (e *Entry) refuseWithoutLeader(now time.Time) {
	if e.leader != nil || e.leaderConn != nil {
		return
	}
	for _, r := range e.pending {
		if !r.sent && r.req.Verb == msgs.Submit && now.Sub(r.receivedAt) > noLeaderTimeout {
			e.log.Info("job refused", "req", r.req.Job, "queue", r.req.Queue, "code", int(codes.NoLeader), "reason", "no entry leads", "waited", now.Sub(r.receivedAt))
			e.respond(&msgs.JobResponse{Seq: r.req.Seq, Code: codes.NoLeader, RetryAfter: admit.RetryAfter(e.sinceLeaderHeard(), r.req.Job)})
		}
	}
}

// sinceLeaderHeard returns the time since the leader's latest message, or -1 if there was
// none.
func (e *Entry) sinceLeaderHeard() time.Duration {
	if e.leaderHeardAt.IsZero() {
		return -1
	}
	return time.Since(e.leaderHeardAt)
}
