package exec_test

import (
	"log/slog"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/exec"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

// restart replaces the agent's process by a new one, which knows of the worker and is connected
// to the leader.
func (h *harness) restart() {
	h.agent = exec.New("node-1", slog.New(slog.DiscardHandler))
	h.heartbeat("vm-1", h.incarnation)
	Expect(h.agent.LeaderConnected(epoch)).To(BeTrue())
}

var _ = Describe("A restarted agent", func() {
	var h *harness
	BeforeEach(func() { h = newHarness() })

	// The worker's runs go on under the lease of the earlier process, so a leader that is told
	// that the worker is gone would start their tasks a second time.
	DescribeTable("does not report a worker as gone while a lease of the earlier process may go on", func(err error) {
		h.poll(port.PollResult{Running: []msgs.RunStatus{{Task: task, Run: 1, Percent: 10}}})
		h.restart()
		for range 30 {
			h.now = h.now.Add(msgs.LeaseDuration / 30)
			p, ok := h.agent.Poll(h.now, false)
			Expect(ok).To(BeTrue())
			h.agent.Polled(h.now, p, port.PollResult{}, err)
			for _, m := range h.agent.Messages() {
				Expect(m.LeaseRequest.VM.Down).To(BeFalse())
			}
		}
		h.now = h.now.Add(time.Second)
		p, _ := h.agent.Poll(h.now, false)
		h.agent.Polled(h.now, p, port.PollResult{}, err)
		Expect(h.agent.VM().ID).To(BeEmpty())
	},
		Entry("no response", errNoResponse),
		Entry("unhealthy worker", port.ErrWorkerUnhealthy),
	)

	It("exceeds the fencing token that its earlier process derived from a false heartbeat", func() {
		h.agent = exec.New("node-1", slog.New(slog.DiscardHandler))
		h.heartbeat("vm-1", h.incarnation+(24*time.Hour).Milliseconds())
		Expect(h.agent.LeaderConnected(epoch)).To(BeTrue())
		fence := h.poll(port.PollResult{}).FencingToken
		h.restart()
		polls := 0
		for ; polls < 30; polls++ {
			p, _ := h.agent.Poll(h.now, false)
			if p.FencingToken >= fence {
				break
			}
			h.agent.Polled(h.now, p, port.PollResult{}, port.ErrRunFenced)
		}
		Expect(polls).To(BeNumerically("<", 25))
		Expect(h.agent.LeaderConnected(epoch + 1)).To(BeTrue())
		Expect(h.poll(port.PollResult{}).FencingToken >> 31).To(Equal(uint64(epoch + 1)))
	})

	// The earlier process's start got no response and may still be carried out.
	It("reports a run that it does not know as lost once the worker has confirmed its stop", func() {
		h.restart()
		h.grant()
		h.poll(port.PollResult{})
		c := h.stop()
		h.agent.Stopped(h.now, c, errNoResponse)
		h.poll(port.PollResult{})
		Expect(h.ends()).To(BeEmpty())
		h.agent.Stopped(h.now, h.call(), nil)
		h.poll(port.PollResult{})
		Expect(h.ends()).To(ConsistOf(And(HaveField("Task", task), HaveField("Outcome", msgs.Lost))))
	})

	// startAgain makes the leader order the start of the run that the earlier process had been
	// ordered to start.
	startAgain := func() exec.Call {
		h.agent.Orders(h.now, &msgs.Orders{Epoch: epoch, VM: "vm-1", Incarnation: h.incarnation, Starts: []msgs.Start{
			{Task: task, Run: 1, Percent: 100, Repeated: true},
		}})
		return h.call()
	}

	DescribeTable("does not report a run as lost that it cannot start, until the worker has confirmed a stop", func(prepare func(), err error) {
		h.restart()
		h.grant()
		h.poll(port.PollResult{})
		prepare()
		c := startAgain()
		if err != nil {
			h.agent.Started(h.now, c, err)
			c = h.call()
		}
		Expect(c.Stop).NotTo(BeNil())
		h.poll(port.PollResult{})
		Expect(h.ends()).To(BeEmpty(), "the earlier process's start may still be carried out")
		h.agent.Stopped(h.now, c, nil)
		h.poll(port.PollResult{})
		Expect(h.ends()).To(ConsistOf(HaveField("Outcome", msgs.Lost)))
	},
		Entry("unhealthy worker", func() {}, port.ErrWorkerUnhealthy),
		Entry("no free capacity", func() {}, port.ErrRunCapacity),
		Entry("lease ended", func() { h.now = h.now.Add(2 * lease) }, nil),
		Entry("draining", func() {
			h.agent.Heartbeat(h.now, port.Heartbeat{VM: msgs.VM{ID: "vm-1", Incarnation: h.incarnation, Service: "registry", Draining: true}})
		}, nil),
	)
})

var _ = Describe("A worker that starts again under its id after the time of day was set back", func() {
	const back = 300
	var h *harness
	BeforeEach(func() {
		h = newHarness()
		h.agent.Started(h.now, h.order(), nil)
		h.agent.Messages()
	})

	It("is known by its answer to a poll, and as a later incarnation", func() {
		token := h.poll(port.PollResult{}).FencingToken
		before := h.agent.VM().Incarnation
		early, _ := h.agent.Poll(h.now, false)
		h.incarnation -= back
		h.poll(port.PollResult{})
		Expect(h.agent.State()).To(And(HaveField("VM.Incarnation", BeNumerically(">", before)), HaveField("Runs", 0)))
		Expect(h.poll(port.PollResult{}).FencingToken).To(BeNumerically(">", token))
		Expect(h.vms()).To(ContainElement(HaveField("Incarnation", BeNumerically(">", before))))

		after := h.agent.VM().Incarnation
		h.agent.Polled(h.now, early, port.PollResult{Incarnation: h.incarnation + back, Clock: time.Hour}, nil)
		h.heartbeat("vm-1", h.incarnation+back)
		h.heartbeat("vm-1", h.incarnation)
		h.poll(port.PollResult{})
		Expect(h.agent.VM().Incarnation).To(Equal(after), "what the earlier process said is late")
		h.agent.Leave(h.now, "vm-1", h.incarnation)
		Expect(h.agent.VM()).To(And(HaveField("Incarnation", after), HaveField("Draining", true)))
	})

	// The worker itself only knows its own start time.
	It("is sent orders for the process that it is", func() {
		h.incarnation -= back
		h.poll(port.PollResult{})
		h.grant()
		h.poll(port.PollResult{})
		o := &msgs.Orders{Epoch: epoch, VM: "vm-1", Incarnation: h.agent.VM().Incarnation, Starts: []msgs.Start{{Task: task, Run: 2, Percent: 100}}}
		h.agent.Orders(h.now, o)
		Expect(h.call().Start.Incarnation).To(Equal(h.incarnation))
	})

	It("takes another later incarnation each time", func() {
		last := h.agent.VM().Incarnation
		for _, d := range []int64{-back, 10, -20, 5 * back} {
			h.incarnation += d
			h.heartbeat("vm-1", h.incarnation)
			h.poll(port.PollResult{})
			h.heartbeat("vm-1", h.incarnation)
			Expect(h.agent.VM().Incarnation).To(BeNumerically(">", last))
			last = h.agent.VM().Incarnation
		}
	})
})
