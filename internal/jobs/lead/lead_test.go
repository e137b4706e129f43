package lead_test

import (
	"fmt"
	"log/slog"
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
	b := &harness{now: time.Unix(1000, 0)}
	state, faults := table.Load(records)
	Expect(faults).To(BeEmpty())
	b.leader = lead.New(b.now, epoch, state, model.Config{}, slog.New(slog.DiscardHandler))
	return b
}

// join sends the first lease request of VM n's agent, which lists its runs.
func (b *harness) join(n int, runs ...msgs.RunStatus) { b.requestLease(n, true, runs...) }

// requestLease sends a lease request of VM n's agent, which lists its runs.
func (b *harness) requestLease(n int, synced bool, runs ...msgs.RunStatus) {
	b.seq++
	b.leader.Handle(b.now, uint64(firstAgentConn+n), &msgs.Message{LeaseRequest: &msgs.LeaseRequest{
		Seq: b.seq, Synced: synced, RunsListed: true, Runs: runs, VM: msgs.VM{
			ID: fmt.Sprintf("vm-%d", n), Node: fmt.Sprintf("node-%d", n), Life: 5, Service: "registry",
			Capacity: place.Resources{CPU: 16000, Memory: 64000},
		},
	}})
}

// request sends a caller's request.
func (b *harness) request(verb msgs.Verb, work *model.Job, id model.ID) {
	b.seq++
	b.leader.Handle(b.now, 0, &msgs.Message{JobRequest: &msgs.JobRequest{Seq: b.seq, Verb: verb, Queue: "q", Job: id, Spec: work}})
}

// advance lets time pass, while the store confirms each batch at once.
func (b *harness) advance(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); b.now = b.now.Add(20 * time.Millisecond) {
		if b.nextBatch() {
			b.confirmBatch()
		}
	}
}

// nextBatch sends the leader's next batch to the store and reports whether there was one.
func (b *harness) nextBatch() bool {
	b.leader.Tick(b.now)
	batch, err := b.leader.NextBatch(b.now)
	Expect(err).NotTo(HaveOccurred())
	b.out = append(b.out, b.leader.TakeOutbound()...)
	if batch == nil {
		return false
	}
	b.records = append(b.records, batch.Records...)
	return true
}

// confirmBatch confirms the batch in flight.
func (b *harness) confirmBatch() {
	b.leader.Stored(b.now)
	b.out = append(b.out, b.leader.TakeOutbound()...)
}

// responses returns the responses to callers among the messages in out. Like starts, stops,
// orders and leases, it empties out.
func (b *harness) responses() []msgs.JobResponse {
	return collect(b, func(m *msgs.Message) []msgs.JobResponse {
		if m.JobResponse == nil {
			return nil
		}
		return []msgs.JobResponse{*m.JobResponse}
	})
}

func (b *harness) starts() []msgs.Start {
	return collect(b, func(m *msgs.Message) []msgs.Start {
		if m.Orders == nil {
			return nil
		}
		return m.Orders.Starts
	})
}

func (b *harness) orders() []msgs.Orders {
	return collect(b, func(m *msgs.Message) []msgs.Orders {
		if m.Orders == nil {
			return nil
		}
		return []msgs.Orders{*m.Orders}
	})
}

func (b *harness) leases() []msgs.Lease {
	return collect(b, func(m *msgs.Message) []msgs.Lease {
		if m.Lease == nil {
			return nil
		}
		return []msgs.Lease{*m.Lease}
	})
}

// collect returns the parts of the messages in out that of selects, and empties out.
func collect[T any](b *harness, of func(*msgs.Message) []T) []T {
	var list []T
	for _, f := range b.out {
		list = append(list, of(f.Message)...)
	}
	b.out = nil
	return list
}

