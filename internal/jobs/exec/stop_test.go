package exec_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/exec"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

// stop makes the leader order a stop of the run and returns the call that results.
func (h *harness) stop() exec.Call {
	h.agent.Orders(h.now, &msgs.Orders{Epoch: h.agent.Epoch(), VM: "vm-1", Incarnation: h.incarnation, Stops: []msgs.Stop{{Task: task, Run: 1}}})
	return h.call()
}

// changeLeader connects the agent to the leader of the next epoch, whose fencing token the
// worker then knows.
func (h *harness) changeLeader(res port.PollResult) {
	h.agent.LeaderDisconnected()
	Expect(h.agent.LeaderConnected(h.agent.Epoch() + 1)).To(BeTrue())
	h.grant()
	h.poll(res)
	h.agent.Messages()
}

var _ = Describe("The stop of a run", func() {
	running := port.PollResult{Running: []msgs.RunStatus{{Task: task, Run: 1, Percent: 10}}}
	var h *harness
	BeforeEach(func() { h = newHarness() })

	// The order of the later leader finds the run marked as stopping, so it causes no call.
	It("is repeated with a later leader's fencing token if the worker refused an earlier one", func() {
		h.agent.Started(h.now, h.order(), nil)
		c := h.stop()
		h.changeLeader(running)
		h.agent.Stopped(h.now, c, port.ErrRunFenced)
		again := h.call()
		Expect(again.Stop).NotTo(BeNil())
		Expect(again.Stop.FencingToken).To(BeNumerically(">", c.Stop.FencingToken))
	})

	It("is repeated less often the longer the worker refuses it, but goes on", func() {
		h.agent.Started(h.now, h.order(), nil)
		c := h.stop()
		var delays []time.Duration
		for range 6 {
			h.agent.Stopped(h.now, c, port.ErrWorkerUnhealthy)
			c = h.call()
			delays = append(delays, c.After)
		}
		Expect(delays).To(HaveExactElements(
			30*time.Millisecond, 60*time.Millisecond, 120*time.Millisecond, 240*time.Millisecond, 240*time.Millisecond, 240*time.Millisecond))
	})

	It("ends with the report of a run whose starts got no response although the leader changed meanwhile", func() {
		c := h.order()
		for c.Start != nil {
			h.agent.Started(h.now, c, errNoResponse)
			c = h.call()
		}
		h.changeLeader(port.PollResult{})
		h.agent.Stopped(h.now, c, port.ErrRunFenced)
		h.agent.Stopped(h.now, h.call(), nil)
		h.poll(port.PollResult{})
		Expect(h.ends()).To(ConsistOf(HaveField("Outcome", msgs.Lost)))
	})

	// The first start was carried out, but its response and the first poll's were lost.
	It("is not taken for a loss if the worker refused a later start for its fencing token", func() {
		h.agent.Started(h.now, h.order(), errNoResponse)
		c := h.call()
		h.stop()
		h.agent.LeaderDisconnected()
		Expect(h.agent.LeaderConnected(h.agent.Epoch() + 1)).To(BeTrue())
		h.agent.Started(h.now, c, port.ErrRunFenced)
		h.poll(running)
		Expect(h.ends()).To(BeEmpty())
	})
})
