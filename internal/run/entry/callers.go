package entry

import (
	"context"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/jobs/admit"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
)

const (
	// unledFor is how long new work waits for a leader before it is refused.
	unledFor = 1200 * time.Millisecond
	// local is the connection id of this entry's own callers.
	local = 0
)

// request is a caller's request that is not answered.
type request struct {
	ask  msgs.JobRequest
	at   time.Time
	done chan msgs.JobResponse
	// sent is set once a leader may have taken the request.
	sent bool
}

// Ready implements port.Jobs.
func (e *Entry) Ready() bool { return e.config.Load() != nil && !e.stopping.Load() }

// JobRequest implements port.Jobs.
func (e *Entry) JobRequest(ctx context.Context, a msgs.JobRequest) msgs.JobResponse {
	r := &request{ask: a, at: time.Now(), done: make(chan msgs.JobResponse, 1)}
	e.post(func() {
		e.lastAsk++
		r.ask.Seq = e.lastAsk
		e.asks[r.ask.Seq] = r
		e.pass(r)
	})
	select {
	case answer := <-r.done:
		return answer
	case <-ctx.Done():
	case <-e.ctx.Done():
	}
	e.sync(func() { e.giveUp(r) })
	select {
	case answer := <-r.done:
		return answer
	default:
		return msgs.JobResponse{Code: codes.FateUnknown}
	}
}

// pass hands a request to the leader, if there is one.
func (e *Entry) pass(r *request) {
	switch {
	case e.leader != nil:
		r.sent = true
		e.leader.Handle(time.Now(), local, &msgs.Message{JobRequest: &r.ask})
	case e.upstream != nil:
		r.sent = true
		e.upstream.Send(&msgs.Message{JobRequest: &r.ask})
	}
}

// passAll hands all requests to a new leader: each of them may be asked again.
func (e *Entry) passAll() {
	for _, r := range e.asks {
		e.pass(r)
	}
}

// answered takes the leader's answer to a request.
func (e *Entry) answered(a *msgs.JobResponse) {
	if r := e.asks[a.Seq]; r != nil {
		delete(e.asks, a.Seq)
		e.metrics.asked(r, a)
		if a.Code != codes.OK {
			e.log.Info("request answered", "req", r.ask.Job, "verb", r.ask.Verb.String(), "code", int(a.Code), "reason", a.Code.String(),
				"waited", time.Since(r.at), "epoch", e.epoch, "leader", e.leaderAddr.String(), "config", r.ask.Config)
		}
		r.done <- *a
	}
}

// giveUp answers a request whose time is over.
func (e *Entry) giveUp(r *request) {
	if _, open := e.asks[r.ask.Seq]; !open {
		return
	}
	code := codes.NoLeader
	if r.sent && r.ask.Verb == msgs.Submit {
		code = codes.FateUnknown
	}
	e.log.Warn("request not answered in time", "req", r.ask.Job, "verb", r.ask.Verb.String(), "code", int(code),
		"waited", time.Since(r.at), "sent", r.sent, "epoch", e.epoch, "leader", e.leaderAddr.String(), "leaderHeard", e.sinceHeard())
	e.answered(&msgs.JobResponse{Seq: r.ask.Seq, Code: code, RetryAfter: admit.RetryAfter(e.sinceHeard(), r.ask.Job)})
}

// refuseUnled refuses new work that no leader has seen, once it has waited.
func (e *Entry) refuseUnled(now time.Time) {
	if e.leader != nil || e.upstream != nil {
		return
	}
	for _, r := range e.asks {
		if !r.sent && r.ask.Verb == msgs.Submit && now.Sub(r.at) > unledFor {
			e.log.Info("job refused", "req", r.ask.Job, "queue", r.ask.Queue, "code", int(codes.NoLeader), "reason", "no entry leads", "waited", now.Sub(r.at))
			e.answered(&msgs.JobResponse{Seq: r.ask.Seq, Code: codes.NoLeader, RetryAfter: admit.RetryAfter(e.sinceHeard(), r.ask.Job)})
		}
	}
}

func (e *Entry) sinceHeard() time.Duration {
	if e.heardAt.IsZero() {
		return -1
	}
	return time.Since(e.heardAt)
}
