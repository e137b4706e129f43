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
	// conns of agents begin here, callers have conn 0.
	firstConn = 10
)

// bench is a leader with a store and VMs that the spec plays.
type bench struct {
	leader  *lead.Leader
	now     time.Time
	records []port.Record
	seq     uint64
	out     []lead.OutboundMessage
}

func newBench(records ...port.Record) *bench {
	b := &bench{now: time.Unix(1000, 0)}
	state, faults := table.Load(records)
	Expect(faults).To(BeEmpty())
	b.leader = lead.New(b.now, epoch, state, model.Config{}, slog.New(slog.DiscardHandler))
	return b
}

// join lets a VM's agent say what runs.
func (b *bench) join(n int, rows ...msgs.RunStatus) { b.beat(n, true, rows...) }

func (b *bench) beat(n int, synced bool, rows ...msgs.RunStatus) {
	b.seq++
	b.leader.Handle(b.now, uint64(firstConn+n), &msgs.Message{LeaseRequest: &msgs.LeaseRequest{
		Seq: b.seq, Synced: synced, RunsListed: true, Runs: rows, VM: msgs.VM{
			ID: fmt.Sprintf("vm-%d", n), Node: fmt.Sprintf("node-%d", n), Incarnation: 5, Service: "registry",
			Capacity: place.Resources{CPU: 16000, Memory: 64000},
		},
	}})
}

func (b *bench) ask(verb msgs.Verb, work *model.Job, id model.ID) {
	b.seq++
	b.leader.Handle(b.now, 0, &msgs.Message{JobRequest: &msgs.JobRequest{Seq: b.seq, Verb: verb, Queue: "q", Job: id, Spec: work}})
}

// pass lets time pass, and the store take what there is.
func (b *bench) pass(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); b.now = b.now.Add(20 * time.Millisecond) {
		if b.take() {
			b.stored()
		}
	}
}

