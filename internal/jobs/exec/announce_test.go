package exec_test

import (
	"bytes"
	"log/slog"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/exec"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

// vms returns the VMs that the agent has described to the leader.
func (h *harness) vms() []msgs.VM {
	var list []msgs.VM
	for _, m := range h.agent.Messages() {
		if m.LeaseRequest != nil && m.LeaseRequest.VM.ID != "" {
			list = append(list, m.LeaseRequest.VM)
		}
	}
	return list
}

// fail makes a poll of the worker fail.
func (h *harness) fail(err error) {
	h.now = h.now.Add(time.Millisecond)
	p, ok := h.agent.Poll(h.now, false)
	Expect(ok).To(BeTrue())
	h.agent.Polled(h.now, p, port.PollResult{}, err)
}

var _ = Describe("An agent that receives a heartbeat of another worker", func() {
	var h *harness
	running := port.PollResult{Running: []msgs.RunStatus{{Task: task, Run: 1, Percent: 10}}}
	BeforeEach(func() {
		h = newHarness()
		h.agent.Started(h.now, h.order(), nil)
		h.poll(running)
		h.agent.Messages()
	})

	It("ignores it if the known worker started later", func() {
		h.heartbeat("vm-1", h.incarnation-100)
		h.heartbeat("vm-2", h.incarnation-100)
		Expect(h.agent.VM()).To(And(HaveField("ID", "vm-1"), HaveField("Incarnation", h.incarnation)))
		Expect(h.vms()).To(BeEmpty())
	})

	DescribeTable("keeps the known worker and its runs while that one answers", func(id string, later int64) {
		for range 5 {
			h.heartbeat(id, h.incarnation+later)
			Expect(h.vms()).To(BeEmpty())
			h.poll(running)
		}
		Expect(h.agent.State()).To(And(HaveField("VM.ID", "vm-1"), HaveField("VM.Incarnation", h.incarnation), HaveField("Runs", 1)))
		h.grant()
		Expect(h.poll(running).Deadline).NotTo(BeZero(), "its lease is extended")
		Expect(h.vms()).NotTo(ContainElement(HaveField("Down", true)))
	},
		Entry("another id", "vm-2", int64(100)),
		Entry("a later start", "vm-1", int64(100)),
		Entry("a start far in the future", "vm-1", int64(1)<<60),
	)

	It("reports the known worker as gone once another one answers in its place", func() {
		h.heartbeat("vm-2", h.incarnation+100)
		h.fail(port.ErrWorkerReplaced)
		Expect(h.vms()).To(ConsistOf(And(HaveField("ID", "vm-1"), HaveField("Down", true))))
		Expect(h.agent.VM()).To(And(HaveField("ID", "vm-2"), HaveField("Incarnation", h.incarnation+100)))
		h.incarnation += 100
		h.poll(port.PollResult{})
		Expect(h.vms()).To(ConsistOf(And(HaveField("ID", "vm-2"), HaveField("Down", false))))
	})

	It("reports the known worker as gone once nothing listens", func() {
		h.heartbeat("vm-2", h.incarnation+100)
		h.fail(port.ErrNoWorker)
		Expect(h.vms()).To(BeEmpty())
		h.now = h.now.Add(time.Second)
		h.fail(port.ErrNoWorker)
		Expect(h.vms()).To(ConsistOf(And(HaveField("ID", "vm-1"), HaveField("Down", true))))
	})

	It("adopts a later incarnation once it answers, though a poll from before shows the earlier one", func() {
		early, _ := h.agent.Poll(h.now, true)
		h.now = h.now.Add(time.Millisecond)
		h.heartbeat("vm-1", h.incarnation+100)
		h.respond(early, running)
		Expect(h.agent.VM().Incarnation).To(Equal(h.incarnation))
		h.incarnation += 100
		h.poll(port.PollResult{})
		Expect(h.agent.State()).To(And(HaveField("VM.Incarnation", h.incarnation), HaveField("Runs", 0)))
	})

	It("logs it once as long as its sender is the same", func() {
		var out bytes.Buffer
		a := exec.New("node-1", slog.New(slog.NewTextHandler(&out, nil)))
		h.agent = a
		h.heartbeat("vm-1", h.incarnation)
		a.LeaderConnected(epoch)
		h.poll(port.PollResult{})
		for range 100 {
			h.heartbeat("vm-2", h.incarnation+100)
		}
		Expect(strings.Count(out.String(), "vm-2")).To(Equal(1))
	})
})

var _ = Describe("An agent whose worker has answered no poll yet", func() {
	var h *harness
	BeforeEach(func() {
		h = &harness{agent: exec.New("node-1", slog.New(slog.DiscardHandler)), now: time.Unix(1000, 0), incarnation: 500}
		Expect(h.agent.LeaderConnected(epoch)).To(BeTrue())
	})

	It("tells the leader nothing of a worker that only a heartbeat names", func() {
		h.heartbeat("vm-9", h.incarnation+100)
		h.now = h.now.Add(time.Second)
		h.agent.LeaseRequest(h.now)
		h.fail(port.ErrWorkerReplaced)
		h.heartbeat("vm-1", h.incarnation)
		h.poll(port.PollResult{})
		Expect(h.vms()).To(HaveEach(HaveField("ID", "vm-1")))
	})

	It("takes the start time from the worker's answer, and never lowers its fencing token", func() {
		started := h.incarnation
		h.heartbeat("vm-1", started+100_000)
		before := h.poll(port.PollResult{}).FencingToken
		Expect(h.agent.VM().Incarnation).To(Equal(started))
		h.heartbeat("vm-1", started)
		Expect(h.vms()).To(HaveEach(HaveField("Incarnation", started)))
		Expect(h.poll(port.PollResult{}).FencingToken).To(Equal(before))
		h.incarnation += 1000
		h.poll(port.PollResult{})
		Expect(h.poll(port.PollResult{}).FencingToken).To(BeNumerically(">", before))
	})

	It("asks for the worker that the latest heartbeat names, since no answer may ever come for an earlier one", func() {
		h.heartbeat("vm-9", h.incarnation+100)
		h.fail(errNoResponse)
		h.heartbeat("vm-1", h.incarnation)
		h.poll(port.PollResult{})
		Expect(h.vms()).To(ConsistOf(HaveField("ID", "vm-1")))
	})

	It("takes the worker's clock from its answer", func() {
		h.agent.Heartbeat(h.now, port.Heartbeat{VM: msgs.VM{ID: "vm-1", Incarnation: h.incarnation}, Clock: 1 << 62})
		h.grant()
		h.poll(port.PollResult{})
		Expect(h.poll(port.PollResult{}).Deadline).To(BeNumerically("<", h.now.Add(2*lease).Sub(time.Unix(0, 0))))
	})

	It("does not report a silent worker as gone, since that one may hold an earlier lease", func() {
		h.heartbeat("vm-1", h.incarnation)
		h.fail(errNoResponse)
		h.now = h.now.Add(lease)
		h.fail(errNoResponse)
		Expect(h.vms()).To(BeEmpty())
	})

	It("reports a worker that falls silent after its first answer as gone only after the longest earlier lease", func() {
		h.heartbeat("vm-1", h.incarnation)
		h.poll(port.PollResult{})
		h.fail(errNoResponse)
		Expect(h.agent.VM().ID).To(Equal("vm-1"))
		h.grant()
		h.fail(errNoResponse)
		Expect(h.agent.VM().ID).To(Equal("vm-1"))
		h.now = h.now.Add(lease + lease/10)
		h.fail(errNoResponse)
		Expect(h.agent.VM().ID).To(BeEmpty())
	})
})
