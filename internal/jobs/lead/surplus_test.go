package lead_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

var _ = Describe("A task that is done", func() {
	It("is not started again by a later leader, although a run of it is left", func() {
		h := newHarness()
		h.join(0)
		two := smallStep
		two.Tasks = 2
		h.submit(job(1, two))
		h.advance(flushTime)
		const task = "0000000000000001.0.0.0"
		report := func(n int64, o msgs.Outcome) {
			h.leader.Handle(h.now, firstAgentConn, &msgs.Message{Report: &msgs.Report{VM: "vm-0", Incarnation: 5, Ends: []msgs.RunEnd{
				{Number: n, Task: task, Run: 1, Outcome: o},
			}}})
			h.advance(200 * time.Millisecond)
		}
		report(0, msgs.Lost)
		Expect(h.starts()).To(ContainElement(And(HaveField("Task", task), HaveField("Run", uint32(2)))))
		report(1, msgs.Done)
		Expect(h.stops()).To(ConsistOf(msgs.Stop{Task: task, Run: 2, Size: smallStep.Size}))
		h.lead(epoch + 1)
		h.join(0)
		h.advance(flushTime)
		Expect(h.starts()).NotTo(ContainElement(HaveField("Task", task)))
	})

	It("is not started again by a later leader, although its copy never began", func() {
		h := newHarness()
		step := smallStep
		step.Speculative, step.Estimate = true, 500*time.Millisecond
		other := smallStep
		h.join(0)
		h.submit(job(1, step, other))
		h.advance(flushTime)
		h.join(1)
		const task = "0000000000000001.0.0.0"
		var copies []msgs.Start
		for range 15 {
			h.requestLease(0, false, msgs.RunStatus{Task: task, Run: 1, Percent: 10}, msgs.RunStatus{Task: "0000000000000001.0.1.0", Run: 1, Percent: 10})
			h.requestLease(1, false)
			h.advance(400 * time.Millisecond)
			for _, o := range h.orders() {
				if o.VM == "vm-1" {
					copies = append(copies, o.Starts...)
				}
			}
		}
		Expect(copies).To(ContainElement(And(HaveField("Task", task), HaveField("Run", uint32(2)))))
		// The copy's order is lost with the leader; the first run ends.
		h.leader.Handle(h.now, firstAgentConn, &msgs.Message{Report: &msgs.Report{VM: "vm-0", Incarnation: 5, Ends: []msgs.RunEnd{
			{Number: 1, Task: task, Run: 1, Outcome: msgs.Done},
		}}})
		h.advance(flushTime)
		h.lead(epoch + 1)
		h.join(0, msgs.RunStatus{Task: "0000000000000001.0.1.0", Run: 1, Percent: 10})
		h.join(1)
		h.advance(flushTime)
		Expect(h.starts()).NotTo(ContainElement(HaveField("Task", task)))
	})
})

// One end stands for all members of a gang that is done. Another member's agent only sees that
// its run is missing from the lists.
var _ = Describe("A gang that is done on a VM whose agent is cut off", func() {
	It("is not started again although the other members count as lost, and is completed by the end", func() {
		h := newHarness()
		for n := range 4 {
			h.join(n)
		}
		h.submit(job(1, model.Step{Tasks: 2, Gang: true, Size: place.Resources{CPU: 12000, Memory: 100}, Estimate: time.Second}))
		h.advance(flushTime)
		vmOf := map[string]string{}
		for _, o := range h.orders() {
			for _, s := range o.Starts {
				vmOf[s.Task] = o.VM
			}
		}
		Expect(vmOf).To(HaveLen(2))
		end := func(task string, number int64, outcome msgs.Outcome) {
			var n int
			_, err := fmt.Sscanf(vmOf[task], "vm-%d", &n)
			Expect(err).NotTo(HaveOccurred())
			h.leader.Handle(h.now, uint64(firstAgentConn+n), &msgs.Message{Report: &msgs.Report{VM: vmOf[task], Incarnation: 5, Ends: []msgs.RunEnd{
				{Number: number, Task: task, Run: 1, Outcome: outcome},
			}}})
		}
		end("0000000000000001.0.0.1", 0, msgs.Lost)
		h.advance(3 * time.Second)
		Expect(h.starts()).To(BeEmpty())
		end("0000000000000001.0.0.0", 1, msgs.Done)
		h.advance(3 * time.Second)
		Expect(h.starts()).To(BeEmpty())
		Expect(h.state("0000000000000001")).To(Equal("completed"))
	})
})
