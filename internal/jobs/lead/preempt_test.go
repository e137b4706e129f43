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

var _ = Describe("Preemption for a long-running task", func() {
	longRunning := model.Step{Tasks: 1, LongRunning: true, Size: place.Resources{CPU: 2000, Memory: 1000}}

	// A VM with free capacity that takes no task for another reason used to be reserved, as
	// nothing had to be stopped there, and the task kept waiting.
	It("stops a run on a full VM, although a suspect VM has free capacity that it does not offer", func() {
		h := newHarness()
		h.join(0)
		for n := range 3 {
			j := job(n+1, smallStep)
			h.request(msgs.Submit, j, j.ID)
		}
		h.advance(100 * time.Millisecond)
		for n := range 3 {
			h.leader.Handle(h.now, firstAgentConn, &msgs.Message{Report: &msgs.Report{VM: "vm-0", Incarnation: 5, Ends: []msgs.RunEnd{
				{Number: int64(n + 1), Task: fmt.Sprintf("%016x.0.0.0", n+1), Run: 1, Outcome: msgs.Failed},
			}}})
		}
		h.advance(100 * time.Millisecond)
		h.join(1)
		full := smallStep
		full.Tasks = 8
		j := job(10, full)
		h.request(msgs.Submit, j, j.ID)
		h.advance(100 * time.Millisecond)
		h.out = nil
		j = job(11, longRunning)
		h.request(msgs.Submit, j, j.ID)
		h.advance(100 * time.Millisecond)
		Expect(h.orders()).To(ContainElement(And(HaveField("VM", "vm-1"), HaveField("Stops", HaveLen(1)))))
	})

	// The worker may still carry out a start that the agent's earlier process sent.
	It("does not count a run as ended when the restarted agent does not list it, until the agent reports that", func() {
		h := newHarness()
		h.join(0)
		full := smallStep
		full.Tasks = 8
		j := job(1, full)
		h.request(msgs.Submit, j, j.ID)
		h.advance(100 * time.Millisecond)
		h.out = nil
		j = job(2, longRunning)
		h.request(msgs.Submit, j, j.ID)
		h.advance(100 * time.Millisecond)
		stopped := h.orders()[0].Stops[0]
		h.join(0)
		h.advance(100 * time.Millisecond)
		orders := h.orders()
		Expect(orders).To(HaveLen(2))
		Expect(orders[0].Stops).To(ConsistOf(stopped))
		Expect(orders[0].Starts).To(BeEmpty())
		Expect(orders[1].Stops).To(BeEmpty())
		Expect(orders[1].Starts).To(HaveLen(7), "the other runs are to start")
		h.leader.Handle(h.now, firstAgentConn, &msgs.Message{Report: &msgs.Report{VM: "vm-0", Incarnation: 5, Ends: []msgs.RunEnd{
			{Task: stopped.Task, Run: stopped.Run, Outcome: msgs.Lost},
		}}})
		h.advance(100 * time.Millisecond)
		Expect(h.starts()).To(ConsistOf(HaveField("Task", "0000000000000002.0.0.0")))
	})
})
