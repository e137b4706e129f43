package lead_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/lead"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

var _ = Describe("A worker's lease", func() {
	// The agent restarts, is granted leases while it knows of no worker that answers, and is cut
	// off as soon as it has polled the worker.
	It("does not go on after the leader has started its tasks elsewhere", func() {
		h := newHarness()
		first, c := h.startingAgent()
		first.Started(h.now, c, nil)
		first.LeaseRequest(h.now)
		first.exchange()
		h.leader.Disconnected(h.now, first.conn)
		h.advance(time.Second)

		second := h.startAgent(firstAgentConn + 5)
		Expect(second.LeaderConnected(epoch)).To(BeTrue())
		second.LeaseRequest(h.now)
		second.exchange()
		h.now = h.now.Add(2 * time.Millisecond)
		second.poll(port.PollResult{Running: []msgs.RunStatus{{Task: c.Start.Task, Run: 1, Percent: 10}}})
		p, ok := second.Poll(h.now, false)
		Expect(ok).To(BeTrue())
		leaseEnd := time.Unix(1000, 0).Add(max(p.Deadline, c.Start.Deadline) - time.Hour)
		second.Messages() // the agent is cut off: they are lost

		var elsewhere []msgs.Start
		for began := h.now; len(elsewhere) == 0; {
			Expect(h.now.Sub(began)).To(BeNumerically("<", 20*time.Second))
			h.requestLease(1, true)
			h.advance(100 * time.Millisecond)
			elsewhere = h.starts()
		}
		Expect(h.now).To(BeTemporally(">", leaseEnd))
	})

	// The agent restarts before it has polled the worker, and follows the earlier leader again, which
	// grants leases until it misses the store.
	It("may still be extended by an earlier leader until the agent has listed the runs for the present one", func() {
		h := newHarness()
		h.join(0)
		h.submit(job(1, smallStep))
		h.advance(100 * time.Millisecond)
		h.lead(epoch + 1)
		began := h.now
		h.requestLease(0, false)
		earlierLeaderEnd := began.Add(lead.StoreTimeout + lead.LeaseDuration)
		for len(h.starts()) == 0 {
			Expect(h.now.Sub(began)).To(BeNumerically("<", 20*time.Second))
			h.join(1)
			h.advance(100 * time.Millisecond)
		}
		Expect(h.now).To(BeTemporally(">", earlierLeaderEnd))
	})

	It("precedes the orders to start runs that are missing", func() {
		h := newHarness()
		_, c := h.startingAgent()
		second := h.startAgent(firstAgentConn + 5)
		Expect(second.LeaderConnected(epoch)).To(BeTrue())
		second.LeaseRequest(h.now)
		second.exchange()
		second.poll(port.PollResult{})
		second.exchange()
		Expect(second.Calls()).To(ConsistOf(HaveField("Start.Task", c.Start.Task)))
	})

	It("is not granted to an agent that names no worker", func() {
		h := newHarness()
		h.leader.Handle(h.now, firstAgentConn, &msgs.Message{LeaseRequest: &msgs.LeaseRequest{Seq: 1}})
		h.out = h.leader.TakeOutbound()
		Expect(h.leases()).To(HaveExactElements(HaveField("ValidFor", BeZero())))
	})
})
