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

// expireInterval is the time between two checks for queued requests that can no
// longer finish before their deadlines.
const expireInterval = 5 * time.Millisecond

// Forward implements schema.Agent.
func (a *Agent) Forward(ctx context.Context, req *schema.ForwardRequest) (*schema.ForwardReply, error) {
	a.inFlight.Add(1)
	defer a.inFlight.Add(-1)
	deadline := time.Now().Add(time.Duration(req.GetTimeoutUs()) * time.Microsecond)
	slotReq, err := a.acquireSlot(ctx, req, deadline)
	if err != nil {
		return a.errorReply(slotReq, req, err), nil
	}
	started := time.Now()
	resp, err := a.serve(ctx, req, deadline)
	took := time.Since(started)
	a.metrics.served.Observe(took.Seconds())
	a.mu.Lock()
	notifyGranted(slotReq.Done(time.Now(), took))
	load := slotReq.Load(took)
	a.mu.Unlock()
	if err != nil {
		return a.errorReply(slotReq, req, serveError(ctx, err)), nil
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

// acquireSlot waits until the request holds a slot and marks it as running. It
// returns the slot request even with an error, because error replies report the
// load of the service.
func (a *Agent) acquireSlot(ctx context.Context, req *schema.ForwardRequest, deadline time.Time) (*host.SlotRequest, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	slotReq, decision, err := a.host.RequestSlot(time.Now(), req, deadline)
	if err == nil && decision == gate.Queued {
		err = a.waitForSlot(ctx, slotReq)
	}
	if err != nil {
		return slotReq, err
	}
	granted, err := slotReq.Start(time.Now())
	notifyGranted(granted)
	return slotReq, err
}

// waitForSlot waits until a queued request gets a slot. The caller holds mu, which
// is released during the wait.
func (a *Agent) waitForSlot(ctx context.Context, slotReq *host.SlotRequest) error {
	grantedCh := make(chan bool, 1)
	slotReq.Data = grantedCh
	a.mu.Unlock()
	select {
	case a.wakeExpire <- struct{}{}:
	default:
	}
	var granted, cancelled bool
	select {
	case granted = <-grantedCh:
	case <-ctx.Done():
		cancelled = true
	}
	a.mu.Lock()
	// Cancel fails if the request has left the queue in the meantime. grantedCh then says
	// whether it got a slot, which must be released.
	if cancelled && !slotReq.Cancel() && <-grantedCh {
		notifyGranted(slotReq.ReleaseUnused(time.Now()))
	}
	if !granted {
		return slotReq.Refuse(codes.New(codes.TimedOutNotRun, "the deadline passed in the queue"))
	}
	return nil
}

// notifyGranted notifies waiting requests that they have got slots.
func notifyGranted(slotReqs []*host.SlotRequest) { notify(slotReqs, true) }

// notify ends the wait of requests in waitForSlot; granted says whether they got slots.
func notify(slotReqs []*host.SlotRequest, granted bool) {
	for _, slotReq := range slotReqs {
		slotReq.Data.(chan bool) <- granted
	}
}

// expireLoop drops queued requests that can no longer finish before their
// deadlines, until ctx ends. While nothing is queued it does not poll.
func (a *Agent) expireLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.wakeExpire:
		}
		for a.expireQueued() && ctx.Err() == nil {
			time.Sleep(expireInterval)
		}
	}
}

// expireQueued drops the queued requests that can no longer finish before their
// deadlines, and reports whether others are still queued.
func (a *Agent) expireQueued() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	late, granted := a.host.Expire(time.Now())
	notify(late, false)
	notifyGranted(granted)
	return a.host.Queued() > 0
}

// serve passes a request to the worker.
func (a *Agent) serve(ctx context.Context, req *schema.ForwardRequest, deadline time.Time) (port.Response, error) {
	if !req.GetIdempotent() {
		// A non-idempotent request that has started runs to its end even if the
		// entry's connection is lost.
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

// serveError adds a result code to an error of serve.
func serveError(ctx context.Context, err error) error {
	switch {
	case errors.Is(err, port.ErrNotStarted):
		return codes.Wrap(err, codes.NoUpstream, "the worker did not start the request")
	case errors.Is(err, context.DeadlineExceeded), ctx.Err() != nil:
		return codes.Wrap(err, codes.TimedOut, "the upstream did not answer in time")
	}
	return codes.Wrap(err, codes.UpstreamFailed, "the upstream broke off")
}

// errorReply returns the reply for a request that was refused or failed.
func (a *Agent) errorReply(slotReq *host.SlotRequest, req *schema.ForwardRequest, err error) *schema.ForwardReply {
	code := codes.Of(err)
	a.metrics.refused.WithLabelValues(code.String()).Inc()
	a.mu.Lock()
	load := slotReq.Load(0)
	a.mu.Unlock()
	reply := &schema.ForwardReply{
		Id: req.GetId(), Code: uint32(code), Ran: ranOf(code), Message: err.Error(), Load: load,
	}
	if load != nil && reply.GetRan() == schema.Ran_RAN_NO {
		reply.RetryAfterMs = retryAfter(load).Milliseconds()
	}
	return reply
}

// retryAfter estimates how long the running and queued requests of the service take,
// assuming that each runs for 10 ms.
func retryAfter(load *schema.Load) time.Duration {
	rounds := 1 + load.GetQueued()/max(load.GetSlots(), 1)
	return time.Duration(rounds) * 10 * time.Millisecond
}

// ranOf says whether a request that ended with code has run.
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
	return &schema.RevokeReply{Ran: schema.Ran_RAN_UNKNOWN}, nil
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