func job(n int, steps ...model.Step) *model.Job {
	return &model.Job{
		ID: model.ID(fmt.Sprintf("%016x", n)), Payload: "work", Steps: steps,
		Queue: model.Queue{Name: "q", Service: "registry", Priority: 1, MaxAttempts: 3, Stretch: 2, TargetLatency: time.Second},
	}
}

var smallStep = model.Step{Tasks: 1, Size: place.Resources{CPU: 2000, Memory: 1000}, Estimate: time.Second}

var _ = Describe("A leader", func() {
	var b *harness
	BeforeEach(func() { b = newHarness() })

	submit := func(j *model.Job) { b.request(msgs.Submit, j, j.ID) }

	It("responds and sends orders only once the changes are stored", func() {
		b.join(0)
		submit(job(1, smallStep))
		b.now = b.now.Add(20 * time.Millisecond)
		Expect(b.nextBatch()).To(BeTrue())
		Expect(b.responses()).To(BeEmpty())
		b.confirmBatch()
		out := b.out
		Expect(b.responses()).To(ConsistOf(HaveField("Code", codes.OK)))
		b.out = out
		Expect(b.starts()).To(ConsistOf(HaveField("Run", uint32(1))))
	})

	It("refuses new jobs at once while the store does not respond, and never runs them", func() {
		b.join(0)
		submit(job(1, smallStep))
		b.now = b.now.Add(20 * time.Millisecond)
		Expect(b.nextBatch()).To(BeTrue())
		submit(job(2, smallStep))
		b.now = b.now.Add(time.Second)
		b.nextBatch()
		Expect(b.responses()).To(ConsistOf(And(HaveField("Code", codes.LogDown), HaveField("RetryAfter", Not(BeZero())))))
		submit(job(3, smallStep))
		b.nextBatch()
		Expect(b.responses()).To(ConsistOf(HaveField("Code", codes.LogDown)))
		b.confirmBatch()
		b.advance(time.Second)
		Expect(b.starts()).To(HaveLen(1))
	})

	It("confirms a job that is submitted again, and reports unknown jobs as not found", func() {
		submit(job(1, smallStep))
		b.advance(100 * time.Millisecond)
		submit(job(1, smallStep))
		b.request(msgs.State, nil, "00000000000000ff")
		b.request(msgs.Pending, nil, "")
		b.advance(50 * time.Millisecond)
		Expect(b.responses()).To(HaveExactElements(HaveField("Code", codes.OK), HaveField("Code", codes.OK),
			HaveField("Code", codes.JobNotFound), HaveField("Pending", 1)))
	})

	It("does not exceed the capacity of a VM", func() {
		b.join(0)
		wide := smallStep
		wide.Tasks = 20
		submit(job(1, wide))
		b.advance(time.Second)
		Expect(b.starts()).To(HaveLen(8))
	})

	It("stops the runs of a cancelled job, and responds once the cancellation is stored", func() {
		b.join(0)
		submit(job(1, smallStep))
		b.advance(100 * time.Millisecond)
		b.out = nil
		b.request(msgs.Cancel, nil, job(1).ID)
		b.now = b.now.Add(20 * time.Millisecond)
		Expect(b.nextBatch()).To(BeTrue())
		Expect(b.out).To(BeEmpty())
		b.confirmBatch()
		out := b.out
		Expect(b.responses()).To(ConsistOf(HaveField("Code", codes.OK)))
		b.out = out
		Expect(b.orders()).To(ConsistOf(HaveField("Stops", HaveLen(1))))
	})

	It("acknowledges a run end only once it is stored, also if it is reported twice", func() {
		b.join(0)
		submit(job(1, smallStep))
		b.advance(100 * time.Millisecond)
		b.out = nil
		end := &msgs.Message{Report: &msgs.Report{VM: "vm-0", Life: 5, Ends: []msgs.RunEnd{{Number: 1, Task: "0000000000000001.0.0.0", Run: 1, Outcome: msgs.Done}}}}
		for range 2 {
			b.leader.Handle(b.now, firstAgentConn, end)
			Expect(b.leader.TakeOutbound()).To(BeEmpty())
		}
		b.request(msgs.State, nil, job(1).ID)
		b.out = b.leader.TakeOutbound()
		Expect(b.responses()).To(ConsistOf(HaveField("State", "running")), "the state in the store")
		b.advance(100 * time.Millisecond)
		acked := collect(b, func(m *msgs.Message) []int64 {
			if m.EndsStored == nil {
				return nil
			}
			return []int64{m.EndsStored.Number}
		})
		Expect(acked).To(HaveEach(int64(1)))
		b.request(msgs.State, nil, job(1).ID)
		b.advance(20 * time.Millisecond)
		Expect(b.responses()).To(ConsistOf(HaveField("State", "completed")))
	})

	It("starts the tasks of a VM without contact elsewhere only after its lease has ended", func() {
		b.join(0)
		submit(job(1, smallStep))
		b.advance(100 * time.Millisecond)
		next := newHarness(b.records...)
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

	It("removes a VM that never contacts a new leader within 9 s", func() {
		b.join(0)
		submit(job(1, smallStep))
		b.advance(100 * time.Millisecond)
		next := newHarness(b.records...)
		for range 9 {
			next.join(1)
			next.advance(time.Second)
		}
		Expect(next.starts()).NotTo(BeEmpty())
	})

	It("starts tasks elsewhere at once if a newer worker replaced theirs on the same node", func() {
		b.join(0)
		submit(job(1, smallStep))
		b.advance(100 * time.Millisecond)
		next := newHarness(b.records...)
		next.leader.Handle(next.now, firstAgentConn, &msgs.Message{LeaseRequest: &msgs.LeaseRequest{Seq: 1, Synced: true, RunsListed: true, VM: msgs.VM{
			ID: "vm-9", Node: "node-0", Life: 6, Service: "registry", Capacity: place.Resources{CPU: 16000, Memory: 64000},
		}}})
		next.advance(200 * time.Millisecond)
		Expect(next.starts()).To(ConsistOf(HaveField("Run", uint32(2))))
	})

	It("orders missing runs again, and stops runs that are not wanted", func() {
		b.join(0)
		submit(job(1, smallStep))
		b.advance(100 * time.Millisecond)
		next := newHarness(b.records...)
		next.join(0, msgs.RunStatus{Task: "00000000000000ff.0.0.0", Run: 3})
		next.advance(100 * time.Millisecond)
		Expect(next.orders()).To(ConsistOf(And(
			HaveField("Starts", ConsistOf(HaveField("Run", uint32(1)))),
			HaveField("Stops", ConsistOf(HaveField("Run", uint32(3)))),
		)))
	})

	It("asks the agent of a VM that was removed to list its runs again", func() {
		b.join(0)
		b.advance(2 * lead.LeaseDuration)
		b.leases()
		b.requestLease(0, false)
		b.nextBatch()
		Expect(b.leases()).To(ConsistOf(HaveField("Resync", true)))
	})

	It("does not renew leases once the store has not responded for StoreTimeout", func() {
		b.join(0)
		Expect(b.nextBatch()).To(BeFalse())
		Expect(b.leases()).To(HaveLen(1))
		b.now = b.now.Add(2 * time.Second)
		b.nextBatch()
		b.now = b.now.Add(lead.StoreTimeout)
		b.requestLease(0, false)
		b.nextBatch()
		Expect(b.leases()).To(BeEmpty())
	})

	It("requests advice, and starts a task only on a VM with a valid ticket, which it passes on", func() {
		b.join(0)
		b.join(1)
		j := job(1, smallStep)
		j.Queue.Advised = true
		submit(j)
		b.advance(100 * time.Millisecond)
		Expect(b.starts()).To(BeEmpty())
		q := b.leader.AdviceRequest()
		Expect(q.VMs).To(ConsistOf("vm-0", "vm-1"))
		Expect(q.Step).To(Equal("0000000000000001.0.0"))
		Expect(b.leader.AdviceRequest()).To(BeNil(), "one at a time")
		b.leader.Advised(b.now, q, port.Advice{Tickets: map[string]string{"vm-1": "t-1"}, ValidFor: 3 * time.Second}, nil)
		b.advance(100 * time.Millisecond)
		Expect(b.orders()).To(ConsistOf(And(HaveField("VM", "vm-1"), HaveField("Starts", ConsistOf(HaveField("Ticket", "t-1"))))))
	})

	It("delays further starts of a task that workers refuse", func() {
		b.join(0)
		submit(job(1, smallStep))
		starts := 0
		for range 100 {
			b.advance(40 * time.Millisecond)
			b.requestLease(0, false)
			for _, s := range b.starts() {
				starts++
				b.leader.Handle(b.now, firstAgentConn, &msgs.Message{Report: &msgs.Report{VM: "vm-0", Life: 5, Ends: []msgs.RunEnd{
					{Task: s.Task, Run: s.Run, Outcome: msgs.Lost, Reason: port.ErrWorkerUnhealthy.Error()},
				}}})
			}
		}
		Expect(starts).To(BeNumerically("<", 10))
	})

	It("starts a gang together, releases all its resources at its single end, and resumes all members from one checkpoint", func() {
		b.join(0)
		b.join(1)
		gang := model.Step{Tasks: 4, Gang: true, Checkpoints: true, Size: place.Resources{CPU: 7000, Memory: 100}, Estimate: time.Minute}
		submit(job(1, gang))
		submit(job(2, gang))
		b.advance(100 * time.Millisecond)
		Expect(b.starts()).To(And(HaveLen(4), HaveEach(HaveField("Run", uint32(1)))), "no capacity for the other gang")
		var runs []msgs.RunStatus
		b.requestLease(0, false, append(runs, msgs.RunStatus{Task: "0000000000000001.0.0.1", Run: 1, Checkpoint: "0abc"})...)
		var ends []msgs.RunEnd
		for i := range 4 {
			ends = append(ends, msgs.RunEnd{Task: fmt.Sprintf("0000000000000001.0.0.%d", i), Run: 1, Outcome: msgs.Lost})
		}
		for n := range 2 {
			b.leader.Handle(b.now, uint64(firstAgentConn+n), &msgs.Message{Report: &msgs.Report{VM: fmt.Sprintf("vm-%d", n), Life: 5, Ends: ends}})
		}
		b.advance(100 * time.Millisecond)
		again := b.starts()
		Expect(again).To(HaveLen(4))
		Expect(again).To(HaveEach(HaveField("Run", again[0].Run)))
		Expect(again).To(HaveEach(HaveField("Checkpoint", again[0].Checkpoint)))
		done := msgs.RunEnd{Number: 9, Task: again[0].Task, Run: again[0].Run, Outcome: msgs.Done}
		for n := range 2 {
			b.leader.Handle(b.now, uint64(firstAgentConn+n), &msgs.Message{Report: &msgs.Report{VM: fmt.Sprintf("vm-%d", n), Life: 5, Ends: []msgs.RunEnd{done}}})
		}
		b.advance(100 * time.Millisecond)
		Expect(b.starts()).To(HaveLen(4), "the other gang")
	})

	It("moves a task away from a VM on which it makes no progress", func() {
		b.join(0)
		submit(job(1, smallStep))
		b.advance(100 * time.Millisecond)
		b.join(1)
		b.out = nil
		for range 8 {
			b.requestLease(0, false, msgs.RunStatus{Task: "0000000000000001.0.0.0", Run: 1, Percent: 10})
			b.requestLease(1, false)
			b.advance(400 * time.Millisecond)
		}
		Expect(b.stops()).NotTo(BeEmpty())
	})
})
