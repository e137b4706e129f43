package entry

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/front/retry"
	"github.com/ebonyarch/ebonyarch/internal/front/route"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

const (
	// answerMargin is kept of the deadline for the way back.
	answerMargin = 2 * time.Millisecond
	// revokeTimeout bounds the question whether a request started.
	revokeTimeout = 250 * time.Millisecond
	// noUpstreamAfter is when a request without an upstream may come again.
	noUpstreamAfter = time.Second
)

// route sends a request to upstreams until one answers or no try is left.
func (e *Entry) route(ctx context.Context, req *request) (*schema.ForwardReply, error) {
	s := req.service.balancer
	s.mu.Lock()
	s.budget.Sent(req.service.retryShare)
	s.mu.Unlock()
	var last error
	for {
		u, err := e.pick(req)
		if err != nil {
			if last != nil {
				return nil, last
			}
			return nil, err
		}
		req.tried = append(req.tried, u.VM)
		reply, err := e.try(ctx, req, u)
		if err == nil {
			return reply, nil
		}
		last = err
		if !e.again(req, err) {
			return nil, err
		}
		e.metrics.retries.Inc()
	}
}

func (e *Entry) pick(req *request) (*route.Upstream, error) {
	s := req.service.balancer
	s.mu.Lock()
	defer s.mu.Unlock()
	if !req.stamp.IsZero() {
		return s.pickHome(req)
	}
	if u := s.balancer.Pick(time.Now(), random{}, req.tried); u != nil {
		return u, nil
	}
	return nil, codes.After(codes.New(codes.NoUpstream, "no upstream of %s/%s is known", req.msg.Team, req.msg.Service), noUpstreamAfter)
}

// pickHome returns the one upstream that may run a caller's non-idempotent
// request, so that a second sending meets the memory of the first.
func (s *shared) pickHome(req *request) (*route.Upstream, error) {
	u := s.balancer.Get(s.homes.Home(req.msg.Id, req.stamp))
	if u == nil {
		return nil, codes.New(codes.StaleID, "the upstreams changed since the id was made; whether it ran is not known")
	}
	if len(req.tried) > 0 {
		return nil, codes.New(codes.NoUpstream, "the request has a single upstream")
	}
	s.balancer.Sent(u)
	return u, nil
}

// try sends the request to one upstream.
func (e *Entry) try(ctx context.Context, req *request, u *route.Upstream) (*schema.ForwardReply, error) {
	remaining := time.Until(req.deadline) - answerMargin - 2*u.Distance
	if remaining <= 0 {
		e.finished(req, u, route.Report{})
		return nil, codes.New(codes.TimedOutNotRun, "the deadline passed before the request was sent")
	}
	req.msg.TimeoutUs = remaining.Microseconds()
	reply, err := e.links.To(u.Addr).Agent().Forward(ctx, req.msg)
	if err != nil {
		e.finished(req, u, route.Report{Failed: true})
		return nil, e.settle(req, u, callError(ctx, err))
	}
	report := route.Report{}
	if l := reply.GetLoad(); l != nil {
		report.Loaded, report.Running, report.Queued = true, int(l.GetRunning()), int(l.GetQueued())
		report.Service = time.Duration(l.GetServiceUs()) * time.Microsecond
	}
	code := codes.Code(reply.GetCode())
	report.Failed = code == codes.UpstreamFailed || code == codes.TimedOut || reply.GetStatus() >= 500
	e.finished(req, u, report)
	if code != codes.OK {
		err := codes.New(code, "%s", reply.GetMessage())
		return nil, codes.After(err, time.Duration(reply.GetRetryAfterMs())*time.Millisecond)
	}
	if reply.GetId() != req.msg.Id || reply.GetBodySize() != int64(len(reply.GetBody())) {
		return nil, codes.New(codes.Truncated, "the answer arrived incomplete")
	}
	return reply, nil
}

func (e *Entry) finished(req *request, u *route.Upstream, r route.Report) {
	s := req.service.balancer
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.Done(time.Now(), u, r)
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

// settle makes an unclear fate certain where it can: a request that the agent
// revoked has not run and never will.
func (e *Entry) settle(req *request, u *route.Upstream, err error) error {
	if req.msg.Idempotent || codes.Of(err).Info().Ran != codes.RanUnknown {
		return err
	}
	ctx, cancel := context.WithTimeout(e.ctx, revokeTimeout)
	defer cancel()
	reply, revokeErr := e.links.To(u.Addr).Agent().Revoke(ctx, &schema.RevokeRequest{Id: req.msg.Id})
	if revokeErr == nil && reply.GetRan() == schema.Ran_RAN_NO {
		return codes.Wrap(err, codes.Revoked, "revoked before it started")
	}
	return err
}

// again reports whether the request may be sent to another upstream.
func (e *Entry) again(req *request, err error) bool {
	code := codes.Of(err)
	if code == codes.Truncated || !req.stamp.IsZero() {
		return false
	}
	s := req.service.balancer
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Again(time.Now(), retry.Try{
		NotRun: code.Info().Ran == codes.RanNo, Idempotent: req.msg.Idempotent,
		Tries: len(req.tried), Deadline: req.deadline, Expected: s.balancer.Mean(),
	})
}
