package slots

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/front/gate"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// try is a request at an upstream.
type try struct {
	request  *request
	upstream *upstream
	index    int
	deadline time.Time
	ticket   *gate.Ticket
	answered bool
}

func (t *try) arrive() {
	s, u := t.request.sim, t.upstream
	switch {
	case u.dead:
		return
	case u.index == s.cfg.FailFast:
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

func (t *try) run() {
	s := t.request.sim
	s.running++
	s.result.MostRunning = max(s.result.MostRunning, s.running)
	took := s.serviceTime(t.request.kind, t.upstream)
	s.After(took, func() {
		s.running--
		if t.ticket == nil {
			t.upstream.busy--
			t.upstream.runNext(s)
			t.reply(&schema.ForwardReply{Id: "x", Status: 200})
			return
		}
		s.grant(t.upstream.gate.Done(s.Now, t.ticket, took))
		t.reply(&schema.ForwardReply{Id: "x", Status: 200, Load: t.load(took)})
	})
}

func (t *try) load(took time.Duration) *schema.Load {
	if t.request.sim.cfg.ReportLag > 0 && len(t.upstream.reports) > 0 {
		l := t.upstream.reports[0]
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

func (t *try) reply(reply *schema.ForwardReply) {
	s, r := t.request.sim, t.request
	s.After(hop, func() {
		if r.done && reply.GetCode() == 0 {
			s.result.Wasted++
		}
		if t.answered {
			return
		}
		t.answered = true
		if r.flow != nil {
			r.take(r.flow.Replied(s.Now, s.rnd, t.index, reply))
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
