package lead_test

import (
	"fmt"
	"log/slog"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/jobs/lead"
	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/jobs/table"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

const (
	epoch = 4
	// firstAgentConn is the connection of the first VM's agent. Callers use connection 0.
	firstAgentConn = 10
)

// harness drives a leader. The spec simulates the store and the VMs.
type harness struct {
	leader  *lead.Leader
	now     time.Time
	records []port.Record
	seq     uint64
	// out holds the messages sent since the last call of a method that returns some.
	out []lead.OutboundMessage
}

func newHarness(records ...port.Record) *harness {
	h := &harness{now: time.Unix(1000, 0)}
	state, faults := table.Load(records)
	Expect(faults).To(BeEmpty())
	h.leader = lead.New(h.now, epoch, state, model.Config{}, slog.New(slog.DiscardHandler))
	return h
}

// join sends the first lease request of VM n's agent, which lists its runs.
func (h *harness) join(n int, runs ...msgs.RunStatus) { h.requestLease(n, true, runs...) }

// requestLease sends a lease request of VM n's agent, which lists its runs.
func (h *harness) requestLease(n int, synced bool, runs ...msgs.RunStatus) {
	h.seq++
	h.leader.Handle(h.now, uint64(firstAgentConn+n), &msgs.Message{LeaseRequest: &msgs.LeaseRequest{
		Seq: h.seq, Synced: synced, RunsListed: true, Runs: runs, VM: vmInfo(n),
	}})
}

// vmInfo returns the description of VM n.
func vmInfo(n int) msgs.VM {
	return msgs.VM{
		ID: fmt.Sprintf("vm-%d", n), Node: fmt.Sprintf("node-%d", n), Incarnation: 5, Service: "registry",
		Capacity: place.Resources{CPU: 16000, Memory: 64000},
	}
}

// request sends a caller's request.
func (h *harness) request(verb msgs.Verb, spec *model.Job, id model.ID) {
	h.seq++
	h.leader.Handle(h.now, 0, &msgs.Message{JobRequest: &msgs.JobRequest{Seq: h.seq, Verb: verb, Queue: "q", Job: id, Spec: spec}})
}

// advance lets time pass, while the store confirms each batch at once.
func (h *harness) advance(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); h.now = h.now.Add(20 * time.Millisecond) {
		if h.nextBatch() {
			h.confirmBatch()
		}
	}
}

// nextBatch sends the leader's next batch to the store and reports whether there was one.
func (h *harness) nextBatch() bool {
	h.leader.Tick(h.now)
	batch, err := h.leader.NextBatch(h.now)
	Expect(err).NotTo(HaveOccurred())
	h.out = append(h.out, h.leader.TakeOutbound()...)
	if batch == nil {
		return false
	}
	h.records = append(h.records, batch.Records...)
	return true
}

// confirmBatch confirms the batch in flight.
func (h *harness) confirmBatch() {
	h.leader.Stored(h.now)
	h.out = append(h.out, h.leader.TakeOutbound()...)
}

// responses returns the responses to callers among the messages in out. Like starts, stops,
// orders and leases, it empties out.
func (h *harness) responses() []msgs.JobResponse {
	return collect(h, func(m *msgs.Message) []msgs.JobResponse {
		if m.JobResponse == nil {
			return nil
		}
		return []msgs.JobResponse{*m.JobResponse}
	})
}

func (h *harness) starts() []msgs.Start {
	return collect(h, func(m *msgs.Message) []msgs.Start {
		if m.Orders == nil {
			return nil
		}
		return m.Orders.Starts
	})
}

func (h *harness) orders() []msgs.Orders {
	return collect(h, func(m *msgs.Message) []msgs.Orders {
		if m.Orders == nil {
			return nil
		}
		return []msgs.Orders{*m.Orders}
	})
}

func (h *harness) leases() []msgs.Lease {
	return collect(h, func(m *msgs.Message) []msgs.Lease {
		if m.Lease == nil {
			return nil
		}
		return []msgs.Lease{*m.Lease}
	})
}

// collect returns the parts that selectParts finds in the messages in out, and empties out.
func collect[T any](h *harness, selectParts func(*msgs.Message) []T) []T {
	var list []T
	for _, msg := range h.out {
		list = append(list, selectParts(msg.Message)...)
	}
	h.out = nil
	return list
}

