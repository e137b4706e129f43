package runner_test

import (
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/base/ident"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/sched/runner"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

const lease = 6 * time.Second

func assign(index uint32, cpu uint32) *schema.Assignment {
	return &schema.Assignment{
		Task: &schema.TaskRef{Job: "j", Index: index, Epoch: 1}, Size: &schema.Size{CpuMilli: cpu},
	}
}

func listed(a *schema.Assignment) *schema.WorkerTask {
	return &schema.WorkerTask{Task: a.GetTask(), Size: a.GetSize(), Assignment: a}
}

func id(a *schema.Assignment) ident.Attempt { return ident.AttemptOf(a.GetTask()) }

var _ = Describe("the runner", func() {
	now := time.Unix(1e9, 0)
	var r *runner.Runner

	reply := func(term uint64, as ...*schema.Assignment) *schema.BeatReply {
		return &schema.BeatReply{Leader: true, Term: term, LeaseMs: lease.Milliseconds(), Assignments: as, GrantsHash: 1}
	}
	results := func() []*schema.Result {
		req := &schema.BeatRequest{}
		r.Fill(req)
		return req.GetResults()
	}

	BeforeEach(func() { r = runner.New(&schema.Size{CpuMilli: 2000}) })

	It("starts nothing before the worker has listed its attempts, nor without a lease", func() {
		r.Replied(now, reply(1, assign(0, 1000)))
		_, starts := r.Actions(now)
		Expect(starts).To(BeEmpty())
		r.Listed(now, nil)
		_, starts = r.Actions(now.Add(lease))
		Expect(starts).To(BeEmpty())
		_, starts = r.Actions(now)
		Expect(starts).To(HaveLen(1))
		Expect(starts[0].Lease).To(Equal(lease))
	})

	It("adopts the attempts that the worker still runs after the agent restarted", func() {
		r.Listed(now, []*schema.WorkerTask{listed(assign(7, 1500))})
		r.Replied(now, reply(1, assign(7, 1500), assign(0, 1000)))
		stops, starts := r.Actions(now)
		Expect(stops).To(BeEmpty())
		Expect(starts).To(BeEmpty(), "no free capacity")
		Expect(results()).To(HaveLen(1))
		Expect(results()[0].GetOutcome()).To(Equal(schema.Outcome_OUTCOME_REFUSED))
	})

	It("ignores replies of an older term", func() {
		r.Listed(now, nil)
		r.Replied(now, reply(2))
		r.Replied(now, reply(1, assign(0, 1000)))
		_, starts := r.Actions(now)
		Expect(starts).To(BeEmpty())
		Expect(r.Stats().StaleReplies).To(BeEquivalentTo(1))
	})

	It("evicts batch attempts before the lease ends, but not replicas", func() {
		batch, service := assign(0, 500), assign(1, 500)
		service.Service = true
		r.Listed(now, []*schema.WorkerTask{listed(batch), listed(service)})
		r.Replied(now, reply(1, batch, service))
		stops, _ := r.Actions(now.Add(lease - 2*time.Second))
		Expect(stops).To(BeEmpty())
		stops, _ = r.Actions(now.Add(lease - time.Second))
		Expect(stops).To(ConsistOf(runner.Stop{Attempt: id(batch), Mode: port.Checkpoint}))
		r.Stopped(id(batch), []byte("half"), nil)
		Expect(results()[0].GetCheckpoint()).To(Equal([]byte("half")))
	})

	It("keeps an ended attempt until the log has its result, and releases its resources meanwhile", func() {
		a := assign(0, 2000)
		r.Replied(now, reply(1, a))
		ended := listed(a)
		ended.Ended = true
		r.Listed(now, []*schema.WorkerTask{ended})
		Expect(r.Used().GetCpuMilli()).To(BeZero())
		r.Replied(now, reply(1)) // a new leader does not know of the result yet
		stops, _ := r.Actions(now)
		Expect(stops).To(BeEmpty())
		ack := reply(1)
		ack.Acknowledged = []*schema.TaskRef{a.GetTask()}
		r.Replied(now, ack)
		stops, _ = r.Actions(now)
		Expect(stops).To(ConsistOf(runner.Stop{Attempt: id(a), Mode: port.Confirm}))
	})

	It("discards the output of an ended attempt whose result is stale", func() {
		a := assign(0, 1000)
		ended := listed(a)
		ended.Ended = true
		r.Listed(now, []*schema.WorkerTask{ended})
		stale := reply(1)
		stale.Stale = []*schema.TaskRef{a.GetTask()}
		r.Replied(now, stale)
		stops, _ := r.Actions(now)
		Expect(stops).To(ConsistOf(runner.Stop{Attempt: id(a), Mode: port.Discard}))
	})

	It("reports an attempt as completed that ended before it could be evicted", func() {
		a := assign(0, 1000)
		r.Listed(now, []*schema.WorkerTask{listed(a)})
		evict := assign(0, 1000)
		evict.Evict = true
		r.Replied(now, reply(1, evict))
		stops, _ := r.Actions(now)
		Expect(stops).To(HaveLen(1))
		r.Stopped(id(a), nil, port.ErrEnded)
		ended := listed(a)
		ended.Ended = true
		r.Listed(now, []*schema.WorkerTask{ended})
		Expect(results()[0].GetOutcome()).To(Equal(schema.Outcome_OUTCOME_COMPLETED))
		stops, _ = r.Actions(now)
		Expect(stops).To(BeEmpty(), "the attempt stays until the log has its result")
	})

	It("stops an attempt that may still start after its start timed out", func() {
		a := assign(0, 1000)
		r.Listed(now, nil)
		r.Replied(now, reply(1, a))
		_, starts := r.Actions(now)
		Expect(starts).To(HaveLen(1))
		r.Started(id(a), false, errors.New("timeout"))
		stops, _ := r.Actions(now)
		Expect(stops).To(HaveLen(1))
		r.Stopped(id(a), nil, nil)
		Expect(results()[0].GetOutcome()).To(Equal(schema.Outcome_OUTCOME_EVICTED))
		Expect(r.Used().GetCpuMilli()).To(BeZero())
	})

	It("stops an attempt that is no longer assigned before it starts one that needs its capacity", func() {
		old, next := assign(0, 2000), assign(1, 2000)
		r.Listed(now, []*schema.WorkerTask{listed(old)})
		r.Replied(now, reply(1, next))
		stops, starts := r.Actions(now)
		Expect(stops).To(ConsistOf(runner.Stop{Attempt: id(old), Mode: port.Discard}))
		Expect(starts).To(BeEmpty())
		Expect(results()).To(BeEmpty())
		r.Stopped(id(old), nil, nil)
		_, starts = r.Actions(now)
		Expect(starts).To(HaveLen(1))
	})

	// An eviction may reach the VM together with the assignment. Without a result the leader
	// would wait for it, and the task would run nowhere.
	It("refuses an attempt that is evicted before it was started", func() {
		a := assign(0, 1000)
		a.Evict = true
		r.Listed(now, nil)
		r.Replied(now, reply(1, a))
		stops, starts := r.Actions(now)
		Expect(stops).To(BeEmpty())
		Expect(starts).To(BeEmpty())
		Expect(results()).To(HaveLen(1))
		Expect(results()[0].GetOutcome()).To(Equal(schema.Outcome_OUTCOME_REFUSED))
	})

	// The leader waits for the lease to expire before it places what a VM does not report.
	It("stops the replicas of a VM that leaves once told to, and reports them as evicted", func() {
		a := assign(0, 1000)
		a.Service = true
		r.Listed(now, []*schema.WorkerTask{listed(a)})
		r.Replied(now, reply(1, a))
		r.Leave()
		stops, _ := r.Actions(now)
		Expect(stops).To(BeEmpty())
		r.StopReplicas()
		Expect(r.Idle()).To(BeFalse())
		stops, _ = r.Actions(now)
		Expect(stops).To(HaveLen(1))
		r.Stopped(stops[0].Attempt, nil, nil)
		Expect(results()).To(HaveLen(1))
		Expect(results()[0].GetOutcome()).To(Equal(schema.Outcome_OUTCOME_EVICTED))
	})

	It("stops its batch attempts when the VM leaves, and refuses new ones", func() {
		a := assign(0, 1000)
		r.Listed(now, []*schema.WorkerTask{listed(a)})
		r.Replied(now, reply(1, a, assign(1, 500)))
		r.Leave()
		Expect(r.Idle()).To(BeFalse())
		stops, starts := r.Actions(now)
		Expect(stops).To(HaveLen(1))
		Expect(starts).To(BeEmpty())
		Expect(results()[0].GetOutcome()).To(Equal(schema.Outcome_OUTCOME_REFUSED))
	})
})
