package host

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/front/gate"
	"github.com/ebonyarch/ebonyarch/internal/front/once"
	"github.com/ebonyarch/ebonyarch/internal/sched/guard"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// SlotRequest is a request on its way through the host. Enter makes it; exactly one
// of Refuse and Done ends it.
type SlotRequest struct {
	host   *Host
	req    *schema.ForwardRequest
	gate   *gate.Gate
	ticket *gate.Ticket
	// Data is the caller's.
	Data any
}

// RequestSlot asks for a slot. It returns Granted, Queued (Done, Expire or Cancel of
// other visits decide later), or an error that says why the request did not run.
func (h *Host) RequestSlot(now time.Time, req *schema.ForwardRequest, deadline time.Time) (*SlotRequest, gate.Decision, error) {
	v := &SlotRequest{host: h, req: req}
	if h.leaving {
		return v, gate.Full, codes.New(codes.Leaving, "the VM is leaving")
	}
	v.gate = h.gates[req.GetTeam()+"/"+req.GetService()]
	if v.gate == nil {
		return v, gate.Full, codes.New(codes.NoUpstream, "no replica of the service runs on the VM")
	}
	if !req.GetIdempotent() {
		var stamp time.Time
		if req.GetStampMs() != 0 {
			stamp = time.UnixMilli(req.GetStampMs())
		}
		if err := verdictError(h.once.Register(now, req.GetId(), stamp)); err != nil {
			return v, gate.Full, err
		}
	}
	ticket, decision := v.gate.Admit(now, req.GetKind(), deadline)
	v.ticket = ticket
	ticket.Data = v
	switch decision {
	case gate.Full:
		return v, decision, v.Refuse(codes.New(codes.UpstreamFull, "the queue of this kind is full"))
	case gate.Late:
		return v, decision, v.Refuse(codes.New(codes.DeadlineTooNear, "the request could not finish in time"))
	}
	return v, decision, nil
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

// Refuse ends a visit that got no slot and returns err.
func (v *SlotRequest) Refuse(err error) error {
	if !v.req.GetIdempotent() {
		v.host.once.Withdraw(v.req.GetId())
	}
	return err
}

// Start marks a visit that holds a slot as running. It fails if the request was
// revoked while it waited; the slot then goes to granted.
func (v *SlotRequest) Start(now time.Time) (granted []*SlotRequest, err error) {
	if !v.req.GetIdempotent() && !v.host.once.Start(v.req.GetId()) {
		return visits(v.gate.Done(now, v.ticket, 0)), codes.New(codes.Revoked, "the request was revoked while it waited")
	}
	v.host.running++
	return nil, nil
}

// Done ends a visit that ran for took and returns those that get slots now.
func (v *SlotRequest) Done(now time.Time, took time.Duration) []*SlotRequest {
	v.host.running--
	v.host.guard.ObserveServiceTime(v.req.GetTeam()+"/"+v.req.GetService(), took)
	return visits(v.gate.Done(now, v.ticket, took))
}

// Cancel takes a queued visit back. It returns false if it got a slot already.
func (v *SlotRequest) Cancel() bool { return v.gate.Cancel(v.ticket) }

// ReleaseUnused returns the slot of a visit that got one but was not started.
func (v *SlotRequest) ReleaseUnused(now time.Time) []*SlotRequest {
	return visits(v.gate.Done(now, v.ticket, 0))
}

// Load returns the load of the visit's gate, nil if it has none.
func (v *SlotRequest) Load(took time.Duration) *schema.Load {
	if v.gate == nil {
		return nil
	}
	return &schema.Load{
		Running: uint32(v.gate.Running()), Queued: uint32(v.gate.Queued()), Slots: uint32(v.gate.Slots()),
		ServiceUs: uint32(took.Microseconds()),
	}
}

func visits(tickets []*gate.Ticket) []*SlotRequest {
	list := make([]*SlotRequest, 0, len(tickets))
	for _, t := range tickets {
		list = append(list, t.Data.(*SlotRequest))
	}
	return list
}

// Expire returns queued visits that can no longer finish in time, and those that
// get slots now.
func (h *Host) Expire(now time.Time) (late, granted []*SlotRequest) {
	for _, g := range h.gates {
		if g.Queued() == 0 {
			continue
		}
		l, r := g.Expire(now)
		late, granted = append(late, visits(l)...), append(granted, visits(r)...)
	}
	return late, granted
}

// Queued returns the requests that wait for slots.
func (h *Host) Queued() int {
	sum := 0
	for _, g := range h.gates {
		sum += g.Queued()
	}
	return sum
}

// Revoke makes certain that a request never runs here. It returns false if it
// has started.
func (h *Host) Revoke(now time.Time, id string) bool { return h.once.Revoke(now, id) }

// RequestIDs returns the number of request ids remembered.
func (h *Host) RequestIDs() int { return h.once.Len() }

// Gates calls visit for each service that has a gate.
func (h *Host) Gates(visit func(service string, g *gate.Gate)) {
	for name, g := range h.gates {
		visit(name, g)
	}
}

// ProtectServices keeps the services fast: it returns the batch attempts to throttle now,
// and gives back those that must go.
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

// GuardStats counts the steps that kept the services fast.
func (h *Host) GuardStats() guard.Stats { return h.guard.Stats() }

// updateGates makes the gates those of the services that run.
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
