package host

import (
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/front/gate"
	"github.com/ebonyarch/ebonyarch/internal/front/once"
	"github.com/ebonyarch/ebonyarch/internal/sched/guard"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// SlotRequest is a caller's request for a slot. RequestSlot creates it. It ends with
// Refuse, with Done, or with an error of Start.
type SlotRequest struct {
	host   *Host
	req    *schema.ForwardRequest
	gate   *gate.Gate
	ticket *gate.Ticket
	// Data is free for use by the caller.
	Data any
}

// RequestSlot requests a slot. It returns gate.Granted, or gate.Queued if a later
// call of Done, Expire, Start or ReleaseUnused returns the request, or an error that
// says why the request did not run.
func (h *Host) RequestSlot(now time.Time, req *schema.ForwardRequest, deadline time.Time) (*SlotRequest, gate.Decision, error) {
	r := &SlotRequest{host: h, req: req}
	if h.leaving {
		return r, gate.Full, codes.New(codes.Leaving, "the VM is leaving")
	}
	r.gate = h.gates[req.GetTeam()+"/"+req.GetService()]
	if r.gate == nil {
		return r, gate.Full, codes.New(codes.NoUpstream, "no replica of the service runs on the VM")
	}
	if !req.GetIdempotent() {
		var stamp time.Time
		if req.GetStampMs() != 0 {
			stamp = time.UnixMilli(req.GetStampMs())
		}
		if err := verdictError(h.once.Register(now, req.GetId(), stamp)); err != nil {
			return r, gate.Full, err
		}
	}
	ticket, decision := r.gate.Admit(now, req.GetKind(), deadline)
	r.ticket = ticket
	ticket.Data = r
	switch decision {
	case gate.Full:
		return r, decision, r.Refuse(codes.New(codes.UpstreamFull, "the queue of this kind is full"))
	case gate.Late:
		return r, decision, r.Refuse(codes.New(codes.DeadlineTooNear, "the request could not finish in time"))
	}
	return r, decision, nil
}

// verdictError returns the error for a request id that may not run, or nil.
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

// Refuse ends a request that got no slot and returns err.
func (r *SlotRequest) Refuse(err error) error {
	if !r.req.GetIdempotent() {
		r.host.once.Withdraw(r.req.GetId())
	}
	return err
}

// Start marks a request that holds a slot as running. It fails if the request was
// revoked while it waited; its slot then goes to the requests in granted.
func (r *SlotRequest) Start(now time.Time) (granted []*SlotRequest, err error) {
	if !r.req.GetIdempotent() && !r.host.once.Start(r.req.GetId()) {
		return slotRequests(r.gate.Done(now, r.ticket, 0)), codes.New(codes.Revoked, "the request was revoked while it waited")
	}
	r.host.running++
	return nil, nil
}

// Done ends a request that ran for took and returns the requests that get slots now.
func (r *SlotRequest) Done(now time.Time, took time.Duration) []*SlotRequest {
	r.host.running--
	r.host.guard.ObserveServiceTime(r.req.GetTeam()+"/"+r.req.GetService(), took)
	return slotRequests(r.gate.Done(now, r.ticket, took))
}

// Cancel removes a request from the queue. It returns false if the request was no
// longer queued.
func (r *SlotRequest) Cancel() bool { return r.gate.Cancel(r.ticket) }

// ReleaseUnused releases the slot of a request that was not started, and returns the
// requests that get slots now.
func (r *SlotRequest) ReleaseUnused(now time.Time) []*SlotRequest {
	return slotRequests(r.gate.Done(now, r.ticket, 0))
}

// Load returns the load of the service's gate for the reply to a request that ran
// for took. It returns nil if the service has no gate.
func (r *SlotRequest) Load(took time.Duration) *schema.Load {
	if r.gate == nil {
		return nil
	}
	return &schema.Load{
		Running: uint32(r.gate.Running()), Queued: uint32(r.gate.Queued()), Slots: uint32(r.gate.Slots()),
		ServiceUs: uint32(took.Microseconds()),
	}
}

// slotRequests returns the requests that the tickets belong to.
func slotRequests(tickets []*gate.Ticket) []*SlotRequest {
	list := make([]*SlotRequest, 0, len(tickets))
	for _, t := range tickets {
		list = append(list, t.Data.(*SlotRequest))
	}
	return list
}

// Expire removes the queued requests that can no longer finish before their
// deadlines. It returns them, and the queued requests that get slots now.
func (h *Host) Expire(now time.Time) (late, granted []*SlotRequest) {
	for _, g := range h.gates {
		if g.Queued() == 0 {
			continue
		}
		lateTickets, grantedTickets := g.Expire(now)
		late, granted = append(late, slotRequests(lateTickets)...), append(granted, slotRequests(grantedTickets)...)
	}
	return late, granted
}

// Queued returns the number of requests that wait for slots.
func (h *Host) Queued() int {
	sum := 0
	for _, g := range h.gates {
		sum += g.Queued()
	}
	return sum
}

// Revoke ensures that the request with the given id never runs on this VM. It returns
// false if the request has started, or if that is not known: the agent may have started
// after it, or have forgotten the id. The id's timestamp tells.
func (h *Host) Revoke(now time.Time, id string) bool {
	var stamp time.Time // far in the past if the id has no timestamp
	if u, err := ulid.ParseStrict(id); err == nil {
		stamp = u.Timestamp()
	}
	return h.once.Revoke(now, id, stamp)
}

// RequestIDs returns the number of request ids that are remembered.
func (h *Host) RequestIDs() int { return h.once.Len() }

// Gates calls visit for each service that has a gate.
func (h *Host) Gates(visit func(service string, g *gate.Gate)) {
	for name, g := range h.gates {
		visit(name, g)
	}
}

// ProtectServices keeps the services within their latency targets: it returns the
// changes of the batch attempts' speed limits, and has the runner evict an attempt
// if throttling does not suffice.
func (h *Host) ProtectServices(now time.Time) []guard.Throttle {
	throttle, evict := h.guard.Tick(now, h.Runner.Batch(now))
	if evict != nil {
		h.Runner.Evict(*evict)
	}
	if throttle == nil {
		return nil
	}
	return []guard.Throttle{*throttle}
}

// GuardStats returns how often the guard throttled, released and evicted attempts.
func (h *Host) GuardStats() guard.Stats { return h.guard.Stats() }

// updateGates creates or updates the gates of the services that run on the VM. The
// gate of another service is removed once it has no more requests.
func (h *Host) updateGates() {
	slots := map[string]int{}
	kinds := map[string][]gate.Kind{}
	for _, as := range h.Runner.Services() {
		name := as.GetTeam() + "/" + as.GetKind()
		slots[name] += int(as.GetSlots())
		h.guard.SetTarget(name, time.Duration(as.GetLatencyAimMs())*time.Millisecond)
		kinds[name] = nil
		for _, k := range as.GetKinds() {
			kinds[name] = append(kinds[name], gate.Kind{Name: k.GetName(), Share: k.GetShare(), Weight: k.GetWeight()})
		}
	}
	for name, g := range h.gates {
		if _, ok := slots[name]; !ok && g.Running()+g.Queued() == 0 {
			delete(h.gates, name)
		}
	}
	for name, n := range slots {
		if h.gates[name] == nil {
			h.gates[name] = gate.New(n, kinds[name])
			continue
		}
		h.gates[name].Update(n, kinds[name])
	}
}
