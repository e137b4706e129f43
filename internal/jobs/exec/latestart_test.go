package exec_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

// A task started 3.3 s after its job's cancelling was acknowledged: its agent was paused as it sent
// the start, and the order to stop the run arrived meanwhile.
var _ = Describe("A start that a pause of the agent has held up", func() {
	// cancelTime is how long after the acknowledgement of a job's cancelling its tasks may start.
	const cancelTime = 3 * time.Second
	var (
		h           *harness
		requestedAt time.Time
	)
	BeforeEach(func() {
		h = newHarness()
		h.grant()
		requestedAt = h.now
		h.poll(port.PollResult{})
	})

	It("is too late at the worker 3 s after the latest lease request that was granted", func() {
		const slowestClockRate = 0.98
		atPoll, reading := h.now, h.clock()
		deadline := h.order().Start.Deadline
		Expect(deadline).To(And(
			BeNumerically(">", h.clock()+2*time.Second),
			BeNumerically("<", reading+time.Duration(slowestClockRate*float64(requestedAt.Add(cancelTime).Sub(atPoll))))))
	})

	It("is not sent if the order is read 3 s after the latest lease request that was granted", func() {
		h.now = requestedAt.Add(cancelTime)
		h.agent.Orders(h.now, &msgs.Orders{Epoch: epoch, VM: "vm-1", Incarnation: h.incarnation, Starts: []msgs.Start{{Task: task, Run: 1, Percent: 100}}})
		Expect(h.agent.Calls()).To(BeEmpty())
		Expect(h.ends()).To(ConsistOf(And(HaveField("Outcome", msgs.Lost), HaveField("Reason", "the VM has no recent lease"))))
	})

	It("is not repeated then under a later leader, which hears that the run is lost", func() {
		c := h.order()
		h.now = requestedAt.Add(cancelTime)
		h.agent.LeaderDisconnected()
		Expect(h.agent.LeaderConnected(epoch + 1)).To(BeTrue())
		h.agent.Started(h.now, c, port.ErrRunFenced)
		Expect(h.agent.Calls()).To(BeEmpty())
		h.poll(port.PollResult{})
		h.poll(port.PollResult{})
		Expect(h.ends()).To(ConsistOf(HaveField("Outcome", msgs.Lost)))
	})

	It("is not repeated then, but stopped", func() {
		c := h.order()
		h.now = requestedAt.Add(cancelTime)
		h.agent.Started(h.now, c, errNoResponse)
		Expect(h.call().Stop).NotTo(BeNil())
	})
})
