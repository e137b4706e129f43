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

const (
	// revokeTimeout bounds the question whether a request started.
	revokeTimeout = 250 * time.Millisecond
	// maxEvents is more than the steps that one flow can have under way.
	maxEvents = 8
)

// journey carries out the steps of one request's flow.
type journey struct {
	entry *Entry
	req   *request
	ctx   context.Context
	flow  *flow.Flow
	// events gets the steps that follow from tries under way, open of them.
	events chan flow.Step
	open   int
	late   <-chan time.Time
}

// route sends a request to upstreams until its flow is done.
func (e *Entry) route(ctx context.Context, req *request) (*schema.ForwardReply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // ends tries that are not needed any more
	j := &journey{entry: e, req: req, ctx: ctx, events: make(chan flow.Step, maxEvents)}
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
	switch step.Action {
	case flow.Revoke:
		return j.revoke(step)
	case flow.Send:
		if step.HedgeAfter == 0 && j.open == 0 {
			return j.send(step) // nothing else can happen meanwhile
		}
		j.open++
		go func() { j.events <- j.send(step) }()
		if step.HedgeAfter > 0 {
			j.late = time.After(step.HedgeAfter)
		}
	}
	select {
	case next := <-j.events:
		j.open--
		return next
	case <-j.late:
		j.late = nil
		return j.decide(func(now time.Time) flow.Step { return j.flow.Late(now, random{}) })
	}
}

// decide asks the flow for its next step under the lock of its service.
func (j *journey) decide(ask func(now time.Time) flow.Step) flow.Step {
	s := j.req.service.shared
	s.mu.Lock()
	defer s.mu.Unlock()
	return ask(time.Now())
}

// send sends the request to one upstream and returns the step that follows.
func (j *journey) send(step flow.Step) flow.Step {
	reply, err := j.entry.links.To(step.Upstream.Addr).Agent().Forward(j.ctx, j.message(step.Timeout))
	if err != nil {
		err = callError(j.ctx, err)
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
