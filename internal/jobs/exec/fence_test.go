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

// The worker may start again under its id and carry out an order without response that was meant
// for its earlier process.
var _ = Describe("The first poll that reaches the next process of a worker", func() {
	var h *harness
	var late uint64
	// order makes the leader order a start that gets no response.
	order := func() {
		c := h.order()
		late = c.Start.FencingToken
		h.agent.Started(h.now, c, errNoResponse)
		for _, c := range h.agent.Calls() {
			late = max(late, c.Start.FencingToken)
		}
	}
	BeforeEach(func() {
		h = newHarness()
		order()
	})

	It("makes it refuse earlier orders after a failed poll", func() {
		h.fail(port.ErrNewConnection)
		p, ok := h.agent.Poll(h.now, false)
		Expect(ok).To(BeTrue())
		Expect(p.FencingToken).To(BeNumerically(">", late))
	})

	It("makes it refuse earlier orders before its first heartbeat, once the worker was gone", func() {
		h.fail(port.ErrNoWorker)
		h.now = h.now.Add(time.Second)
		h.fail(port.ErrNoWorker)
		Expect(h.agent.VM().ID).To(BeEmpty())
		for range 10 {
			p, ok := h.agent.Poll(h.now, true)
			Expect(ok).To(BeTrue())
			// Only a process under the same id accepts the earlier orders.
			Expect(p).To(And(HaveField("Worker", "vm-1"), HaveField("FencingToken", BeNumerically(">", late)), HaveField("Seen", BeZero()), HaveField("Deadline", BeZero())))
			h.agent.Polled(h.now, p, port.PollResult{}, port.ErrNoWorker)
			h.now = h.now.Add(time.Second)
		}
	})

	It("never has a lower fencing token than the polls before the first heartbeat", func() {
		h.fail(port.ErrNoWorker)
		h.now = h.now.Add(time.Second)
		h.fail(port.ErrNoWorker)
		p, _ := h.agent.Poll(h.now, false)
		h.agent.Polled(h.now, p, port.PollResult{Incarnation: h.incarnation + 100, Clock: time.Second}, nil)
		h.heartbeat("vm-1", h.incarnation+100)
		Expect(h.poll(port.PollResult{}).FencingToken).To(BeNumerically(">=", p.FencingToken))
	})

	It("makes it refuse orders of the agent's earlier process", func() {
		h.agent = exec.New("node-1", slog.New(slog.DiscardHandler))
		Expect(h.agent.LeaderConnected(epoch)).To(BeTrue())
		h.now = h.now.Add(time.Second)
		p, ok := h.agent.Poll(h.now, false)
		Expect(ok).To(BeTrue())
		Expect(p).To(And(HaveField("Worker", ""), HaveField("FencingToken", BeNumerically(">", late))))
	})

	It("is not sought for ever", func() {
		h.fail(port.ErrNoWorker)
		h.now = h.now.Add(time.Second)
		h.fail(port.ErrNoWorker)
		h.now = h.now.Add(time.Minute)
		_, ok := h.agent.Poll(h.now, false)
		Expect(ok).To(BeFalse())
		Expect(h.agent.Messages()).NotTo(ContainElement(HaveField("LeaseRequest", And(Not(BeNil()), HaveField("VM", And(HaveField("ID", ""), HaveField("Down", true)))))))
	})

	It("still tells the leader nothing of a worker without a heartbeat", func() {
		a := exec.New("node-1", slog.New(slog.DiscardHandler))
		Expect(a.LeaderConnected(epoch)).To(BeTrue())
		p, _ := a.Poll(h.now, false)
		a.Polled(h.now, p, port.PollResult{Incarnation: 500, Clock: time.Second, Running: []msgs.RunStatus{{Task: task, Run: 1}}}, nil)
		Expect(a.Messages()).To(BeEmpty())
	})
})

var _ = Describe("A run that the worker started by a late order", func() {
	// The leader started the task's next run until it heard of this one.
	It("is listed to the leader at once", func() {
		h := newHarness()
		h.grant()
		h.agent.Messages()
		h.poll(port.PollResult{})
		Expect(h.agent.Messages()).To(BeEmpty())
		h.poll(port.PollResult{Running: []msgs.RunStatus{{Task: task, Run: 1}}})
		Expect(h.agent.Messages()).To(ConsistOf(HaveField("LeaseRequest.Runs", ConsistOf(HaveField("Task", task)))))
		h.poll(port.PollResult{Running: []msgs.RunStatus{{Task: task, Run: 1}}})
		Expect(h.agent.Messages()).To(BeEmpty())
	})
})
