package exec_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/exec"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

// A call that waits may leave so late that the next process of the worker carries it out, which has
// seen no fencing token yet.
var _ = Describe("A repeated start that is about to leave the agent", func() {
	var h *harness
	var repeated exec.Call
	running := port.PollResult{Running: []msgs.RunStatus{{Task: task, Run: 1, Percent: 10}}}
	done := port.PollResult{Ended: []msgs.RunEnd{{Number: 1, Task: task, Run: 1, Outcome: msgs.Done}}}
	BeforeEach(func() {
		h = newHarness()
		h.agent.Started(h.now, h.order(), errNoResponse)
		repeated = h.call()
		Expect(repeated).To(And(HaveField("Start", Not(BeNil())), HaveField("After", BeNumerically(">", 0))))
	})

	It("leaves while its run is neither confirmed nor over", func() {
		h.poll(port.PollResult{})
		Expect(h.agent.Sends(h.now, repeated)).To(BeTrue())
	})

	It("stays after the end of its run, also once that end is stored", func() {
		h.poll(done)
		Expect(h.agent.Sends(h.now, repeated)).To(BeFalse())
		h.agent.EndsStored(&msgs.EndsStored{VM: "vm-1", Incarnation: h.incarnation, Number: 1})
		Expect(h.agent.Sends(h.now, repeated)).To(BeFalse())
	})

	It("stays after an order to stop its run, and the stop leaves", func() {
		stop := h.stop()
		Expect(h.agent.Sends(h.now, repeated)).To(BeFalse())
		Expect(h.agent.Sends(h.now, stop)).To(BeTrue())
	})

	It("stays once another process of the worker has answered, also if the run is ordered again there", func() {
		h.incarnation += 100
		h.poll(port.PollResult{})
		Expect(h.agent.Sends(h.now, repeated)).To(BeFalse())
		h.heartbeat("vm-1", h.incarnation)
		h.grant()
		h.poll(port.PollResult{})
		again := h.order()
		Expect(h.agent.Sends(h.now, repeated)).To(BeFalse())
		Expect(h.agent.Sends(h.now, again)).To(BeTrue())
	})

	It("stays once no worker is known", func() {
		h.fail(port.ErrNoWorker)
		h.now = h.now.Add(time.Second)
		h.fail(port.ErrNoWorker)
		Expect(h.agent.VM().ID).To(BeEmpty())
		Expect(h.agent.Sends(h.now, repeated)).To(BeFalse())
	})

	It("stays once the worker lists its run, whose speed is then limited as ordered", func() {
		h.agent.Orders(h.now, &msgs.Orders{Epoch: epoch, VM: "vm-1", Incarnation: h.incarnation, Throttles: []msgs.Throttle{{Task: task, Run: 1, Percent: 30}}})
		h.poll(running)
		Expect(h.agent.Calls()).To(BeEmpty())
		Expect(h.agent.Sends(h.now, repeated)).To(BeFalse())
		c := h.call()
		Expect(c).To(And(HaveField("Throttle", Not(BeNil())), HaveField("Percent", 30)))
	})

	It("leaves no stop for another process of the worker", func() {
		stop := h.stop()
		h.incarnation += 100
		h.poll(port.PollResult{})
		Expect(h.agent.Sends(h.now, stop)).To(BeFalse())
	})
})
