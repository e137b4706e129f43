package agent

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/front/gate"
	"github.com/ebonyarch/ebonyarch/internal/node/host"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// expireEvery spaces the looks for queued requests that can no longer finish.
const expireEvery = 5 * time.Millisecond

// Forward implements schema.Agent.
func (a *Agent) Forward(ctx context.Context, req *schema.ForwardRequest) (*schema.ForwardReply, error) {
	a.inFlight.Add(1)
	defer a.inFlight.Add(-1)
	deadline := time.Now().Add(time.Duration(req.GetTimeoutUs()) * time.Microsecond)
	visit, err := a.enter(ctx, req, deadline)
	if err != nil {
		return a.refusal(visit, req, err), nil
	}
	started := time.Now()
	resp, err := a.serve(ctx, req, deadline)
	took := time.Since(started)
	a.metrics.served.Observe(took.Seconds())
	a.mu.Lock()
	grant(visit.Done(time.Now(), took))
	load := visit.Load(took)
	a.mu.Unlock()
	if err != nil {
		return a.refusal(visit, req, serveError(ctx, err)), nil
	}
	reply := &schema.ForwardReply{
		Id: req.GetId(), Ran: schema.Ran_RAN_YES, Status: int32(resp.Status), Body: resp.Body,
		BodySize: int64(len(resp.Body)), Load: load,
	}
	for name, values := range resp.Header {
		reply.Headers = append(reply.Headers, &schema.Header{Name: name, Values: values})
	}
	return reply, nil
}

// enter waits until the request holds a slot.
func (a *Agent) enter(ctx context.Context, req *schema.ForwardRequest, deadline time.Time) (*host.SlotRequest, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	visit, decision, err := a.host.RequestSlot(time.Now(), req, deadline)
	if err == nil && decision == gate.Queued {
		err = a.wait(ctx, visit)
	}
	if err != nil {
		return visit, err
	}
	granted, err := visit.Start(time.Now())
	grant(granted)
	return visit, err
}

// wait waits for a queued request's slot. It gives up mu while it waits.
func (a *Agent) wait(ctx context.Context, visit *host.SlotRequest) error {
	granted := make(chan bool, 1)
	visit.Data = granted
	a.mu.Unlock()
	select {
	case a.queued <- struct{}{}:
	default:
	}
	var got, gone bool
	select {
	case got = <-granted:
	case <-ctx.Done():
		gone = true
	}
	a.mu.Lock()
	if gone && !visit.Cancel() && <-granted {
		grant(visit.ReleaseUnused(time.Now()))
	}
	if !got {
		return visit.Refuse(codes.New(codes.TimedOutNotRun, "the deadline passed in the queue"))
	}
	return nil
}

// grant tells waiting requests that they got their slots.
func grant(visits []*host.SlotRequest) { tell(visits, true) }

func tell(visits []*host.SlotRequest, got bool) {
	for _, v := range visits {
		v.Data.(chan bool) <- got
	}
}

// expire drops queued requests whose deadline cannot be met, until ctx ends. It
// sleeps while nothing is queued.
func (a *Agent) expire(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.queued:
		}
		for a.expireOnce() && ctx.Err() == nil {
			time.Sleep(expireEvery)
		}
	}
}

// expireOnce reports whether requests are still queued.
func (a *Agent) expireOnce() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	late, granted := a.host.Expire(time.Now())
	tell(late, false)
	grant(granted)
	return a.host.Queued() > 0
}

func (a *Agent) serve(ctx context.Context, req *schema.ForwardRequest, deadline time.Time) (port.Response, error) {
	if !req.GetIdempotent() {
		// What has started runs to its end even if the entry's connection is lost.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	header := make(http.Header, len(req.GetHeaders()))
	for _, h := range req.GetHeaders() {
		header[h.GetName()] = h.GetValues()
	}
	return a.worker.Serve(ctx, port.Request{
		ID: req.GetId(), Team: req.GetTeam(), Service: req.GetService(), Method: req.GetMethod(),
		Path: req.GetPath(), Header: header, Body: req.GetBody(),
	})
}

func serveError(ctx context.Context, err error) error {
	switch {
	case errors.Is(err, port.ErrNotStarted):
		return codes.Wrap(err, codes.NoUpstream, "the worker did not start the request")
	case errors.Is(err, context.DeadlineExceeded), ctx.Err() != nil:
		return codes.Wrap(err, codes.TimedOut, "the upstream did not answer in time")
	}
	return codes.Wrap(err, codes.UpstreamFailed, "the upstream broke off")
}

func (a *Agent) refusal(visit *host.SlotRequest, req *schema.ForwardRequest, err error) *schema.ForwardReply {
	code := codes.Of(err)
	a.metrics.refused.WithLabelValues(code.String()).Inc()
	a.mu.Lock()
	load := visit.Load(0)
	a.mu.Unlock()
	reply := &schema.ForwardReply{
		Id: req.GetId(), Code: uint32(code), Ran: ranOf(code), Message: err.Error(), Load: load,
	}
	if load != nil && reply.GetRan() == schema.Ran_RAN_NO {
		reply.RetryAfterMs = retryAfter(load).Milliseconds()
	}
	return reply
}

// retryAfter is how long the queue that refused takes to empty.
func retryAfter(l *schema.Load) time.Duration {
	waves := 1 + l.GetQueued()/max(l.GetSlots(), 1)
	return time.Duration(waves) * 10 * time.Millisecond
}

func ranOf(code codes.Code) schema.Ran {
	switch code.Info().Ran {
	case codes.RanNo:
		return schema.Ran_RAN_NO
	case codes.RanYes:
		return schema.Ran_RAN_YES
	}
	return schema.Ran_RAN_UNKNOWN
}

// Revoke implements schema.Agent.
func (a *Agent) Revoke(_ context.Context, req *schema.RevokeRequest) (*schema.RevokeReply, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.host.Revoke(time.Now(), req.GetId()) {
		return &schema.RevokeReply{Ran: schema.Ran_RAN_NO}, nil
	}
	return &schema.RevokeReply{Ran: schema.Ran_RAN_YES}, nil
}

// Poke implements schema.Agent.
func (a *Agent) Poke(_ context.Context, req *schema.PokeRequest) (*schema.PokeReply, error) {
	a.mu.Lock()
	a.host.Poked(req)
	a.mu.Unlock()
	a.wake()
	return &schema.PokeReply{}, nil
}

// Ping implements schema.Agent.
func (a *Agent) Ping(context.Context, *schema.PingRequest) (*schema.PingReply, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return &schema.PingReply{Vm: a.cfg.VM, Leaving: a.host.Leaving()}, nil
}
