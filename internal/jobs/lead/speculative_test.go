package lead_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

var _ = Describe("A task with speculative execution", func() {
	const task, id = "0000000000000001.0.0.0", "0000000000000001"
	step := model.Step{Tasks: 1, Speculative: true, Estimate: 500 * time.Millisecond, Size: place.Resources{CPU: 1000, Memory: 1000}}
	var h *harness

	// reportNoProgress reports no progress of the first run for a while, and returns all
	// starts on the second VM and all stops.
	reportNoProgress := func(d time.Duration) (copies []msgs.Start, stops []msgs.Stop) {
		for end := h.now.Add(d); h.now.Before(end); {
			h.requestLease(0, false, msgs.RunStatus{Task: task, Run: 1, Percent: 10})
			h.requestLease(1, false)
			h.advance(400 * time.Millisecond)
			for _, o := range h.orders() {
				if o.VM == "vm-1" {
					copies = append(copies, o.Starts...)
				}
				stops = append(stops, o.Stops...)
			}
		}
		return copies, stops
	}

	// end reports the completion of a run on VM n.
	end := func(n int, run uint32) {
		h.leader.Handle(h.now, uint64(firstAgentConn+n), &msgs.Message{Report: &msgs.Report{
			VM: []string{"vm-0", "vm-1"}[n], Incarnation: 5, Ends: []msgs.RunEnd{{Number: 1, Task: task, Run: run, Outcome: msgs.Done}},
		}})
		h.advance(flushTime)
	}

	BeforeEach(func() {
		h = newHarness()
		h.join(0)
		j := job(1, step)
		h.request(msgs.Submit, j, j.ID)
		h.advance(flushTime)
		h.join(1)
		h.out = nil
	})

	It("gets one copy if its run makes no progress, and that run continues", func() {
		copies, stops := reportNoProgress(6 * time.Second)
		Expect(copies).To(ConsistOf(HaveField("Run", uint32(2))))
		Expect(stops).To(BeEmpty())
	})

	DescribeTable("completes with the first run to finish, and the other run is stopped", func(n int, run, other uint32) {
		reportNoProgress(4 * time.Second)
		end(n, run)
		Expect(h.stops()).To(ConsistOf(msgs.Stop{Task: task, Run: other, Size: step.Size}))
		Expect(h.state(id)).To(Equal("completed"))
	},
		Entry("the copy", 1, uint32(2), uint32(1)),
		Entry("the first run", 0, uint32(1), uint32(2)),
	)
})

// A copy of a task that needs the advisor's ticket was ordered without one, and refused.
var _ = Describe("A task with speculative execution that needs advice", func() {
	It("is copied once there is a ticket for another VM", func() {
		h := newHarness()
		h.join(0)
		j := job(1, model.Step{Tasks: 1, Speculative: true, Estimate: 500 * time.Millisecond, Size: place.Resources{CPU: 1000, Memory: 1000}})
		j.Queue.Advised = true
		h.submit(j)
		var starts []msgs.Start
		for end := h.now.Add(8 * time.Second); h.now.Before(end); {
			if req := h.leader.AdviceRequest(); req != nil {
				Expect(req.VMs).To(HaveLen(1))
				h.leader.Advised(h.now, req, port.Advice{Tickets: map[string]string{req.VMs[0]: "for " + req.VMs[0]}, ValidFor: 2 * time.Second}, nil)
			}
			h.advance(200 * time.Millisecond)
			for _, o := range h.orders() {
				for _, s := range o.Starts {
					Expect(s.Ticket).To(Equal("for " + o.VM))
					starts = append(starts, s)
				}
			}
			if len(starts) > 0 {
				h.requestLease(0, false, msgs.RunStatus{Task: "0000000000000001.0.0.0", Run: 1, Percent: 10})
				h.requestLease(1, false)
			}
			if len(starts) == 1 {
				h.join(1)
			}
		}
		Expect(starts).To(HaveLen(2), "the first run and a copy")
	})
})
