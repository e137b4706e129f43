package entry

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/front/flow"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// revokeTimeout bounds the question whether a request started.
const revokeTimeout = 250 * time.Millisecond

// journey carries out the steps of one request's flow.
type journey struct {
	entry *Entry
	req   *request
	ctx   context.Context
	flow  *flow.Flow
	// hedged gets the step that follows from a second try.
	hedged chan flow.Step
}

// route sends a request to upstreams until its flow is done.
func (e *Entry) route(ctx context.Context, req *request) (*schema.ForwardReply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // ends tries that are not needed any more
	j := &journey{entry: e, req: req, ctx: ctx}
	j.flow = flow.New(&req.service.shared.flow, flow.Request{
		ID: req.msg.Id, Kind: req.msg.Kind, Idempotent: req.msg.Idempotent, Stamp: req.stamp, Deadline: req.deadline,
	})
	step := j.decide(func(now time.Time) flow.Step { return j.flow.Begin(now, random{}) })
	for step.Action != flow.Done {
		step = j.next(step)
	}
	return step.Reply, step.Err
}

// next carries out a step and returns the one that follows.
func (j *journey) next(step flow.Step) flow.Step {
	switch {
	case step.Action == flow.Revoke:
		return j.revoke(step)
	case step.Action == flow.Send && step.HedgeAfter > 0:
		return j.hedge(step)
	case step.Action == flow.Send:
		return j.send(j.ctx, step)
	}
	// Nothing is under way, so nothing can follow: a fault of the flow.
	return flow.Step{Action: flow.Done, Err: codes.New(codes.Internal, "the request's flow came to a halt")}
}

// hedge sends the request, and to a second upstream if no answer comes for a
// while. Only then does a second goroutine run.
func (j *journey) hedge(step flow.Step) flow.Step {
	ctx, cancel := context.WithCancel(j.ctx)
	defer cancel()
	j.hedged = make(chan flow.Step, 1)
	timer := time.AfterFunc(step.HedgeAfter, func() {
		next := j.decide(func(now time.Time) flow.Step { return j.flow.Hedge(now, random{}) })
		if next.Action == flow.Send {
			next = j.send(j.ctx, next)
		}
		j.hedged <- next
		if next.Action == flow.Done {
			cancel()
		}
	})
	first := j.send(ctx, step)
	if timer.Stop() || first.Action == flow.Done {
		return first
	}
	if second := <-j.hedged; second.Action != flow.Wait {
		return second
	}
	return first
}

// decide asks the flow for its next step under the lock of its service.
func (j *journey) decide(ask func(now time.Time) flow.Step) flow.Step {
	s := j.req.service.shared
	s.mu.Lock()
	defer s.mu.Unlock()
	return ask(time.Now())
}

// send sends the request to one upstream and returns the step that follows.
func (j *journey) send(ctx context.Context, step flow.Step) flow.Step {
	to := j.entry.links.To(step.Upstream.Addr)
	if step.Try > 0 {
		to.DiscardIfStale()
	}
	reply, err := to.Agent().Forward(ctx, j.message(step.Timeout))
	if err != nil {
		err = callError(ctx, err)
		return j.decide(func(now time.Time) flow.Step { return j.flow.Failed(now, random{}, step.Try, err) })
	}
	return j.decide(func(now time.Time) flow.Step { return j.flow.Replied(now, random{}, step.Try, reply) })
}

// message returns the request for one try; tries may be under way together.
func (j *journey) message(timeout time.Duration) *schema.ForwardRequest {
	m := j.req.msg
	return &schema.ForwardRequest{
		Id: m.Id, Team: m.Team, Service: m.Service, Method: m.Method, Path: m.Path, Headers: m.Headers,
		Body: m.Body, TimeoutUs: timeout.Microseconds(), Idempotent: m.Idempotent, Kind: m.Kind, StampMs: m.StampMs,
	}
}

// revoke asks the agent to make an unclear fate certain.
func (j *journey) revoke(step flow.Step) flow.Step {
	ctx, cancel := context.WithTimeout(j.entry.ctx, revokeTimeout)
	defer cancel()
	reply, err := j.entry.links.To(step.Upstream.Addr).Agent().Revoke(ctx, &schema.RevokeRequest{Id: j.req.msg.Id})
	never := err == nil && reply.GetRan() == schema.Ran_RAN_NO
	return j.decide(func(now time.Time) flow.Step { return j.flow.Revoked(now, random{}, step.Try, never) })
}

// callError classifies the failure of a call: what was never sent did not run.
func callError(ctx context.Context, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return codes.Wrap(err, codes.NoUpstream, "cannot connect to the upstream")
	}
	if ctx.Err() != nil {
		return codes.Wrap(err, codes.TimedOut, "the upstream did not answer in time")
	}
	return codes.Wrap(err, codes.ConnectionLost, "the connection failed")
}
