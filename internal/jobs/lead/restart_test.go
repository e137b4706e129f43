package lead_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

var _ = Describe("A restarted agent", func() {
	It("is told which orders to start a run may have been given before", func() {
		h := newHarness()
		h.join(0)
		h.submit(job(1, smallStep))
		h.advance(flushTime)
		Expect(h.starts()).To(ConsistOf(HaveField("Repeated", false)))
		h.join(0)
		h.advance(flushTime)
		Expect(h.starts()).To(ConsistOf(HaveField("Repeated", true)))
		h.lead(epoch + 1)
		h.join(0)
		h.advance(flushTime)
		Expect(h.starts()).To(ConsistOf(HaveField("Repeated", true)), "the earlier process may have repeated the start under this leader")
	})
})

// The network may deliver what an agent sent on an earlier connection after it has listed its
// runs on the next one.
var _ = Describe("A reconnected agent", func() {
	const task = "0000000000000001.0.0.0"
	lost := &msgs.Message{Report: &msgs.Report{VM: "vm-0", Incarnation: 5, Ends: []msgs.RunEnd{{Task: task, Run: 1, Outcome: msgs.Lost}}}}
	var h *harness
	BeforeEach(func() {
		h = newHarness()
		h.join(0)
		h.submit(job(1, smallStep))
		h.advance(flushTime)
		h.seq++
		h.leader.Handle(h.now, firstAgentConn+1, &msgs.Message{LeaseRequest: &msgs.LeaseRequest{Seq: h.seq, Synced: true, RunsListed: true, VM: vmInfo(0)}})
		h.advance(flushTime)
		Expect(h.starts()).To(HaveLen(2))
	})

	It("loses no run by a report on its earlier connection", func() {
		h.leader.Handle(h.now, firstAgentConn, lost)
		h.advance(flushTime)
		Expect(h.starts()).To(BeEmpty())
	})

	It("gets its orders on the later connection", func() {
		h.requestLease(0, false)
		h.submit(job(2, smallStep))
		h.advance(flushTime)
		Expect(h.out).To(ContainElement(And(HaveField("Conn", uint64(firstAgentConn+1)), HaveField("Message.Orders.Starts", HaveLen(1)))))
	})
})

var _ = Describe("A report on an agent's earlier connection", func() {
	It("ends no run that has started on the later one, which has ended too", func() {
		const task = "0000000000000001.0.0.0"
		h := newHarness()
		h.join(0)
		h.submit(job(1, smallStep))
		h.advance(flushTime)
		h.join(1)
		for _, runs := range [][]msgs.RunStatus{nil, {{Task: task, Run: 1, Percent: 10}}} {
			h.seq++
			h.leader.Handle(h.now, firstAgentConn+5, &msgs.Message{LeaseRequest: &msgs.LeaseRequest{Seq: h.seq, Synced: runs == nil, RunsListed: true, VM: vmInfo(0), Runs: runs}})
			h.advance(flushTime)
		}
		h.out = nil
		h.leader.Disconnected(h.now, firstAgentConn+5)
		h.leader.Handle(h.now, firstAgentConn, &msgs.Message{Report: &msgs.Report{VM: "vm-0", Incarnation: 5, Ends: []msgs.RunEnd{{Task: task, Run: 1, Outcome: msgs.Lost}}}})
		h.advance(flushTime)
		Expect(h.starts()).To(BeEmpty())
	})
})

var _ = Describe("A lease request on an agent's earlier connection", func() {
	// The time of day was set back between the starts of the two workers on the node.
	It("does not remove the worker that the agent has named on the later one", func() {
		h := newHarness()
		named := func(conn uint64, synced bool, id string, incarnation int64, runs ...msgs.RunStatus) {
			h.seq++
			vm := vmInfo(0)
			vm.ID, vm.Incarnation = id, incarnation
			h.leader.Handle(h.now, conn, &msgs.Message{LeaseRequest: &msgs.LeaseRequest{Seq: h.seq, Synced: synced, RunsListed: true, VM: vm, Runs: runs}})
			h.advance(flushTime)
		}
		named(firstAgentConn, true, "vm-0", 50)
		named(firstAgentConn+5, true, "vm-9", 40)
		h.leader.Disconnected(h.now, firstAgentConn)
		h.submit(job(1, smallStep))
		h.advance(flushTime)
		Expect(h.out).To(ContainElement(And(HaveField("Conn", uint64(firstAgentConn+5)), HaveField("Message.Orders.Starts", HaveLen(1)))))
		named(firstAgentConn+5, false, "vm-9", 40, msgs.RunStatus{Task: "0000000000000001.0.0.0", Run: 1, Percent: 10})
		h.join(1)
		h.advance(flushTime)
		h.out = nil
		named(firstAgentConn, false, "vm-0", 50)
		Expect(h.starts()).To(BeEmpty(), "the run goes on")
	})
})

