package agent

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/front/gate"
	"github.com/ebonyarch/ebonyarch/internal/front/once"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// expireEvery spaces the looks for queued requests that can no longer finish.
const expireEvery = 5 * time.Millisecond

// slotWait is the state of a request that waits for a slot.
type slotWait struct {
	// granted gets one value: whether the request got its slot.
	granted chan bool
}

// Forward implements schema.Agent.
func (a *Agent) Forward(ctx context.Context, req *schema.ForwardRequest) (*schema.ForwardReply, error) {
	a.inFlight.Add(1)
	defer a.inFlight.Add(-1)
	deadline := time.Now().Add(time.Duration(req.GetTimeoutUs()) * time.Microsecond)
	g, ticket, err := a.enter(ctx, req, deadline)
	if err != nil {
		return a.refusal(g, req, err), nil
	}
	started := time.Now()
	resp, err := a.serve(ctx, req, deadline)
	took := time.Since(started)
	a.mu.Lock()
	a.grant(g.Done(time.Now(), ticket, took))
	a.mu.Unlock()
	a.metrics.served.Observe(took.Seconds())
	if err != nil {
		return a.refusal(g, req, serveError(ctx, err)), nil
	}
	reply := &schema.ForwardReply{
		Id: req.GetId(), Ran: schema.Ran_RAN_YES, Status: int32(resp.Status), Body: resp.Body,
		BodySize: int64(len(resp.Body)), Load: a.load(g, took),
	}
	for name, values := range resp.Header {
		reply.Headers = append(reply.Headers, &schema.Header{Name: name, Values: values})
	}
	return reply, nil
}

// enter waits until the request holds a slot.
func (a *Agent) enter(ctx context.Context, req *schema.ForwardRequest, deadline time.Time) (*gate.Gate, *gate.Ticket, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaving {
		return nil, nil, codes.New(codes.Leaving, "the VM is leaving")
	}
	g := a.gates[req.GetTeam()+"/"+req.GetService()]
	if g == nil {
		return nil, nil, codes.New(codes.NoUpstream, "no replica of the service runs on the VM")
	}
	now := time.Now()
	if !req.GetIdempotent() {
		var stamp time.Time
		if req.GetStampMs() != 0 {
			stamp = time.UnixMilli(req.GetStampMs())
		}
		if err := verdictError(a.once.Begin(now, req.GetId(), stamp)); err != nil {
			return g, nil, err
		}
	}
	ticket, decision := g.Ask(now, req.GetKind(), deadline)
	err := decisionError(decision)
	if decision == gate.Queued {
		err = a.wait(ctx, g, ticket)
	}
	if err != nil {
		if !req.GetIdempotent() {
			a.once.Withdraw(req.GetId())
		}
		return g, nil, err
	}
	if !req.GetIdempotent() && !a.once.Start(req.GetId()) {
		a.grant(g.Done(now, ticket, 0))
		return g, nil, codes.New(codes.Revoked, "the request was revoked while it waited")
	}
	return g, ticket, nil
}

// wait waits for a queued request's slot. It gives up mu while it waits.
func (a *Agent) wait(ctx context.Context, g *gate.Gate, ticket *gate.Ticket) error {
	w := &slotWait{granted: make(chan bool, 1)}
	ticket.Data = w
	a.mu.Unlock()
	var granted, gone bool
	select {
	case granted = <-w.granted:
	case <-ctx.Done():
		gone = true
	}
	a.mu.Lock()
	if gone && !g.Cancel(ticket) {
		granted = <-w.granted
		if granted {
			a.grant(g.Done(time.Now(), ticket, 0))
		}
		granted = false
	}
	if !granted {
		return codes.New(codes.TimedOutNotRun, "the deadline passed in the queue")
	}
	return nil
}

// grant tells waiting requests that they got their slots.
func (a *Agent) grant(tickets []*gate.Ticket) {
	for _, t := range tickets {
		t.Data.(*slotWait).granted <- true
	}
}

