package lead_test

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/jobs/lead"
	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

var _ = Describe("A leader", func() {
	var h *harness
	BeforeEach(func() { h = newHarness() })

	It("confirms a job that is submitted again, and reports unknown jobs as not found", func() {
		h.submit(job(1, smallStep))
		h.advance(100 * time.Millisecond)
		h.submit(job(1, smallStep))
		h.request(msgs.State, nil, "00000000000000ff")
		h.request(msgs.Pending, nil, "")
		h.advance(50 * time.Millisecond)
		responses := h.responses()
		slices.SortFunc(responses, func(a, b msgs.JobResponse) int { return cmp.Compare(a.Seq, b.Seq) })
		Expect(responses).To(HaveExactElements(HaveField("Code", codes.OK), HaveField("Code", codes.OK),
			HaveField("Code", codes.JobNotFound), HaveField("Pending", 1)))
	})

	It("does not exceed the capacity of a VM", func() {
		h.join(0)
		wide := smallStep
		wide.Tasks = 20
		h.submit(job(1, wide))
		h.advance(time.Second)
		Expect(h.starts()).To(HaveLen(8))
	})

	It("stops the runs of a cancelled job, and responds once the cancellation is stored", func() {
		h.join(0)
		h.submit(job(1, smallStep))
		h.advance(100 * time.Millisecond)
		h.out = nil
		h.request(msgs.Cancel, nil, job(1).ID)
		h.now = h.now.Add(20 * time.Millisecond)
		Expect(h.nextBatch()).To(BeTrue())
		Expect(h.out).To(BeEmpty())
		h.confirmBatch()
		out := h.out
		Expect(h.responses()).To(ConsistOf(HaveField("Code", codes.OK)))
		h.out = out
		Expect(h.orders()).To(ConsistOf(HaveField("Stops", HaveLen(1))))
	})

	It("starts the tasks of a VM that does not contact a new leader on another one, but only after its lease has ended", func() {
		h.join(0)
		h.submit(job(1, smallStep))
		h.advance(100 * time.Millisecond)
		next := newHarness(h.records...)
		keepConnected := func(d time.Duration) {
			for range d / time.Second {
				next.join(1)
				next.advance(time.Second)
			}
		}
		keepConnected(lead.StoreTimeout + lead.LeaseDuration)
		Expect(next.starts()).To(BeEmpty())
		keepConnected(2 * time.Second)
		Expect(next.starts()).To(And(Not(BeEmpty()), HaveEach(HaveField("Run", uint32(2)))))
	})

	// Another entry may have claimed meanwhile. It does not wait for leases of a leader that the
	// store has not confirmed for so long.
	It("grants no lease after it took long to load the state, until the store has confirmed it", func() {
		h.leader.SetConfirmed(h.now.Add(-lead.StoreTimeout - time.Second))
		h.now = h.now.Add(20 * time.Millisecond)
		h.requestLease(0, true)
		Expect(h.nextBatch()).To(BeTrue())
		Expect(h.leases()).To(BeEmpty())
		h.confirmBatch()
		h.requestLease(0, false)
		h.nextBatch()
		Expect(h.leases()).To(HaveLen(1))
	})

	It("grants no lease after it was suspended, until the store has confirmed an append made since", func() {
		h.join(0)
		h.submit(job(1, smallStep))
		h.advance(100 * time.Millisecond)
		h.submit(job(2, smallStep))
		Expect(h.nextBatch()).To(BeTrue())
		h.leases()
		h.leader.Suspended(lead.StoreTimeout + time.Second)
		h.requestLease(0, false)
		h.confirmBatch()
		h.requestLease(0, false)
		Expect(h.leases()).To(BeEmpty(), "the append in flight was sent before")
		h.now = h.now.Add(20 * time.Millisecond)
		Expect(h.nextBatch()).To(BeTrue())
		h.confirmBatch()
		h.requestLease(0, false)
		h.nextBatch()
		Expect(h.leases()).To(HaveLen(1))
	})

	It("removes a VM that has not contacted a new leader for 9 s, and starts its tasks elsewhere", func() {
		h.join(0)
		h.submit(job(1, smallStep))
		h.advance(100 * time.Millisecond)
		next := newHarness(h.records...)
		for range 9 {
			next.join(1)
			next.advance(time.Second)
		}
		Expect(next.starts()).NotTo(BeEmpty())
	})

	It("starts tasks elsewhere at once if a newer worker replaced theirs on the same node", func() {
		h.join(0)
		h.submit(job(1, smallStep))
		h.advance(100 * time.Millisecond)
		next := newHarness(h.records...)
		next.leader.Handle(next.now, firstAgentConn, &msgs.Message{LeaseRequest: &msgs.LeaseRequest{Seq: 1, Synced: true, RunsListed: true, VM: msgs.VM{
			ID: "vm-9", Node: "node-0", Incarnation: 6, Service: "registry", Capacity: place.Resources{CPU: 16000, Memory: 64000},
		}}})
		next.advance(200 * time.Millisecond)
		Expect(next.starts()).To(ConsistOf(HaveField("Run", uint32(2))))
	})

	It("orders missing runs again, and stops runs that are not wanted", func() {
		h.join(0)
		h.submit(job(1, smallStep))
		h.advance(100 * time.Millisecond)
		next := newHarness(h.records...)
		next.join(0, msgs.RunStatus{Task: "00000000000000ff.0.0.0", Run: 3})
		next.advance(100 * time.Millisecond)
		Expect(next.orders()).To(HaveExactElements(
			And(HaveField("Starts", BeEmpty()), HaveField("Stops", ConsistOf(HaveField("Run", uint32(3))))),
			And(HaveField("Starts", ConsistOf(HaveField("Run", uint32(1)))), HaveField("Stops", BeEmpty())),
		))
	})

	It("asks the agent of a VM that was removed to list its runs again", func() {
		h.join(0)
		h.advance(2 * lead.LeaseDuration)
		h.leases()
		h.requestLease(0, false)
		h.nextBatch()
		Expect(h.leases()).To(ConsistOf(HaveField("Resync", true)))
	})

	It("requests advice, and starts a task only on a VM with a valid ticket, which it passes on", func() {
		h.join(0)
		h.join(1)
		j := job(1, smallStep)
		j.Queue.Advised = true
		h.submit(j)
		h.advance(100 * time.Millisecond)
		Expect(h.starts()).To(BeEmpty())
		q := h.leader.AdviceRequest()
		Expect(q.VMs).To(ConsistOf("vm-0"), "the task needs one")
		Expect(q.Step).To(Equal("0000000000000001.0.0"))
		Expect(h.leader.AdviceRequest()).To(BeNil(), "one at a time")
		h.leader.Advised(h.now, q, port.Advice{ValidFor: 3 * time.Second}, nil)
		h.advance(100 * time.Millisecond)
		Expect(h.starts()).To(BeEmpty())
		q = h.leader.AdviceRequest()
		Expect(q.VMs).To(ConsistOf("vm-1"), "it has asked for the other")
		h.leader.Advised(h.now, q, port.Advice{Tickets: map[string]string{"vm-1": "t-1"}, ValidFor: 3 * time.Second}, nil)
		h.advance(100 * time.Millisecond)
		Expect(h.orders()).To(ConsistOf(And(HaveField("VM", "vm-1"), HaveField("Starts", ConsistOf(HaveField("Ticket", "t-1"))))))
	})

	It("delays further starts of a task that workers refuse", func() {
		h.join(0)
		h.submit(job(1, smallStep))
		starts := 0
		for range 100 {
			h.advance(40 * time.Millisecond)
			h.requestLease(0, false)
			for _, s := range h.starts() {
				starts++
				h.leader.Handle(h.now, firstAgentConn, &msgs.Message{Report: &msgs.Report{VM: "vm-0", Incarnation: 5, Ends: []msgs.RunEnd{
					{Task: s.Task, Run: s.Run, Outcome: msgs.Lost, Reason: port.ErrWorkerUnhealthy.Error()},
				}}})
			}
		}
		Expect(starts).To(BeNumerically("<", 10))
	})

	It("starts all members of a gang together and from one checkpoint, and releases all their resources when one reports the end", func() {
		h.join(0)
		h.join(1)
		gang := model.Step{Tasks: 4, Gang: true, Checkpoints: true, Size: place.Resources{CPU: 7000, Memory: 100}, Estimate: time.Minute}
		h.submit(job(1, gang))
		h.submit(job(2, gang))
		h.advance(100 * time.Millisecond)
		Expect(h.starts()).To(And(HaveLen(4), HaveEach(HaveField("Run", uint32(1)))), "no capacity for the other gang")
		var runs []msgs.RunStatus
		h.requestLease(0, false, append(runs, msgs.RunStatus{Task: "0000000000000001.0.0.1", Run: 1, Checkpoint: "0abc"})...)
		var ends []msgs.RunEnd
		for i := range 4 {
			ends = append(ends, msgs.RunEnd{Task: fmt.Sprintf("0000000000000001.0.0.%d", i), Run: 1, Outcome: msgs.Lost})
		}
		for n := range 2 {
			h.leader.Handle(h.now, uint64(firstAgentConn+n), &msgs.Message{Report: &msgs.Report{VM: fmt.Sprintf("vm-%d", n), Incarnation: 5, Ends: ends}})
		}
		h.advance(100 * time.Millisecond)
		again := h.starts()
		Expect(again).To(HaveLen(4))
		Expect(again).To(HaveEach(HaveField("Run", again[0].Run)))
		Expect(again).To(HaveEach(HaveField("Checkpoint", again[0].Checkpoint)))
		done := msgs.RunEnd{Number: 9, Task: again[0].Task, Run: again[0].Run, Outcome: msgs.Done}
		for n := range 2 {
			h.leader.Handle(h.now, uint64(firstAgentConn+n), &msgs.Message{Report: &msgs.Report{VM: fmt.Sprintf("vm-%d", n), Incarnation: 5, Ends: []msgs.RunEnd{done}}})
		}
		h.advance(100 * time.Millisecond)
		Expect(h.starts()).To(HaveLen(4), "the other gang")
	})

	It("moves a task away from a VM on which it makes no progress", func() {
		h.join(0)
		h.submit(job(1, smallStep))
		h.advance(100 * time.Millisecond)
		h.join(1)
		h.out = nil
		for range 8 {
			h.requestLease(0, false, msgs.RunStatus{Task: "0000000000000001.0.0.0", Run: 1, Percent: 10})
			h.requestLease(1, false)
			h.advance(400 * time.Millisecond)
		}
		Expect(h.stops()).NotTo(BeEmpty())
	})
})
