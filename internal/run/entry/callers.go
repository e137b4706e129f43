package entry

import (
	"context"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/jobs/admit"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/jobs/relay"
)

const (
	// noLeaderTimeout is how long new work waits for a leader before it is refused.
	noLeaderTimeout = 1200 * time.Millisecond
	// localConn is the connection id under which the leader sees the callers of its own
	// entry.
	localConn = 0
	// maxQueuedJobBytes limits the size of the jobs that wait to be written to the leader.
	// queueRetryDelay is the retry delay suggested to callers beyond it.
	maxQueuedJobBytes = 8 << 20
	queueRetryDelay   = time.Second
)

// Ready implements port.Jobs.
func (e *Entry) Ready() bool { return e.config.Load() != nil && !e.stopping.Load() }

// JobRequest implements port.Jobs.
func (e *Entry) JobRequest(ctx context.Context, jobReq msgs.JobRequest) msgs.JobResponse {
	if spec := jobReq.Spec; spec != nil && spec.MinEncodedSize() > e.cfg.StoreLimits().OrDefault().Record {
		e.log.Warn("refused a job that is larger than what the store takes", "req", jobReq.Job, "steps", len(spec.Steps))
		return msgs.JobResponse{Code: codes.JobInvalid}
	}
	response := make(chan msgs.JobResponse, 1)
	r := &relay.Request{
		Message: jobReq, ReceivedAt: time.Now(), Left: func() bool { return ctx.Err() != nil },
		Respond: func(resp msgs.JobResponse) { response <- resp },
	}
	e.post(func() {
		if e.queueFull(&jobReq) {
			r.Respond(msgs.JobResponse{Code: codes.BodyDropped, RetryAfter: queueRetryDelay})
			return
		}
		e.pending.Add(r)
		if send := e.sender(); send != nil {
			e.pending.Send(r, e.epoch, send)
		}
	})
	select {
	case resp := <-response:
		return resp
	case <-ctx.Done():
	case <-e.ctx.Done():
	}
	e.postAndWait(func() { e.expire(r) })
	select {
	case resp := <-response:
		return resp
	default:
		return msgs.JobResponse{Code: codes.FateUnknown}
	}
}

// queueFull reports whether a job would have to wait behind too many others for a leader that reads
// too slowly.
func (e *Entry) queueFull(r *msgs.JobRequest) bool {
	if r.Spec == nil || e.leader != nil || e.leaderConn == nil {
		return false
	}
	n := e.leaderConn.QueuedJobBytes()
	if n <= maxQueuedJobBytes {
		return false
	}
	e.log.Info("job refused", "req", r.Job, "queue", r.Queue, "code", int(codes.BodyDropped), "reason", "the leader reads too slowly", "queued", n)
	return true
}

// sender returns the function that sends a request to the leader, nil if there is none.
func (e *Entry) sender() func(*msgs.JobRequest) {
	switch {
	case e.leader != nil:
		e.noteSuspended()
		return func(r *msgs.JobRequest) {
			e.timeStep(stepMessage, func() { e.leader.Handle(time.Now(), localConn, &msgs.Message{JobRequest: r}) })
		}
	case e.leaderConn != nil:
		return func(r *msgs.JobRequest) { e.leaderConn.Send(&msgs.Message{JobRequest: r}) }
	}
	return nil
}

// forwardAll sends all pending requests to a new leader, or over a new connection.
func (e *Entry) forwardAll() { e.pending.SendAll(e.epoch, e.sender()) }

// respond delivers the response to a pending request and removes the request.
func (e *Entry) respond(resp *msgs.JobResponse) {
	r, sent := e.pending.Respond(*resp)
	if r == nil {
		return
	}
	e.metrics.observeRequest(r, &sent)
	if sent.Code != codes.OK {
		e.log.Info("request answered", "req", r.Message.Job, "verb", r.Message.Verb.String(), "code", int(sent.Code), "reason", sent.Code.String(),
			"waited", time.Since(r.ReceivedAt), "epoch", e.epoch, "leader", e.leaderAddr.String(), "config", r.Message.Config)
	}
}

// expire responds to a request whose deadline has passed or whose caller has gone. A
// submission or cancelling that may have reached a leader gets FateUnknown.
func (e *Entry) expire(r *relay.Request) {
	if !e.pending.Waits(r) {
		return
	}
	code := r.ExpiryCode()
	e.log.Warn("request not answered in time", "req", r.Message.Job, "verb", r.Message.Verb.String(), "code", int(code),
		"waited", time.Since(r.ReceivedAt), "sent", r.Sent(), "epoch", e.epoch, "leader", e.leaderAddr.String(), "leaderHeard", e.sinceLeaderHeard())
	e.respond(&msgs.JobResponse{Seq: r.Message.Seq, Code: code, RetryAfter: admit.RetryAfter(e.sinceLeaderHeard(), r.Message.Job)})
}

// refuseWithoutLeader refuses submissions that were sent to no leader and have waited
// longer than noLeaderTimeout.
func (e *Entry) refuseWithoutLeader(now time.Time) {
	if e.leader != nil || e.leaderConn != nil {
		return
	}
	for _, r := range e.pending.Unsent(now.Add(-noLeaderTimeout)) {
		m := &r.Message
		e.log.Info("job refused", "req", m.Job, "queue", m.Queue, "code", int(codes.NoLeader), "reason", "no entry leads", "waited", now.Sub(r.ReceivedAt))
		e.respond(&msgs.JobResponse{Seq: m.Seq, Code: codes.NoLeader, RetryAfter: admit.RetryAfter(e.sinceLeaderHeard(), m.Job)})
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
