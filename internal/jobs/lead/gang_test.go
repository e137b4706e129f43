package lead_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

// The next process of a worker has carried out an order to start a member of a gang that was meant
// for the earlier one. The leader gave that member up, but not the other one.
var _ = Describe("A member of a gang that was given up and is present", func() {
	const other = "0000000000000002.0.0.0"
	step := model.Step{Tasks: 1, Size: place.Resources{CPU: 9000, Memory: 4000}, Estimate: time.Second}
	var h *harness
	// stray is the member that was given up, at VM 0, kept the one at VM 1.
	var stray, kept msgs.RunStatus

	end := func(n int, incarnation int64, r msgs.RunStatus, o msgs.Outcome) {
		h.leader.Handle(h.now, uint64(firstAgentConn+n), &msgs.Message{Report: &msgs.Report{VM: vmInfo(n).ID, Incarnation: incarnation, Ends: []msgs.RunEnd{
			{Number: 1, Task: r.Task, Run: r.Run, Outcome: o},
		}}})
	}

	BeforeEach(func() {
		h = newHarness()
		h.join(0)
		h.join(1)
		gang := step
		gang.Tasks, gang.Gang, gang.MaxPerVM = 2, true, 1
		h.submit(job(1, gang))
		h.advance(flushTime)
		for _, o := range h.orders() {
			r := msgs.RunStatus{Task: o.Starts[0].Task, Run: o.Starts[0].Run}
			if o.VM == "vm-0" {
				stray = r
			} else {
				kept = r
			}
		}
		gone := vmInfo(0)
		gone.Down = true
		h.seq++
		h.leader.Handle(h.now, firstAgentConn, &msgs.Message{LeaseRequest: &msgs.LeaseRequest{Seq: h.seq, VM: gone}})
		h.advance(flushTime)
		next := vmInfo(0)
		next.Incarnation++
		h.seq++
		h.leader.Handle(h.now, firstAgentConn, &msgs.Message{LeaseRequest: &msgs.LeaseRequest{
			Seq: h.seq, Synced: true, RunsListed: true, Runs: []msgs.RunStatus{stray}, VM: next,
		}})
	})

	It("is stopped, and the gang does not start again before its end", func() {
		h.join(2)
		h.join(3)
		end(1, 5, kept, msgs.Broken)
		h.requestLease(1, false)
		h.advance(400 * time.Millisecond)
		for _, o := range h.orders() {
			Expect(o.Starts).To(BeEmpty(), "a task of the gang would run twice")
			Expect(o.Stops).To(ConsistOf(HaveField("Task", stray.Task)))
		}
		end(0, 6, stray, msgs.Stopped)
		h.advance(flushTime)
		Expect(h.starts()).To(ConsistOf(HaveField("Run", stray.Run+1), HaveField("Run", stray.Run+1)))
	})

	It("completes the gang and releases what the other member takes, if it is done", func() {
		end(0, 6, stray, msgs.Done)
		h.requestLease(1, false, kept)
		h.advance(flushTime)
		Expect(h.state("0000000000000001")).To(Equal("completed"))
		h.requestLease(1, false)
		h.out = nil
		h.submit(job(2, step))
		h.submit(job(3, step))
		h.advance(flushTime)
		Expect(h.starts()).To(ConsistOf(HaveField("Task", other), HaveField("Task", "0000000000000003.0.0.0")))
	})
})
