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
		Expect(late[0].Start.FencingToken).To(BeNumerically("<", calls[0].Start.FencingToken), "the worker refuses it from the successor's first poll on")
		second.Started(h.now, calls[0], port.ErrWorkerUnhealthy)
		Expect(second.startsElsewhere()).To(BeEmpty(), "the first start may have been carried out before")
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

// startingAgent returns a process of VM 0's agent that has sent a start without a response yet.
func (h *harness) startingAgent() (*agent, exec.Call) {
	a := h.startAgent(firstAgentConn)
	Expect(a.LeaderConnected(epoch)).To(BeTrue())
	a.LeaseRequest(h.now)
	a.poll(port.PollResult{})
	a.exchange()
	h.submit(job(1, smallStep))
	a.exchange()
	calls := a.Calls()
	Expect(calls).To(HaveLen(1))
	Expect(calls[0].Start).NotTo(BeNil())
	return a, calls[0]
}

// startCalls returns the calls of the agent that start a run.
func (a *agent) startCalls() []exec.Call {
	var calls []exec.Call
	for _, c := range a.Calls() {
		if c.Start != nil {
			calls = append(calls, c)
		}
	}
	return calls
}

var _ = Describe("An order to start a run that is on its way while the run is given up", func() {
	// The first order's call is refused after the agent has listed the run on its next
	// connection, so that the leader gives the order again.
	It("does not start the run beside the next one, after a refusal", func() {
		h := newHarness()
		a, c := h.startingAgent()
		h.join(1)
		a.LeaderDisconnected()
		h.leader.Disconnected(h.now, a.conn)
		a.conn += 5
		Expect(a.LeaderConnected(epoch)).To(BeTrue())
		a.poll(port.PollResult{})
		for _, m := range a.Messages() {
			h.leader.Handle(h.now, a.conn, m)
		}
		a.Started(h.now, c, port.ErrWorkerUnhealthy)
		h.advance(40 * time.Millisecond)
		again := a.startsElsewhere() // also delivers the repeated order to the agent
		Expect(again).NotTo(BeEmpty(), "the leader knows of the refusal")
		Expect(a.startCalls()).To(BeEmpty(), "the worker would carry it out, and the next run has started")
	})

	// The worker is unhealthy: it refuses polls, but sends heartbeats.
	It("does not start the run beside the next one, after the worker was silent until its lease ended", func() {
		h := newHarness()
		a := h.startAgent(firstAgentConn)
		Expect(a.LeaderConnected(epoch)).To(BeTrue())
		a.LeaseRequest(h.now)
		a.poll(port.PollResult{})
		a.exchange()
		h.join(1)
		fail := func() {
			p, ok := a.Poll(h.now, false)
			Expect(ok).To(BeTrue())
			a.Polled(h.now, p, port.PollResult{}, port.ErrWorkerUnhealthy)
		}
		placed := false
		for began := h.now; a.VM().ID != ""; {
			Expect(h.now.Sub(began)).To(BeNumerically("<", 10*time.Second))
			a.LeaseRequest(h.now)
			a.exchange()
			if !placed && h.now.Sub(began) > 4*time.Second {
				placed = true
				// VM 1 is out of touch while the task is placed; the order is held for the store.
				h.submit(job(1, smallStep))
				h.now = h.now.Add(20 * time.Millisecond)
				Expect(h.nextBatch()).To(BeTrue())
			}
			fail()
		}
		Expect(placed).To(BeTrue())
		for _, m := range a.Messages() {
			h.leader.Handle(h.now, a.conn, m)
		}
		a.Heartbeat(h.now, port.Heartbeat{VM: vmInfo(0), Clock: time.Hour + h.now.Sub(time.Unix(1000, 0))})
		h.confirmBatch()
		for _, m := range h.out {
			Expect(m.Conn == a.conn && m.Message.Orders != nil).To(BeFalse(), "the run was given up while its order was held")
		}
		h.out = nil
		Expect(a.startsElsewhere()).NotTo(BeEmpty(), "the leader has given the run up with the worker")
		Expect(a.startCalls()).To(BeEmpty())
	})

	It("does not start the run beside the next one, if its order arrives after the agent has listed the runs again", func() {
		h := newHarness()
		a := h.startAgent(firstAgentConn)
		Expect(a.LeaderConnected(epoch)).To(BeTrue())
		a.LeaseRequest(h.now)
		a.poll(port.PollResult{})
		a.exchange()
		var late *msgs.Orders
		for began := h.now; a.VM().ID != ""; {
			Expect(h.now.Sub(began)).To(BeNumerically("<", 10*time.Second))
			a.LeaseRequest(h.now)
			if late == nil && h.now.Sub(began) > 4*time.Second {
				h.submit(job(1, smallStep))
				h.advance(40 * time.Millisecond)
				orders := h.orders()
				Expect(orders).To(HaveLen(1))
				late = &orders[0]
				h.out = nil
			}
			a.exchange()
			p, ok := a.Poll(h.now, false)
			Expect(ok).To(BeTrue())
			a.Polled(h.now, p, port.PollResult{}, port.ErrWorkerUnhealthy)
		}
		Expect(late).NotTo(BeNil())
		Expect(a.startCalls()).To(BeEmpty())
		a.Heartbeat(h.now, port.Heartbeat{VM: vmInfo(0), Clock: time.Hour + h.now.Sub(time.Unix(1000, 0))})
		for range 2 {
			a.poll(port.PollResult{})
		}
		Expect(a.State().Synced).To(BeTrue())
		a.Orders(h.now, late)
		Expect(a.startCalls()).To(BeEmpty(), "the worker would start it")
		a.exchange()
		Expect(a.startCalls()).To(ConsistOf(HaveField("Start.Run", uint32(2))), "the leader has given the run up with the worker")
	})

	// The agent's next process has sent fewer requests, so its numbers are lower.
	It("does not start the run beside the next one, if it follows a list of the agent's earlier process", func() {
		h := newHarness()
		first := h.startAgent(firstAgentConn)
		Expect(first.LeaderConnected(epoch)).To(BeTrue())
		for range 30 {
			first.LeaseRequest(h.now)
			h.advance(time.Second)
		}
		first.poll(port.PollResult{})
		first.exchange()

		a := h.startAgent(firstAgentConn + 5)
		Expect(a.LeaderConnected(epoch)).To(BeTrue())
		a.poll(port.PollResult{})
		a.Messages() // lost with the connection
		a.LeaderDisconnected()
		a.conn++
		Expect(a.LeaderConnected(epoch)).To(BeTrue())
		a.LeaseRequest(h.now)
		for _, m := range a.Messages() {
			h.leader.Handle(h.now, a.conn, m)
		}
		h.submit(job(1, smallStep))
		h.advance(40 * time.Millisecond)
		late := h.orders()
		for began := h.now; a.VM().ID != ""; {
			Expect(h.now.Sub(began)).To(BeNumerically("<", 10*time.Second))
			a.LeaseRequest(h.now)
			a.exchange()
			p, ok := a.Poll(h.now, false)
			Expect(ok).To(BeTrue())
			a.Polled(h.now, p, port.PollResult{}, port.ErrWorkerUnhealthy)
		}
		Expect(a.startCalls()).To(BeEmpty())
		a.Heartbeat(h.now, port.Heartbeat{VM: vmInfo(0), Clock: time.Hour + h.now.Sub(time.Unix(1000, 0))})
		for range 2 {
			a.poll(port.PollResult{})
		}
		Expect(a.State().Synced).To(BeTrue())
		for i := range late {
			a.Orders(h.now, &late[i])
		}
		starts := a.startCalls()
		a.exchange()
		starts = append(starts, a.startCalls()...)
		Expect(starts).To(HaveLen(1), "the worker would carry out each of them")
	})
})