// A restarted worker has no fencing token yet, so it executes orders that were in transit to
// its earlier incarnation. The leader must keep such a run and not start it a second time.
// Found by a soak run with seed 304.
var _ = Describe("A restarted worker", func() {
	const task = "0000000000000001.0.0.0"
	const before, after = 5, 6
	smallStep := model.Step{Tasks: 1, Size: place.Resources{CPU: 1000, Memory: 1000}}
	var h *harness

	// requestLease sends a lease request of the worker's new incarnation. Its runs are listed
	// only if synced is set.
	requestLease := func(synced bool, runs ...msgs.RunStatus) {
		h.seq++
		h.leader.Handle(h.now, firstAgentConn, &msgs.Message{LeaseRequest: &msgs.LeaseRequest{
			Seq: h.seq, Synced: synced, RunsListed: synced, Runs: runs, VM: msgs.VM{
				ID: "vm-0", Node: "node-0", Incarnation: after, Service: "registry", Capacity: place.Resources{CPU: 16000, Memory: 64000},
			},
		}})
		h.advance(flushTime)
	}

	BeforeEach(func() {
		h = newHarness()
		h.join(0)
		j := job(1, smallStep)
		h.request(msgs.Submit, j, j.ID)
		h.advance(flushTime)
		Expect(h.starts()).To(HaveLen(1))
	})

	It("keeps a run that its new incarnation has started", func() {
		requestLease(true, msgs.RunStatus{Task: task, Run: 1, Percent: 10})
		for _, o := range h.orders() {
			Expect(o.Stops).To(BeEmpty())
			for _, s := range o.Starts {
				Expect(s.Run).To(Equal(uint32(1)))
			}
		}
		h.leader.Handle(h.now, firstAgentConn, &msgs.Message{Report: &msgs.Report{
			VM: "vm-0", Incarnation: after, Ends: []msgs.RunEnd{{Number: 1, Task: task, Run: 1, Outcome: msgs.Done}},
		}})
		h.advance(flushTime)
		Expect(h.state("0000000000000001")).To(Equal("completed"))
	})

	It("loses runs that its new incarnation does not list", func() {
		requestLease(true)
		starts := h.starts()
		Expect(starts).To(HaveLen(1))
		Expect(starts[0].Run).To(Equal(uint32(2)))
	})

	// The leader gave the run up with the earlier incarnation, and the new one carried out its
	// order nevertheless.
	It("completes a task that was given up", func() {
		requestLease(true)
		Expect(h.starts()).To(ConsistOf(HaveField("Run", uint32(2))))
		h.leader.Handle(h.now, firstAgentConn, &msgs.Message{Report: &msgs.Report{
			VM: "vm-0", Incarnation: after, Ends: []msgs.RunEnd{{Number: 1, Task: task, Run: 1, Outcome: msgs.Done}},
		}})
		h.advance(flushTime)
		Expect(h.state("0000000000000001")).To(Equal("completed"))
		Expect(h.starts()).To(BeEmpty())
	})

	It("takes back a run that was given up, instead of starting its task beside it", func() {
		h.leader.Handle(h.now, firstAgentConn, &msgs.Message{Report: &msgs.Report{VM: "vm-0", Incarnation: before, Ends: []msgs.RunEnd{{Task: task, Run: 1, Outcome: msgs.Lost}}}})
		requestLease(true, msgs.RunStatus{Task: task, Run: 1, Percent: 10})
		for _, o := range h.orders() {
			Expect(o.Stops).To(BeEmpty())
			Expect(o.Starts).To(HaveEach(HaveField("Run", uint32(1))))
		}
		h.lead(epoch + 1)
		h.join(1)
		h.advance(flushTime)
		Expect(h.starts()).To(BeEmpty(), "the next leader knows of the run")
	})

	It("loses no run before it has listed its runs", func() {
		requestLease(false)
		Expect(h.starts()).To(BeEmpty())
		requestLease(true, msgs.RunStatus{Task: task, Run: 1, Percent: 10})
		for _, s := range h.starts() {
			Expect(s.Run).To(Equal(uint32(1)))
		}
	})
})
