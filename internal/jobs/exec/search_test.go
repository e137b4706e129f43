package exec_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

// The leader was told nothing of the runs of a worker that was gone and listens again under its id
// until its heartbeat, and started the tasks elsewhere.
var _ = Describe("A worker that was gone and answers before its heartbeat", func() {
	const next = 900
	var h *harness
	listed := port.PollResult{Running: []msgs.RunStatus{{Task: task, Run: 1}}}
	BeforeEach(func() {
		h = newHarness()
		h.fail(port.ErrNoWorker)
		h.now = h.now.Add(time.Second)
		h.fail(port.ErrNoWorker)
		Expect(h.agent.VM().ID).To(BeEmpty())
		h.agent.Messages()
		h.incarnation = next
	})

	It("is known to the leader with the runs that it has started, and without capacity", func() {
		h.poll(listed)
		h.poll(listed)
		vm := And(HaveField("ID", "vm-1"), HaveField("Incarnation", int64(next)), HaveField("Capacity", place.Resources{}), HaveField("Down", false))
		Expect(h.agent.Messages()).To(ContainElement(HaveField("LeaseRequest", And(Not(BeNil()), HaveField("VM", vm), HaveField("Runs", ConsistOf(HaveField("Task", task)))))))
		h.heartbeat("vm-1", next)
		Expect(h.agent.VM().Capacity).NotTo(BeZero())
	})

	It("drains only if it is the process that drained", func() {
		h.poll(port.PollResult{})
		Expect(h.agent.VM()).To(HaveField("Draining", false))
	})

	It("is no other worker, which the agent goes on to ask as whatever worker listens", func() {
		h.fail(port.ErrWorkerReplaced)
		p := h.poll(listed)
		Expect(p.Worker).To(BeEmpty())
		Expect(h.agent.VM().ID).To(BeEmpty())
		Expect(h.agent.Messages()).To(BeEmpty())
	})

	It("is not taken for the one of a heartbeat that came meanwhile", func() {
		p, _ := h.agent.Poll(h.now, false)
		h.heartbeat("vm-2", next+1)
		h.respond(p, listed)
		Expect(h.agent.VM().ID).To(Equal("vm-2"))
		Expect(h.agent.State().Runs).To(BeZero())
	})
})
