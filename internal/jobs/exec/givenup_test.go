package exec_test

import (
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

var _ = Describe("An agent and a run that it has reported as lost, or cannot know to be", func() {
	var h *harness
	BeforeEach(func() { h = newHarness() })
	again := func() {
		h.agent.Orders(h.now, &msgs.Orders{Epoch: epoch, VM: "vm-1", Incarnation: h.incarnation, Starts: []msgs.Start{
			{Task: task, Run: 1, Percent: 100, Repeated: true},
		}})
	}

	It("does not start a run after it has reported it as lost on the same connection", func() {
		h.agent.Started(h.now, h.order(), port.ErrRunCapacity)
		Expect(h.ends()).To(ConsistOf(HaveField("Outcome", msgs.Lost)))
		again()
		for _, c := range h.agent.Calls() {
			Expect(c.Start).To(BeNil())
		}
	})

	It("does not count a run again that it has reported as lost, when a stop arrives late", func() {
		h.agent.Started(h.now, h.order(), port.ErrRunCapacity)
		Expect(h.ends()).To(ConsistOf(HaveField("Outcome", msgs.Lost)))
		h.agent.Orders(h.now, &msgs.Orders{Epoch: epoch, VM: "vm-1", Incarnation: h.incarnation, Stops: []msgs.Stop{{Task: task, Run: 1}}})
		Expect(h.agent.Calls()).To(BeEmpty())
		h.now = h.now.Add(time.Second)
		h.agent.LeaseRequest(h.now)
		Expect(h.agent.Messages()).To(ConsistOf(HaveField("LeaseRequest.Runs", BeEmpty())))
	})

	It("does not start a run that it has reported as lost for want of a lease", func() {
		h.now = h.now.Add(2 * lease)
		h.agent.Orders(h.now, &msgs.Orders{Epoch: epoch, VM: "vm-1", Incarnation: h.incarnation, Starts: []msgs.Start{{Task: task, Run: 1, Percent: 100}}})
		Expect(h.ends()).To(ConsistOf(HaveField("Outcome", msgs.Lost)))
		h.grant()
		again()
		for _, c := range h.agent.Calls() {
			Expect(c.Start).To(BeNil())
		}
	})

	It("does not take a run for lost because its row in the list cannot be decoded", func() {
		c := h.order()
		for c.Start != nil {
			h.agent.Started(h.now, c, errNoResponse)
			c = h.call()
		}
		h.agent.Stopped(h.now, c, nil)
		h.now = h.now.Add(time.Millisecond)
		p, _ := h.agent.Poll(h.now, false)
		h.now = h.now.Add(time.Millisecond)
		h.agent.Polled(h.now, p, port.PollResult{Incarnation: h.incarnation, Clock: h.now.Sub(time.Unix(0, 0))}, errors.New("running row: field 4"))
		Expect(h.ends()).To(BeEmpty())
	})

	// The leader gave the order before it knew that the worker had been taken for gone.
	It("starts nothing until the leader knows the present runs", func() {
		h.agent.LeaderDisconnected()
		Expect(h.agent.LeaderConnected(epoch)).To(BeTrue())
		h.grant()
		h.agent.Calls()
		h.agent.Orders(h.now, &msgs.Orders{Epoch: epoch, VM: "vm-1", Incarnation: h.incarnation, Starts: []msgs.Start{{Task: "other", Run: 1, Percent: 100}}})
		Expect(h.agent.Calls()).To(BeEmpty())
	})
})
