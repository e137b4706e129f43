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

// revokeTimeout is the timeout of the call that revokes a request whose outcome is
// unknown.
const revokeTimeout = 250 * time.Millisecond

// flowRunner carries out the steps of one request's flow.
type flowRunner struct {
	entry *Entry
	req   *request
	ctx   context.Context
	flow  *flow.Flow
	// hedgeStep receives the step that follows from hedging.
	hedgeStep chan flow.Step
}

// route sends a request to upstreams until its flow is done.
func (e *Entry) route(ctx context.Context, req *request) (*schema.ForwardReply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // cancels tries whose reply is no longer needed
	r := &flowRunner{entry: e, req: req, ctx: ctx}
	r.flow = flow.New(&req.service.serviceState.flow, flow.Request{
		ID: req.msg.Id, Kind: req.msg.Kind, Idempotent: req.msg.Idempotent, Stamp: req.stamp, Deadline: req.deadline,
	})
	step := r.nextStep(func(now time.Time) flow.Step { return r.flow.Begin(now, random{}) })
	for step.Action != flow.Done {
		step = r.perform(step)
	}
	return step.Reply, step.Err
}

// perform carries out a step and returns the one that follows.
func (r *flowRunner) perform(step flow.Step) flow.Step {
	switch {
	case step.Action == flow.Revoke:
		return r.revoke(step)
	case step.Action == flow.Send && step.HedgeAfter > 0:
		return r.hedge(step)
	case step.Action == flow.Send:
		return r.send(r.ctx, step)
	}
	// The step is Wait, but no operation is pending whose result could continue the
	// flow. This is an internal error.
	return flow.Step{Action: flow.Done, Err: codes.New(codes.Internal, "the request's flow came to a halt")}
}

// hedge sends the request to one upstream and, if no reply arrives within HedgeAfter,
// also to a second one. Only then does a second goroutine run.
func (r *flowRunner) hedge(step flow.Step) flow.Step {
	ctx, cancel := context.WithCancel(r.ctx)
	defer cancel()
	r.hedgeStep = make(chan flow.Step, 1)
	timer := time.AfterFunc(step.HedgeAfter, func() {
		next := r.nextStep(func(now time.Time) flow.Step { return r.flow.Hedge(now, random{}) })
		if next.Action == flow.Send {
			next = r.send(r.ctx, next)
		}
		r.hedgeStep <- next
		if next.Action == flow.Done {
			cancel()
		}
	})
	first := r.send(ctx, step)
	if timer.Stop() || first.Action == flow.Done {
		return first
	}
	if second := <-r.hedgeStep; second.Action != flow.Wait {
		return second
	}
	return first
}

// nextStep calls step, which returns the flow's next step, while it holds the lock
// of the service.
func (r *flowRunner) nextStep(step func(now time.Time) flow.Step) flow.Step {
	s := r.req.service.serviceState
	s.mu.Lock()
	defer s.mu.Unlock()
	return step(time.Now())
}

// send sends the request to one upstream and returns the step that follows.
func (r *flowRunner) send(ctx context.Context, step flow.Step) flow.Step {
	peer := r.entry.links.To(step.Upstream.Addr)
	if step.Try > 0 {
		peer.DiscardIfStale()
	}
	reply, err := peer.Agent().Forward(ctx, r.message(step.Timeout))
	if err != nil {
		err = callError(ctx, err)
		return r.nextStep(func(now time.Time) flow.Step { return r.flow.Failed(now, random{}, step.Try, err) })
	}
	return r.nextStep(func(now time.Time) flow.Step { return r.flow.Replied(now, random{}, step.Try, reply) })
}

// message returns the message of one try. Each try has its own, because several
// may be in flight at a time.
func (r *flowRunner) message(timeout time.Duration) *schema.ForwardRequest {
	m := r.req.msg
	return &schema.ForwardRequest{
		Id: m.Id, Team: m.Team, Service: m.Service, Method: m.Method, Path: m.Path, Headers: m.Headers,
		Body: m.Body, TimeoutUs: timeout.Microseconds(), Idempotent: m.Idempotent, Kind: m.Kind, StampMs: m.StampMs,
	}
}

// revoke asks the agent to revoke a request of which it is not known whether it
// ran, and returns the step that follows. The call has its own timeout, because the
// request's deadline may have passed.
func (r *flowRunner) revoke(step flow.Step) flow.Step {
	ctx, cancel := context.WithTimeout(r.entry.ctx, revokeTimeout)
	defer cancel()
	reply, err := r.entry.links.To(step.Upstream.Addr).Agent().Revoke(ctx, &schema.RevokeRequest{Id: r.req.msg.Id})
	notRun := err == nil && reply.GetRan() == schema.Ran_RAN_NO
	return r.nextStep(func(now time.Time) flow.Step { return r.flow.Revoked(now, random{}, step.Try, notRun) })
}

// callError adds a result code to the error of a failed call. If the connection
// could not be opened, the request was not sent, so it did not run.
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
