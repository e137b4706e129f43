package lead_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

var _ = Describe("A leader and a run that it does not expect at a VM", func() {
	const taskA, taskB, unknown = "0000000000000001.0.0.0", "0000000000000002.0.0.0", "00000000000000ff.0.0.0"
	step := model.Step{Tasks: 1, Size: place.Resources{CPU: 9000, Memory: 4000}, Estimate: time.Second}
	var h *harness
	BeforeEach(func() {
		h = newHarness()
		h.join(0)
		h.submit(job(1, step))
		h.advance(100 * time.Millisecond)
		Expect(h.starts()).To(ConsistOf(HaveField("Task", taskA)))
		h.leader.Handle(h.now, firstAgentConn, &msgs.Message{Report: &msgs.Report{VM: "vm-0", Incarnation: 5, Ends: []msgs.RunEnd{
			{Number: 1, Task: taskA, Run: 1, Outcome: msgs.Done},
		}}})
		h.advance(100 * time.Millisecond)
		h.orders()
	})

	DescribeTable("starts nothing beside it that exceeds the capacity, until it has ended", func(present msgs.RunStatus, end func()) {
		h.requestLease(0, false, present)
		h.submit(job(2, step))
		h.advance(400 * time.Millisecond)
		for _, o := range h.orders() {
			Expect(o.Starts).To(BeEmpty())
			Expect(o.Stops).To(ConsistOf(HaveField("Task", present.Task)))
		}
		end()
		h.advance(100 * time.Millisecond)
		Expect(h.starts()).To(ConsistOf(HaveField("Task", taskB)))
	},
		Entry("a run of a task that is done, until its end is reported", msgs.RunStatus{Task: taskA, Run: 2}, func() {
			h.leader.Handle(h.now, firstAgentConn, &msgs.Message{Report: &msgs.Report{VM: "vm-0", Incarnation: 5, Ends: []msgs.RunEnd{
				{Number: 2, Task: taskA, Run: 2, Outcome: msgs.Stopped},
			}}})
			h.requestLease(0, false)
		}),
		Entry("a run of a task that is done, until the agent no longer lists it", msgs.RunStatus{Task: taskA, Run: 2}, func() { h.requestLease(0, false) }),
		Entry("a run of a job that is not in the job table", msgs.RunStatus{Task: unknown, Run: 1}, func() { h.requestLease(0, false) }),
		Entry("a run without a valid task reference", msgs.RunStatus{Task: "odd", Run: 1}, func() { h.requestLease(0, false) }),
	)

	It("counts the member of a gang no longer once another member has reported that the gang is done", func() {
		gang := model.Step{Tasks: 2, Gang: true, MaxPerVM: 1, Size: step.Size, Estimate: time.Second}
		h.join(1)
		h.submit(job(3, gang))
		h.advance(100 * time.Millisecond)
		members := map[string]msgs.RunStatus{}
		for _, o := range h.orders() {
			members[o.VM] = msgs.RunStatus{Task: o.Starts[0].Task, Run: o.Starts[0].Run}
		}
		h.submit(job(2, step))
		h.advance(100 * time.Millisecond)
		Expect(h.starts()).To(BeEmpty())
		h.leader.Handle(h.now, firstAgentConn, &msgs.Message{Report: &msgs.Report{VM: "vm-0", Incarnation: 5, Ends: []msgs.RunEnd{
			{Number: 2, Task: members["vm-0"].Task, Run: members["vm-0"].Run, Outcome: msgs.Done},
		}}})
		h.requestLease(0, false)
		h.requestLease(1, false, members["vm-1"])
		h.submit(job(4, step))
		h.advance(100 * time.Millisecond)
		Expect(h.starts()).To(ConsistOf(HaveField("Task", taskB), HaveField("Task", "0000000000000004.0.0.0")))
	})

	// The next process of the worker has carried out an order that was meant for the earlier one.
	It("starts no other run of its task until it has ended", func() {
		h.submit(job(2, smallStep))
		h.advance(100 * time.Millisecond)
		Expect(h.starts()).To(ConsistOf(HaveField("Task", taskB)))
		h.leader.Handle(h.now, firstAgentConn, &msgs.Message{Report: &msgs.Report{VM: "vm-0", Incarnation: 5, Ends: []msgs.RunEnd{
			{Number: 2, Task: taskB, Run: 1, Outcome: msgs.Failed},
		}}})
		h.requestLease(0, false, msgs.RunStatus{Task: taskB, Run: 1})
		h.advance(300 * time.Millisecond)
		Expect(h.orders()).To(ConsistOf(And(HaveField("Starts", BeEmpty()), HaveField("Stops", ConsistOf(HaveField("Task", taskB))))))
		h.requestLease(0, false)
		h.advance(100 * time.Millisecond)
		Expect(h.starts()).To(ConsistOf(And(HaveField("Task", taskB), HaveField("Run", uint32(2)))))
	})

	It("starts what fits beside it", func() {
		h.requestLease(0, false, msgs.RunStatus{Task: taskA, Run: 2})
		h.submit(job(2, smallStep))
		h.advance(100 * time.Millisecond)
		Expect(h.starts()).To(ConsistOf(HaveField("Task", taskB)))
	})
})