// job returns the description of job n with the given steps.
func job(n int, steps ...model.Step) *model.Job {
	return &model.Job{
		ID: model.ID(fmt.Sprintf("%016x", n)), Payload: "work", Steps: steps,
		Queue: model.Queue{Name: "q", Service: "registry", Priority: 1, MaxAttempts: 3, Stretch: 2, TargetLatency: time.Second},
	}
}

var smallStep = model.Step{Tasks: 1, Size: place.Resources{CPU: 2000, Memory: 1000}, Estimate: time.Second}

var _ = Describe("A leader", func() {
	var h *harness
	BeforeEach(func() { h = newHarness() })

	submit := func(j *model.Job) { h.request(msgs.Submit, j, j.ID) }

	It("responds and sends orders only once the changes are stored", func() {
		h.join(0)
		submit(job(1, smallStep))
		h.now = h.now.Add(20 * time.Millisecond)
		Expect(h.nextBatch()).To(BeTrue())
		Expect(h.responses()).To(BeEmpty())
		h.confirmBatch()
		out := h.out
		Expect(h.responses()).To(ConsistOf(HaveField("Code", codes.OK)))
		h.out = out
		Expect(h.starts()).To(ConsistOf(HaveField("Run", uint32(1))))
	})

	It("sends no message whose change is left for the next batch", func() {
		const count = 200
		for n := range count {
			large := job(n+1, smallStep)
			large.Payload = strings.Repeat("x", 4000)
			submit(large)
		}
		h.request(msgs.Cancel, nil, job(count, smallStep).ID)
		cancelled := HaveField("Seq", h.seq)
		h.now = h.now.Add(20 * time.Millisecond)
		Expect(h.nextBatch()).To(BeTrue())
		h.confirmBatch()
		responses := h.responses()
		Expect(responses).NotTo(BeEmpty())
		Expect(responses).NotTo(ContainElement(cancelled))
		h.now = h.now.Add(20 * time.Millisecond)
		Expect(h.nextBatch()).To(BeTrue())
		h.confirmBatch()
		Expect(h.responses()).To(ContainElement(cancelled))
	})

	It("holds no message for the change of a job that was refused", func() {
		h.join(0)
		submit(job(1, smallStep))
		h.now = h.now.Add(20 * time.Millisecond)
		Expect(h.nextBatch()).To(BeTrue())
		submit(job(2, smallStep))
		h.now = h.now.Add(time.Second)
		h.nextBatch()
		Expect(h.responses()).To(ConsistOf(HaveField("Code", codes.LogDown)))
		h.request(msgs.Cancel, nil, job(1, smallStep).ID)
		h.confirmBatch()
		h.advance(50 * time.Millisecond)
		Expect(h.responses()).To(ContainElement(HaveField("Seq", h.seq)))
	})

	It("refuses new jobs at once while the store does not respond, and never runs them", func() {
		h.join(0)
		submit(job(1, smallStep))
		h.now = h.now.Add(20 * time.Millisecond)
		Expect(h.nextBatch()).To(BeTrue())
		submit(job(2, smallStep))
		h.now = h.now.Add(time.Second)
		h.nextBatch()
		Expect(h.responses()).To(ConsistOf(And(HaveField("Code", codes.LogDown), HaveField("RetryAfter", Not(BeZero())))))
		submit(job(3, smallStep))
		h.nextBatch()
		Expect(h.responses()).To(ConsistOf(HaveField("Code", codes.LogDown)))
		h.confirmBatch()
		h.advance(time.Second)
		Expect(h.starts()).To(HaveLen(1))
	})

	It("confirms a job that is submitted again, and reports unknown jobs as not found", func() {
		submit(job(1, smallStep))
		h.advance(100 * time.Millisecond)
		submit(job(1, smallStep))
		h.request(msgs.State, nil, "00000000000000ff")
		h.request(msgs.Pending, nil, "")
		h.advance(50 * time.Millisecond)
		Expect(h.responses()).To(HaveExactElements(HaveField("Code", codes.OK), HaveField("Code", codes.OK),
			HaveField("Code", codes.JobNotFound), HaveField("Pending", 1)))
	})

	It("does not exceed the capacity of a VM", func() {
		h.join(0)
		wide := smallStep
		wide.Tasks = 20
		submit(job(1, wide))
		h.advance(time.Second)
		Expect(h.starts()).To(HaveLen(8))
	})

	It("stops the runs of a cancelled job, and responds once the cancellation is stored", func() {
		h.join(0)
		submit(job(1, smallStep))
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

	It("acknowledges a run end only once it is stored, also if it is reported twice", func() {
		h.join(0)
		submit(job(1, smallStep))
		h.advance(100 * time.Millisecond)
		h.out = nil
		end := &msgs.Message{Report: &msgs.Report{VM: "vm-0", Incarnation: 5, Ends: []msgs.RunEnd{{Number: 1, Task: "0000000000000001.0.0.0", Run: 1, Outcome: msgs.Done}}}}
		for range 2 {
			h.leader.Handle(h.now, firstAgentConn, end)
			Expect(h.leader.TakeOutbound()).To(BeEmpty())
		}
		h.request(msgs.State, nil, job(1).ID)
		h.out = h.leader.TakeOutbound()
		Expect(h.responses()).To(ConsistOf(HaveField("State", "running")), "the state in the store")
		h.advance(100 * time.Millisecond)
		acked := collect(h, func(m *msgs.Message) []int64 {
			if m.EndsStored == nil {
				return nil
			}
			return []int64{m.EndsStored.Number}
		})
		Expect(acked).To(HaveEach(int64(1)))
		h.request(msgs.State, nil, job(1).ID)
		h.advance(20 * time.Millisecond)
		Expect(h.responses()).To(ConsistOf(HaveField("State", "completed")))
	})

	It("starts the tasks of a VM that does not contact a new leader on another one, but only after its lease has ended", func() {
		h.join(0)
		submit(job(1, smallStep))
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

	It("removes a VM that has not contacted a new leader for 9 s, and starts its tasks elsewhere", func() {
		h.join(0)
		submit(job(1, smallStep))
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
		submit(job(1, smallStep))
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
		submit(job(1, smallStep))
		h.advance(100 * time.Millisecond)
		next := newHarness(h.records...)
		next.join(0, msgs.RunStatus{Task: "00000000000000ff.0.0.0", Run: 3})
		next.advance(100 * time.Millisecond)
		Expect(next.orders()).To(ConsistOf(And(
			HaveField("Starts", ConsistOf(HaveField("Run", uint32(1)))),
			HaveField("Stops", ConsistOf(HaveField("Run", uint32(3)))),
		)))
	})

	It("asks the agent of a VM that was removed to list its runs again", func() {
		h.join(0)
		h.advance(2 * lead.LeaseDuration)
		h.leases()
		h.requestLease(0, false)
		h.nextBatch()
		Expect(h.leases()).To(ConsistOf(HaveField("Resync", true)))
	})

	It("does not renew leases once the store has not responded for StoreTimeout", func() {
		h.join(0)
		Expect(h.nextBatch()).To(BeFalse())
		Expect(h.leases()).To(HaveLen(1))
		h.now = h.now.Add(2 * time.Second)
		h.nextBatch()
		h.now = h.now.Add(lead.StoreTimeout)
		h.requestLease(0, false)
		h.nextBatch()
		Expect(h.leases()).To(BeEmpty())
	})

	It("requests advice, and starts a task only on a VM with a valid ticket, which it passes on", func() {
		h.join(0)
		h.join(1)
		j := job(1, smallStep)
		j.Queue.Advised = true
		submit(j)
		h.advance(100 * time.Millisecond)
		Expect(h.starts()).To(BeEmpty())
		q := h.leader.AdviceRequest()
		Expect(q.VMs).To(ConsistOf("vm-0", "vm-1"))
		Expect(q.Step).To(Equal("0000000000000001.0.0"))
		Expect(h.leader.AdviceRequest()).To(BeNil(), "one at a time")
		h.leader.Advised(h.now, q, port.Advice{Tickets: map[string]string{"vm-1": "t-1"}, ValidFor: 3 * time.Second}, nil)
		h.advance(100 * time.Millisecond)
		Expect(h.orders()).To(ConsistOf(And(HaveField("VM", "vm-1"), HaveField("Starts", ConsistOf(HaveField("Ticket", "t-1"))))))
	})

	It("delays further starts of a task that workers refuse", func() {
		h.join(0)
		submit(job(1, smallStep))
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
		submit(job(1, gang))
		submit(job(2, gang))
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
		submit(job(1, smallStep))
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
