package slots

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/front/gate"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// try is one try of a request at an upstream.
type try struct {
	request  *request
	upstream *upstream
	// index is the try's index in the flow.
	index    int
	deadline time.Time
	// ticket is the try's place in the gate. It is nil under NoAdmission.
	ticket *gate.Ticket
	// answered is set when the entry has the reply or has stopped waiting for it.
	answered bool
}

// arrive handles the arrival of the try at the upstream.
func (t *try) arrive() {
	s, u := t.request.sim, t.upstream
	switch {
	case u.dead:
		return
	case u.index == s.cfg.FailingUpstream:
		t.reply(&schema.ForwardReply{Id: "x", Status: 500, Load: t.load(time.Microsecond)})
		return
	}
	if s.cfg.Policy.NoAdmission {
		u.fifo = append(u.fifo, t)
		u.runNext(s)
		return
	}
	ticket, decision := u.gate.Admit(s.Now, t.request.kind.Name, t.deadline)
	t.ticket = ticket
	ticket.Data = t
	switch decision {
	case gate.Granted:
		t.run()
	case gate.Full:
		t.refuse(codes.UpstreamFull)
	case gate.Late:
		t.refuse(codes.DeadlineTooNear)
	}
}

// run occupies a slot for the service time and then replies.
func (t *try) run() {
	s := t.request.sim
	s.running++
	s.result.PeakRunning = max(s.result.PeakRunning, s.running)
	took := s.serviceTime(t.request.kind, t.upstream)
	s.After(took, func() {
		s.running--
		if t.ticket == nil {
			t.upstream.busy--
			t.upstream.runNext(s)
			t.reply(&schema.ForwardReply{Id: "x", Status: 200})
			return
		}
		s.runGranted(t.upstream.gate.Done(s.Now, t.ticket, took))
		t.reply(&schema.ForwardReply{Id: "x", Status: 200, Load: t.load(took)})
	})
}

// load returns the load to report in a reply, which is ReportLag old.
func (t *try) load(took time.Duration) *schema.Load {
	if t.request.sim.cfg.ReportLag > 0 && len(t.upstream.pastLoads) > 0 {
		l := t.upstream.pastLoads[0]
		return &schema.Load{
			Running: l.GetRunning(), Queued: l.GetQueued(), Slots: l.GetSlots(), ServiceUs: uint32(took.Microseconds()),
			AgeMs: uint32(t.request.sim.cfg.ReportLag.Milliseconds()),
		}
	}
	return t.upstream.load(took)
}

func (t *try) refuse(code codes.Code) {
	t.request.sim.result.Wasted++
	t.reply(&schema.ForwardReply{Id: "x", Code: uint32(code), Load: t.load(0)})
}

// reply sends a reply to the entry.
func (t *try) reply(reply *schema.ForwardReply) {
	s, r := t.request.sim, t.request
	s.After(oneWayDelay, func() {
		if r.done && reply.GetCode() == 0 {
			s.result.Wasted++
		}
		if t.answered {
			return
		}
		t.answered = true
		if r.flow != nil {
			r.perform(r.flow.Replied(s.Now, s.rnd, t.index, reply))
			return
		}
		t.upstream.inFlight[r.entry]--
		if code := codes.Code(reply.GetCode()); code != codes.OK || reply.GetStatus() >= 500 {
			r.finish(codes.New(max(code, codes.UpstreamFull), ""))
			return
		}
		r.finish(nil)
	})
}