// expire drops queued requests whose deadline cannot be met, until ctx ends.
func (a *Agent) expire(ctx context.Context) {
	ticker := time.NewTicker(expireEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		a.mu.Lock()
		for _, g := range a.gates {
			if g.Queued() == 0 {
				continue
			}
			late, granted := g.Expire(time.Now())
			for _, t := range late {
				t.Data.(*slotWait).granted <- false
			}
			a.grant(granted)
		}
		a.mu.Unlock()
	}
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

func verdictError(v once.Verdict) error {
	switch v {
	case once.Duplicate:
		return codes.New(codes.DuplicateID, "a request with this id came before")
	case once.Revoked:
		return codes.New(codes.Revoked, "the request was revoked")
	case once.Stale:
		return codes.New(codes.StaleID, "the id is too old to tell whether it ran")
	}
	return nil
}

func decisionError(d gate.Decision) error {
	switch d {
	case gate.Full:
		return codes.New(codes.UpstreamFull, "the queue of this kind is full")
	case gate.Late:
		return codes.New(codes.DeadlineTooNear, "the request could not finish in time")
	}
	return nil
}

func (a *Agent) refusal(g *gate.Gate, req *schema.ForwardRequest, err error) *schema.ForwardReply {
	code := codes.Of(err)
	a.metrics.refused.WithLabelValues(code.String()).Inc()
	reply := &schema.ForwardReply{
		Id: req.GetId(), Code: uint32(code), Ran: ranOf(code), Message: err.Error(), Load: a.load(g, 0),
	}
	if g != nil && reply.GetRan() == schema.Ran_RAN_NO {
		reply.RetryAfterMs = retryAfter(reply.GetLoad()).Milliseconds()
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

func (a *Agent) load(g *gate.Gate, took time.Duration) *schema.Load {
	if g == nil {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return &schema.Load{
		Running: uint32(g.Running()), Queued: uint32(g.Queued()), Slots: uint32(g.Slots()),
		ServiceUs: uint32(took.Microseconds()),
	}
}

// Revoke implements schema.Agent.
func (a *Agent) Revoke(_ context.Context, req *schema.RevokeRequest) (*schema.RevokeReply, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.once.Revoke(time.Now(), req.GetId()) {
		return &schema.RevokeReply{Ran: schema.Ran_RAN_NO}, nil
	}
	return &schema.RevokeReply{Ran: schema.Ran_RAN_YES}, nil
}

// Poke implements schema.Agent.
func (a *Agent) Poke(context.Context, *schema.PokeRequest) (*schema.PokeReply, error) {
	a.wake()
	return &schema.PokeReply{}, nil
}

// Ping implements schema.Agent.
func (a *Agent) Ping(context.Context, *schema.PingRequest) (*schema.PingReply, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return &schema.PingReply{Vm: a.cfg.VM, Leaving: a.leaving}, nil
}

// updateGates makes the gates those of the services that run. The caller holds
// mu.
func (a *Agent) updateGates() {
	slots := map[string]int{}
	kinds := map[string][]gate.Kind{}
	for _, as := range a.runner.Services() {
		name := as.GetTeam() + "/" + as.GetKind()
		slots[name] += int(as.GetSlots())
		kinds[name] = nil
		for _, k := range as.GetKinds() {
			kinds[name] = append(kinds[name], gate.Kind{Name: k.GetName(), Share: k.GetShare(), Weight: k.GetWeight()})
		}
	}
	for name := range a.gates {
		if _, ok := slots[name]; !ok && a.gates[name].Running()+a.gates[name].Queued() == 0 {
			delete(a.gates, name)
		}
	}
	for name, n := range slots {
		if a.gates[name] == nil {
			a.gates[name] = gate.New(n, kinds[name])
			continue
		}
		a.gates[name].Update(n, kinds[name])
	}
}
