package lead_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

// resize sends a lease request of VM n's agent with a new capacity and the given runs.
func (h *harness) resize(n int, synced bool, capacity place.Resources, runs ...msgs.RunStatus) {
	h.seq++
	info := vmInfo(n)
	info.Capacity = capacity
	h.leader.Handle(h.now, uint64(firstAgentConn+n), &msgs.Message{LeaseRequest: &msgs.LeaseRequest{
		Seq: h.seq, Synced: synced, RunsListed: true, Runs: runs, VM: info,
	}})
}

var _ = Describe("A leader and a VM whose capacity changes", func() {
	const taskA, taskB = "0000000000000001.0.0.0", "0000000000000002.0.0.0"
	large := vmInfo(0).Capacity
	bigStep := model.Step{Tasks: 1, Size: place.Resources{CPU: 9000, Memory: 4000, Accelerators: 1}, Estimate: time.Second}
	full := place.Resources{CPU: 16000, Memory: 64000, Accelerators: 4}
	var h *harness
	BeforeEach(func() { h = newHarness() })

	It("uses what has grown at once", func() {
		h.resize(0, true, place.Resources{CPU: 1000, Memory: 64000})
		h.submit(job(1, smallStep))
		h.advance(100 * time.Millisecond)
		Expect(h.starts()).To(BeEmpty())
		h.resize(0, false, large)
		h.advance(40 * time.Millisecond)
		Expect(h.starts()).To(ConsistOf(HaveField("Task", taskA)))
	})

	DescribeTable("starts nothing that no longer fits, stops nothing, and goes on when it has grown again", func(small place.Resources, newLeader bool) {
		h.resize(0, true, full)
		h.submit(job(1, bigStep))
		h.advance(100 * time.Millisecond)
		Expect(h.starts()).To(ConsistOf(HaveField("Task", taskA)))
		running := msgs.RunStatus{Task: taskA, Run: 1, Percent: 10}
		h.resize(0, false, small, running)
		if newLeader {
			h.lead(epoch + 1)
			h.resize(0, true, small, running)
			h.advance(100 * time.Millisecond)
			Expect(h.starts()).To(ConsistOf(HaveField("Task", taskA)), "the details of the present run")
		}
		h.submit(job(2, bigStep))
		h.advance(400 * time.Millisecond)
		h.resize(0, false, small, running)
		h.advance(400 * time.Millisecond)
		for _, o := range h.orders() {
			Expect(o.Starts).To(BeEmpty())
			Expect(o.Stops).To(BeEmpty())
		}
		double := place.Resources{CPU: 2 * full.CPU, Memory: 2 * full.Memory, Accelerators: full.Accelerators}
		h.resize(0, false, double, running)
		h.advance(100 * time.Millisecond)
		Expect(h.starts()).To(ConsistOf(HaveField("Task", taskB)))
	},
		Entry("processors", place.Resources{CPU: 5000, Memory: 64000, Accelerators: 4}, false),
		Entry("processors, over a change of leader", place.Resources{CPU: 5000, Memory: 64000, Accelerators: 4}, true),
		Entry("memory", place.Resources{CPU: 64000, Memory: 5000, Accelerators: 4}, false),
		Entry("memory, over a change of leader", place.Resources{CPU: 64000, Memory: 5000, Accelerators: 4}, true),
		Entry("accelerators", place.Resources{CPU: 64000, Memory: 64000, Accelerators: 1}, false),
		Entry("accelerators, over a change of leader", place.Resources{CPU: 64000, Memory: 64000, Accelerators: 1}, true),
		Entry("everything", place.Resources{}, false),
		Entry("everything, over a change of leader", place.Resources{}, true),
	)

	It("tells a restarted agent what the runs take that are being stopped", func() {
		h.resize(0, true, full)
		h.submit(job(1, bigStep))
		h.advance(100 * time.Millisecond)
		h.request(msgs.Cancel, nil, "0000000000000001")
		h.advance(100 * time.Millisecond)
		for _, present := range [][]msgs.RunStatus{{{Task: taskA, Run: 1}}, nil} {
			h.stops()
			h.resize(0, true, full, present...)
			h.advance(100 * time.Millisecond)
			Expect(h.stops()).To(ConsistOf(msgs.Stop{Task: taskA, Run: 1, Size: bigStep.Size}))
		}
	})

	// refuse reports that the worker refused all starts of the orders because of its capacity.
	refuse := func(orders []msgs.Orders) {
		for _, o := range orders {
			var n int
			_, err := fmt.Sscanf(o.VM, "vm-%d", &n)
			Expect(err).NotTo(HaveOccurred())
			r := &msgs.Report{VM: o.VM, Incarnation: o.Incarnation}
			for _, s := range o.Starts {
				r.Ends = append(r.Ends, msgs.RunEnd{Task: s.Task, Run: s.Run, Outcome: msgs.Lost, Reason: port.ErrRunCapacity.Error()})
			}
			h.leader.Handle(h.now, uint64(firstAgentConn+n), &msgs.Message{Report: r})
		}
	}

	DescribeTable("starts a task elsewhere that a worker refused because it has shrunk", func(step model.Step) {
		for n := range 3 {
			h.join(n)
		}
		h.submit(job(1, step))
		h.advance(100 * time.Millisecond)
		asked := map[string]bool{}
		for range 3 {
			orders := h.orders()
			Expect(orders).To(HaveLen(1))
			Expect(asked).NotTo(HaveKey(orders[0].VM), "it has just refused")
			asked[orders[0].VM] = true
			refuse(orders)
			h.advance(20 * time.Millisecond)
			Expect(h.orders()).To(BeEmpty(), "the step backs off")
			h.advance(400 * time.Millisecond)
			for n := range 3 {
				h.requestLease(n, false)
			}
		}
		Expect(h.state("0000000000000001")).To(Equal("queued"), "a refusal is no failure, and no start")
	},
		Entry("a task", smallStep),
		Entry("a best-effort task", model.Step{Tasks: 1, Size: smallStep.Size, Estimate: time.Second, BestEffort: true}),
		Entry("a gang", model.Step{Tasks: 1, Size: smallStep.Size, Estimate: time.Second, Gang: true}),
	)

	It("asks a worker again that refused if there is no other", func() {
		h.join(0)
		h.submit(job(1, smallStep))
		h.advance(100 * time.Millisecond)
		refuse(h.orders())
		h.advance(400 * time.Millisecond)
		Expect(h.orders()).To(HaveLen(1), "there is no other")
	})

	longRunning := model.Step{Tasks: 1, Size: place.Resources{CPU: 16000, Memory: 1000}, LongRunning: true, Image: "a"}

	// overfill makes VM 0 run a long-running task that takes all its processors, and then shrink
	// to none. It returns a function that sends a lease request of its agent and lets time pass.
	overfill := func() func() {
		h.resize(0, true, large)
		h.submit(job(9, longRunning))
		h.advance(100 * time.Millisecond)
		Expect(h.starts()).To(HaveLen(1))
		return func() {
			h.resize(0, false, place.Resources{Memory: large.Memory}, msgs.RunStatus{Task: "0000000000000009.0.0.0", Run: 1, Percent: 100})
			h.advance(400 * time.Millisecond)
		}
	}

	It("counts what the runs of a shrunk VM request only up to its capacity, so that idle VMs are used", func() {
		pass := overfill()
		h.resize(1, true, large)
		pass()
		h.submit(job(1, model.Step{Tasks: 1, Size: place.Resources{CPU: 17000, Memory: 1000}, Estimate: time.Second, BestEffort: true}))
		for range 8 {
			h.resize(1, false, large)
			pass()
		}
		Expect(h.orders()).To(ConsistOf(HaveField("VM", "vm-1")))
	})

	It("takes no processors of other VMs from its plan for a VM that shrank below its long-running tasks", func() {
		pass := overfill()
		h.resize(1, true, place.Resources{CPU: 1000, Memory: 64000})
		long, short := smallStep, smallStep
		long.Estimate = 2 * time.Second
		h.submit(job(1, long))
		for range 6 {
			h.resize(1, false, place.Resources{CPU: 1000, Memory: 64000})
			pass()
		}
		Expect(h.starts()).To(BeEmpty())
		h.submit(job(2, short))
		h.resize(1, false, large)
		pass()
		Expect(h.starts()).To(HaveExactElements(HaveField("Task", taskA), HaveField("Task", taskB)), "both can be on time, so the earlier objective is first")
	})
})
