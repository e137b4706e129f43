package lead_test

import (
	"errors"
	"log/slog"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/exec"
	"github.com/ebonyarch/ebonyarch/internal/jobs/lead"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

// agent connects a process of VM 0's agent to the harness's leader.
type agent struct {
	*exec.Agent
	h    *harness
	conn uint64
}

// startAgent starts a process of VM 0's agent, whose worker sends a heartbeat.
func (h *harness) startAgent(conn uint64) *agent {
	a := &agent{exec.New("node-0", slog.New(slog.DiscardHandler)), h, conn}
	a.Heartbeat(h.now, port.Heartbeat{VM: vmInfo(0), Clock: time.Hour})
	return a
}

// poll polls the worker, which lists res.
func (a *agent) poll(res port.PollResult) {
	a.h.now = a.h.now.Add(time.Millisecond)
	p, ok := a.Poll(a.h.now, false)
	Expect(ok).To(BeTrue())
	a.h.now = a.h.now.Add(time.Millisecond)
	res.Incarnation, res.Clock = vmInfo(0).Incarnation, time.Hour+a.h.now.Sub(time.Unix(1000, 0))
	a.Polled(a.h.now, p, res, nil)
}

// exchange passes the agent's messages to the leader, and the leader's to the agent. It returns
// the leader's messages to others.
func (a *agent) exchange() []lead.OutboundMessage {
	var others []lead.OutboundMessage
	for range 3 {
		for _, m := range a.Messages() {
			a.h.leader.Handle(a.h.now, a.conn, m)
		}
		a.h.advance(40 * time.Millisecond)
		for _, m := range a.h.out {
			switch {
			case m.Conn != a.conn:
				others = append(others, m)
			case m.Message.Lease != nil:
				a.Lease(m.Message.Lease)
			case m.Message.Orders != nil:
				a.Orders(a.h.now, m.Message.Orders)
			}
		}
		a.h.out = nil
	}
	return others
}

var _ = Describe("A start that an earlier process sent with the fencing token of the present leader", func() {
	// The agent repeats a start as soon as it is connected to the next leader, before that
	// has ordered it.
	It("is not ruled out by a refusal of the successor's start", func() {
		h := newHarness()
		first := h.startAgent(firstAgentConn)
		Expect(first.LeaderConnected(epoch)).To(BeTrue())
		first.LeaseRequest(h.now)
		first.poll(port.PollResult{})
		first.exchange()
		h.submit(job(1, smallStep))
		first.exchange()
		calls := first.Calls()
		Expect(calls).To(HaveLen(1))
		Expect(calls[0].Start).NotTo(BeNil())

		h.lead(epoch + 1)
		first.LeaderDisconnected()
		Expect(first.LeaderConnected(epoch + 1)).To(BeTrue())
		first.Started(h.now, calls[0], errors.New("no response"))
		late := first.Calls()
		Expect(late).To(HaveLen(1), "gets no response, and is carried out late")
		// The process ends here, before its poll with the new token got a response.

		second := h.startAgent(firstAgentConn + 5)
		Expect(second.LeaderConnected(epoch + 1)).To(BeTrue())
		second.LeaseRequest(h.now)
		second.poll(port.PollResult{})
		second.exchange()
		h.join(1)
		calls = second.Calls()
		Expect(calls).To(HaveLen(1))
		Expect(late[0].Start.FencingToken).To(Equal(calls[0].Start.FencingToken), "the worker would accept it")
		second.Started(h.now, calls[0], port.ErrWorkerUnhealthy)
		Expect(second.startsElsewhere()).To(BeEmpty(), "the first start may be carried out")
	})
})

// startsElsewhere lets two seconds pass, and returns the orders to start runs on VM 1.
func (a *agent) startsElsewhere() []msgs.Start {
	var starts []msgs.Start
	for range 10 {
		a.h.requestLease(1, false)
		a.LeaseRequest(a.h.now)
		for _, m := range a.exchange() {
			if m.Message.Orders != nil {
				starts = append(starts, m.Message.Orders.Starts...)
			}
		}
		a.h.now = a.h.now.Add(100 * time.Millisecond)
	}
	return starts
}