// take lets the leader hand a batch to the store.
func (b *bench) take() bool {
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

func (b *bench) stored() {
	b.leader.Stored(b.now)
	b.out = append(b.out, b.leader.TakeOutbound()...)
}

// answers, starts, stops, paces and leases return what was said since the last call.
func (b *bench) answers() []msgs.JobResponse {
	return collect(b, func(m *msgs.Message) []msgs.JobResponse {
		if m.JobResponse == nil {
			return nil
		}
		return []msgs.JobResponse{*m.JobResponse}
	})
}

func (b *bench) starts() []msgs.Start {
	return collect(b, func(m *msgs.Message) []msgs.Start {
		if m.Orders == nil {
			return nil
		}
		return m.Orders.Starts
	})
}

func (b *bench) orders() []msgs.Orders {
	return collect(b, func(m *msgs.Message) []msgs.Orders {
		if m.Orders == nil {
			return nil
		}
		return []msgs.Orders{*m.Orders}
	})
}

func (b *bench) leases() []msgs.Lease {
	return collect(b, func(m *msgs.Message) []msgs.Lease {
		if m.Lease == nil {
			return nil
		}
		return []msgs.Lease{*m.Lease}
	})
}

func collect[T any](b *bench, of func(*msgs.Message) []T) []T {
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

var small = model.Step{Tasks: 1, Size: place.Resources{CPU: 2000, Memory: 1000}, Estimate: time.Second}

var _ = Describe("A leader", func() {
	var b *bench
	BeforeEach(func() { b = newBench() })

	submit := func(j *model.Job) { b.ask(msgs.Submit, j, j.ID) }

	It("accepts and orders only once the store has it", func() {
		b.join(0)
		submit(job(1, small))
		b.now = b.now.Add(20 * time.Millisecond)
		Expect(b.take()).To(BeTrue())
		Expect(b.answers()).To(BeEmpty())
		b.stored()
		out := b.out
		Expect(b.answers()).To(ConsistOf(HaveField("Code", codes.OK)))
		b.out = out
		Expect(b.starts()).To(ConsistOf(HaveField("Run", uint32(1))))
	})

	It("refuses new work at once while the store is silent, and it never runs", func() {
		b.join(0)
		submit(job(1, small))
		b.now = b.now.Add(20 * time.Millisecond)
		Expect(b.take()).To(BeTrue())
		submit(job(2, small))
		b.now = b.now.Add(time.Second)
		b.take()
		Expect(b.answers()).To(ConsistOf(And(HaveField("Code", codes.LogDown), HaveField("RetryAfter", Not(BeZero())))))
		submit(job(3, small))
		b.take()
		Expect(b.answers()).To(ConsistOf(HaveField("Code", codes.LogDown)))
		b.stored()
		b.pass(time.Second)
		Expect(b.starts()).To(HaveLen(1))
	})

	It("answers for a job that is handed in again, and knows no other", func() {
		submit(job(1, small))
		b.pass(100 * time.Millisecond)
		submit(job(1, small))
		b.ask(msgs.State, nil, "00000000000000ff")
		b.ask(msgs.Pending, nil, "")
		b.pass(50 * time.Millisecond)
		Expect(b.answers()).To(HaveExactElements(HaveField("Code", codes.OK), HaveField("Code", codes.OK),
			HaveField("Code", codes.JobNotFound), HaveField("Pending", 1)))
	})

	It("gives no VM more than it has", func() {
		b.join(0)
		wide := small
		wide.Tasks = 20
		submit(job(1, wide))
		b.pass(time.Second)
		Expect(b.starts()).To(HaveLen(8))
	})

	It("stops what was cancelled, and acknowledges once that lasts", func() {
		b.join(0)
		submit(job(1, small))
		b.pass(100 * time.Millisecond)
		b.out = nil
		b.ask(msgs.Cancel, nil, job(1).ID)
		b.now = b.now.Add(20 * time.Millisecond)
		Expect(b.take()).To(BeTrue())
		Expect(b.out).To(BeEmpty())
		b.stored()
		out := b.out
		Expect(b.answers()).To(ConsistOf(HaveField("Code", codes.OK)))
		b.out = out
		Expect(b.orders()).To(ConsistOf(HaveField("Stops", HaveLen(1))))
	})

	It("acknowledges an end only once it is stored, also when it comes twice", func() {
		b.join(0)
		submit(job(1, small))
		b.pass(100 * time.Millisecond)
		b.out = nil
		end := &msgs.Message{Report: &msgs.Report{VM: "vm-0", Incarnation: 5, Ends: []msgs.RunEnd{{Number: 1, Task: "0000000000000001.0.0.0", Run: 1, Outcome: msgs.Done}}}}
		for range 2 {
			b.leader.Handle(b.now, firstConn, end)
			Expect(b.leader.TakeOutbound()).To(BeEmpty())
		}
		b.ask(msgs.State, nil, job(1).ID)
		b.out = b.leader.TakeOutbound()
		Expect(b.answers()).To(ConsistOf(HaveField("State", "running")), "what the store holds")
		b.pass(100 * time.Millisecond)
		acked := collect(b, func(m *msgs.Message) []int64 {
			if m.EndsStored == nil {
				return nil
			}
			return []int64{m.EndsStored.Number}
		})
		Expect(acked).To(HaveEach(int64(1)))
		b.ask(msgs.State, nil, job(1).ID)
		b.pass(20 * time.Millisecond)
		Expect(b.answers()).To(ConsistOf(HaveField("State", "completed")))
	})

	It("waits for the lease of a VM that it does not hear before it starts its tasks elsewhere", func() {
		b.join(0)
		submit(job(1, small))
		b.pass(100 * time.Millisecond)
		later := newBench(b.records...)
		hear := func(d time.Duration) {
			for range d / time.Second {
				later.join(1)
				later.pass(time.Second)
			}
		}
		hear(lead.StoreTimeout + lead.LeaseDuration)
		Expect(later.starts()).To(BeEmpty())
		hear(2 * time.Second)
		Expect(later.starts()).To(And(Not(BeEmpty()), HaveEach(HaveField("Run", uint32(2)))))
	})

	It("gives up a VM that a new leader never hears within 9 s", func() {
		b.join(0)
		submit(job(1, small))
		b.pass(100 * time.Millisecond)
		later := newBench(b.records...)
		for range 9 {
			later.join(1)
			later.pass(time.Second)
		}
		Expect(later.starts()).NotTo(BeEmpty())
	})

	It("starts tasks elsewhere at once whose worker was replaced beside its agent", func() {
		b.join(0)
		submit(job(1, small))
		b.pass(100 * time.Millisecond)
		later := newBench(b.records...)
		later.leader.Handle(later.now, firstConn, &msgs.Message{LeaseRequest: &msgs.LeaseRequest{Seq: 1, Synced: true, RunsListed: true, VM: msgs.VM{
			ID: "vm-9", Node: "node-0", Incarnation: 6, Service: "registry", Capacity: place.Resources{CPU: 16000, Memory: 64000},
		}}})
		later.pass(200 * time.Millisecond)
		Expect(later.starts()).To(ConsistOf(HaveField("Run", uint32(2))))
	})

	It("asks for runs anew that a VM does not have, and stops those that nobody wants", func() {
		b.join(0)
		submit(job(1, small))
		b.pass(100 * time.Millisecond)
		later := newBench(b.records...)
		later.join(0, msgs.RunStatus{Task: "00000000000000ff.0.0.0", Run: 3})
		later.pass(100 * time.Millisecond)
		Expect(later.orders()).To(ConsistOf(And(
			HaveField("Starts", ConsistOf(HaveField("Run", uint32(1)))),
			HaveField("Stops", ConsistOf(HaveField("Run", uint32(3)))),
		)))
	})

	It("asks an agent anew whose VM it has given up", func() {
		b.join(0)
		b.pass(2 * lead.LeaseDuration)
		b.leases()
		b.beat(0, false)
		b.take()
		Expect(b.leases()).To(ConsistOf(HaveField("Resync", true)))
	})

	It("renews no lease once the store has been silent for long", func() {
		b.join(0)
		Expect(b.take()).To(BeFalse())
		Expect(b.leases()).To(HaveLen(1))
		b.now = b.now.Add(2 * time.Second)
		b.take()
		b.now = b.now.Add(lead.StoreTimeout)
		b.beat(0, false)
		b.take()
		Expect(b.leases()).To(BeEmpty())
	})

	It("asks for advice, and starts only where a ticket is valid, with it", func() {
		b.join(0)
		b.join(1)
		j := job(1, small)
		j.Queue.Advised = true
		submit(j)
		b.pass(100 * time.Millisecond)
		Expect(b.starts()).To(BeEmpty())
		q := b.leader.AdviceRequest()
		Expect(q.VMs).To(ConsistOf("vm-0", "vm-1"))
		Expect(q.Step).To(Equal("0000000000000001.0.0"))
		Expect(b.leader.AdviceRequest()).To(BeNil(), "one at a time")
		b.leader.Advised(b.now, q, port.Advice{Tickets: map[string]string{"vm-1": "t-1"}, ValidFor: 3 * time.Second}, nil)
		b.pass(100 * time.Millisecond)
		Expect(b.orders()).To(ConsistOf(And(HaveField("VM", "vm-1"), HaveField("Starts", ConsistOf(HaveField("Ticket", "t-1"))))))
	})

	It("spaces the starts of a task that workers refuse", func() {
		b.join(0)
		submit(job(1, small))
		starts := 0
		for range 100 {
			b.pass(40 * time.Millisecond)
			b.beat(0, false)
			for _, s := range b.starts() {
				starts++
				b.leader.Handle(b.now, firstConn, &msgs.Message{Report: &msgs.Report{VM: "vm-0", Incarnation: 5, Ends: []msgs.RunEnd{
					{Task: s.Task, Run: s.Run, Outcome: msgs.Lost, Reason: port.ErrWorkerUnhealthy.Error()},
				}}})
			}
		}
		Expect(starts).To(BeNumerically("<", 10))
	})

	It("starts a gang as one, frees all its room at its one end, and resumes it from one value", func() {
		b.join(0)
		b.join(1)
		gang := model.Step{Tasks: 4, Gang: true, Checkpoints: true, Size: place.Resources{CPU: 7000, Memory: 100}, Estimate: time.Minute}
		submit(job(1, gang))
		submit(job(2, gang))
		b.pass(100 * time.Millisecond)
		Expect(b.starts()).To(And(HaveLen(4), HaveEach(HaveField("Run", uint32(1)))), "the other gang has no room")
		var rows []msgs.RunStatus
		b.beat(0, false, append(rows, msgs.RunStatus{Task: "0000000000000001.0.0.1", Run: 1, Checkpoint: "0abc"})...)
		var ends []msgs.RunEnd
		for i := range 4 {
			ends = append(ends, msgs.RunEnd{Task: fmt.Sprintf("0000000000000001.0.0.%d", i), Run: 1, Outcome: msgs.Lost})
		}
		for n := range 2 {
			b.leader.Handle(b.now, uint64(firstConn+n), &msgs.Message{Report: &msgs.Report{VM: fmt.Sprintf("vm-%d", n), Incarnation: 5, Ends: ends}})
		}
		b.pass(100 * time.Millisecond)
		again := b.starts()
		Expect(again).To(HaveLen(4))
		Expect(again).To(HaveEach(HaveField("Run", again[0].Run)))
		Expect(again).To(HaveEach(HaveField("Checkpoint", again[0].Checkpoint)))
		done := msgs.RunEnd{Number: 9, Task: again[0].Task, Run: again[0].Run, Outcome: msgs.Done}
		for n := range 2 {
			b.leader.Handle(b.now, uint64(firstConn+n), &msgs.Message{Report: &msgs.Report{VM: fmt.Sprintf("vm-%d", n), Incarnation: 5, Ends: []msgs.RunEnd{done}}})
		}
		b.pass(100 * time.Millisecond)
		Expect(b.starts()).To(HaveLen(4), "the other gang")
	})

	It("moves a task away from a VM on which it stands still", func() {
		b.join(0)
		submit(job(1, small))
		b.pass(100 * time.Millisecond)
		b.join(1)
		b.out = nil
		for range 8 {
			b.beat(0, false, msgs.RunStatus{Task: "0000000000000001.0.0.0", Run: 1, Percent: 10})
			b.beat(1, false)
			b.pass(400 * time.Millisecond)
		}
		Expect(b.stops()).NotTo(BeEmpty())
	})
})
