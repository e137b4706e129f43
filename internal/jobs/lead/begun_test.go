package lead_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/lead"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

// maxBegunAge is how old the count of jobs that have not begun may be.
const maxBegunAge = 2 * time.Second

// pending returns the number of jobs of the queue that have not begun, as callers are told.
func (h *harness) pending() int {
	h.out = nil
	h.request(msgs.Pending, nil, "")
	h.advance(20 * time.Millisecond)
	responses := h.responses()
	Expect(responses).To(HaveLen(1))
	return responses[0].Pending
}

// Jobs counted as begun from their placement on, so that those whose starts were refused or lost
// were in no count of waiting jobs any more.
var _ = Describe("A job", func() {
	const task = "0000000000000001.0.0.0"
	var h *harness
	BeforeEach(func() {
		h = newHarness()
		h.join(0)
		h.join(1)
		s := smallStep
		s.Tasks = 2
		h.submit(job(1, s))
		h.advance(100 * time.Millisecond)
		Expect(h.starts()).To(HaveLen(2))
	})

	// report sends the end of the task's first run.
	report := func(o msgs.Outcome, reason string) {
		for n := range 2 {
			vm := vmInfo(n)
			h.leader.Handle(h.now, uint64(firstAgentConn+n), &msgs.Message{Report: &msgs.Report{VM: vm.ID, Incarnation: vm.Incarnation, Ends: []msgs.RunEnd{
				{Task: task, Run: 1, Outcome: o, Reason: reason, Number: int64(o)},
			}}})
		}
	}
	// list sends lists of the VMs' runs. Those that the agent has only ordered are not proven.
	list := func(proven bool) {
		for n := range 2 {
			var unproven []msgs.RunRef
			if !proven {
				unproven = []msgs.RunRef{{Task: task, Run: 1}}
			}
			h.requestUnproven(n, false, unproven, msgs.RunStatus{Task: task, Run: 1})
		}
	}
	// pass lets time pass in which the agents list nothing.
	pass := func(d time.Duration) {
		h.advance(d)
		h.out = nil
	}

	DescribeTable("has not begun if", func(happens func()) {
		happens()
		pass(maxBegunAge)
		Expect(h.pending()).To(Equal(1))
		Expect(h.state(job(1).ID)).To(Equal("queued"))
		h.lead(epoch + 1)
		Expect(h.pending()).To(Equal(1), "for the next leader")
	},
		Entry("its runs were only placed", func() {}),
		Entry("its starts were refused", func() { report(msgs.Lost, port.ErrWorkerUnhealthy.Error()) }),
		Entry("its starts got no response", func() { report(msgs.Lost, "no response to its starts") }),
		Entry("its runs are listed as ordered", func() { list(false) }),
		Entry("it was lost with its VMs", func() { pass(lead.LeaseDuration + 2*time.Second) }),
	)

	DescribeTable("has begun, and is not counted any more soon after, if", func(happens func()) {
		happens()
		pass(maxBegunAge - 500*time.Millisecond) // the rest is the agent's
		Expect(h.pending()).To(Equal(0))
		Expect(h.state(job(1).ID)).NotTo(Equal("queued"))
		pass(lead.LeaseDuration + 2*time.Second)
		Expect(h.pending()).To(Equal(0), "although its runs are lost")
		h.lead(epoch + 1)
		Expect(h.pending()).To(Equal(0), "for the next leader")
	},
		Entry("a worker lists a run that is proven", func() { list(true) }),
		Entry("a worker has measured a run", func() {
			h.requestUnproven(0, false, []msgs.RunRef{{Task: task, Run: 1}}, msgs.RunStatus{Task: task, Run: 1, Percent: 3})
		}),
		Entry("a run was done", func() { report(msgs.Done, "") }),
		Entry("a run failed", func() { report(msgs.Failed, "") }),
		Entry("a run was stopped", func() { report(msgs.Stopped, "") }),
		Entry("the lease of a run ended at the worker", func() { report(msgs.LeaseExpired, "") }),
		Entry("a worker crashed under a run", func() {
			h.leader.Handle(h.now, firstAgentConn, &msgs.Message{Crashes: []msgs.Crash{{Number: 1, VM: "vm-0", Incarnation: 5, Runs: []msgs.RunRef{{Task: task, Run: 1}}}}})
		}),
		Entry("a run that was given up turns out to have failed", func() {
			report(msgs.Lost, "no response to its starts")
			report(msgs.Failed, "")
		}),
	)

	It("has not begun if a worker crashed that may not have started it", func() {
		h.leader.Handle(h.now, firstAgentConn, &msgs.Message{Crashes: []msgs.Crash{{Number: 1, VM: "vm-0", Incarnation: 5, Unanswered: []msgs.RunRef{{Task: task, Run: 1}}}}})
		pass(maxBegunAge)
		Expect(h.pending()).To(Equal(1))
	})
})

// A job whose starts are lost again and again never counted as idle, as each placement ended that.
var _ = Describe("A best-effort job whose starts are lost", func() {
	It("is idle until one of them starts", func() {
		h := newHarness()
		h.join(0)
		bestEffort := smallStep
		bestEffort.BestEffort, bestEffort.Size.CPU = true, 16000
		h.submit(job(1, bestEffort))
		h.advance(100 * time.Millisecond)
		first := h.starts()
		Expect(first).To(HaveLen(1))
		h.requestLease(0, false, msgs.RunStatus{Task: first[0].Task, Run: 1, Percent: 1})
		h.join(1)
		h.submit(job(2, bestEffort))
		lost := 0
		for end := h.now.Add(1500 * time.Millisecond); h.now.Before(end); {
			h.advance(40 * time.Millisecond)
			starts := h.starts()
			h.requestLease(1, true) // the list arrives while the order is under way
			h.advance(40 * time.Millisecond)
			for _, s := range starts {
				lost++
				h.leader.Handle(h.now, firstAgentConn+1, &msgs.Message{Report: &msgs.Report{VM: "vm-1", Incarnation: 5, Ends: []msgs.RunEnd{
					{Task: s.Task, Run: s.Run, Outcome: msgs.Lost, Reason: "no response to its starts"},
				}}})
			}
			h.out = nil
			h.requestLease(0, false, msgs.RunStatus{Task: first[0].Task, Run: 1, Percent: 1})
		}
		Expect(lost).To(BeNumerically(">", 2))
		draining := vmInfo(1)
		draining.Draining = true
		h.leader.Handle(h.now, firstAgentConn+1, &msgs.Message{LeaseRequest: &msgs.LeaseRequest{Seq: 1000, RunsListed: true, VM: draining}})
		started := 0
		for range 35 {
			h.requestLease(0, false, msgs.RunStatus{Task: first[0].Task, Run: 1, Percent: 1})
			h.advance(20 * time.Millisecond)
			started += len(h.starts())
		}
		Expect(started).To(Equal(1), "beside the best-effort task on the other VM")
	})
})
