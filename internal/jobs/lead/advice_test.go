package lead_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/lead"
	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

// advised drives a leader whose queues need advice, beside an advisor with a policy.
type advised struct {
	*harness
	vms int
	// allows is the policy.
	allows func(id model.ID, vm string) bool
	// validFor is how long tickets are valid.
	validFor time.Duration
	// request is the one that the advisor decides, answered when it has.
	request  *lead.AdviceRequest
	answerAt time.Time
	// calls holds the jobs of all requests in order, named the number of VMs in each.
	calls []model.ID
	named []int
	// startedAt holds when each job first started a task.
	startedAt map[model.ID]time.Time
}

func newAdvised(vms int, allows func(id model.ID, vm string) bool) *advised {
	a := &advised{harness: newHarness(), vms: vms, allows: allows, validFor: 3 * time.Second, startedAt: map[model.ID]time.Time{}}
	for n := range vms {
		a.join(n)
	}
	return a
}

// The time that the advisor takes for a request, and for each VM in it.
const decideTime, periodTime = 100 * time.Millisecond, 20 * time.Millisecond

// advise lets the advisor answer its request if that is due, and take the next one.
func (a *advised) advise() {
	if a.request != nil && !a.now.Before(a.answerAt) {
		advice := port.Advice{Tickets: map[string]string{}, ValidFor: a.validFor}
		for _, id := range a.request.VMs {
			if a.allows(a.request.Key.Job, id) {
				advice.Tickets[id] = fmt.Sprintf("%s on %s", a.request.Key.Job, id)
			}
		}
		a.leader.Advised(a.now, a.request, advice, nil)
		a.request = nil
	}
	if a.request != nil {
		return
	}
	if a.request = a.leader.AdviceRequest(); a.request != nil {
		a.answerAt = a.now.Add(decideTime + time.Duration(len(a.request.VMs))*periodTime)
		a.calls, a.named = append(a.calls, a.request.Key.Job), append(a.named, len(a.request.VMs))
	}
}

// simulate lets time pass. Tasks that start are done at the next step, so that VMs stay free.
func (a *advised) simulate(d time.Duration) {
	for end := a.now.Add(d); a.now.Before(end); {
		for n := range a.vms {
			a.requestLease(n, false)
		}
		a.advise()
		a.advance(20 * time.Millisecond)
		for _, o := range a.orders() {
			report := &msgs.Report{VM: o.VM, Incarnation: o.Incarnation}
			for _, s := range o.Starts {
				id := model.JobOf(s.Task)
				Expect(s.Ticket).To(Equal(fmt.Sprintf("%s on %s", id, o.VM)))
				if _, ok := a.startedAt[id]; !ok {
					a.startedAt[id] = a.now
				}
				report.Ends = append(report.Ends, msgs.RunEnd{Number: int64(a.seq), Task: s.Task, Run: s.Run, Outcome: msgs.Done})
			}
			a.leader.Handle(a.now, uint64(firstAgentConn)+vmNumber(o.VM), &msgs.Message{Report: report})
		}
	}
}

// vmNumber returns the number of a VM of vmInfo.
func vmNumber(id string) uint64 {
	var n uint64
	_, err := fmt.Sscanf(id, "vm-%d", &n)
	Expect(err).NotTo(HaveOccurred())
	return n
}

// submitAdvised submits job n to a queue that needs advice.
func (a *advised) submitAdvised(n, priority int, steps ...model.Step) model.ID {
	j := job(n, steps...)
	j.Queue.Priority, j.Queue.Advised = priority, true
	a.submit(j)
	return j.ID
}

// callsFor counts the requests for a job.
func (a *advised) callsFor(id model.ID) int {
	n := 0
	for _, other := range a.calls {
		if other == id {
			n++
		}
	}
	return n
}

var advisedStep = model.Step{Tasks: 2, Size: place.Resources{CPU: 900, Memory: 500}, Estimate: 600 * time.Millisecond}

// Whoever was first in the order of placement took the advisor again as soon as it was free, so that a
// few jobs that no VM may run kept all others from getting any tickets.
var _ = Describe("Jobs that need advice", func() {
	DescribeTable("all start, although some can never get a ticket,", func(vms, barred, priority int) {
		bad := map[model.ID]bool{}
		a := newAdvised(vms, func(id model.ID, _ string) bool { return !bad[id] })
		var good []model.ID
		for n := range 60 {
			if n < barred {
				bad[a.submitAdvised(n+1, priority, advisedStep)] = true
			} else {
				good = append(good, a.submitAdvised(n+1, n%3, advisedStep))
			}
			a.simulate(60 * time.Millisecond)
		}
		a.simulate(14 * time.Second)
		Expect(a.startedAt).To(HaveLen(len(good)))
		later := a.submitAdvised(100, 2, advisedStep)
		submittedAt := a.now
		a.simulate(4 * time.Second)
		Expect(a.startedAt).To(HaveKey(later))
		Expect(a.startedAt[later].Sub(submittedAt)).To(BeNumerically("<", 4*time.Second))
		a.simulate(30 * time.Second)
		for id := range bad {
			calls := a.callsFor(id)
			Expect(calls).To(BeNumerically(">", 3), "the policy may change")
			Expect(calls).To(BeNumerically("<", 60))
		}
	},
		Entry("three of them, first in order", 11, 3, 0),
		Entry("three of them, last in order", 11, 3, 2),
		Entry("twelve of them, first in order", 11, 12, 0),
		Entry("three of them, with many VMs", 40, 3, 0),
	)

	It("are served in the order in which they have waited, an urgent one somewhat earlier", func() {
		a := newAdvised(4, func(model.ID, string) bool { return true })
		for n := range 40 {
			a.submitAdvised(n+1, 2, advisedStep)
		}
		a.simulate(500 * time.Millisecond)
		urgent := a.submitAdvised(100, 0, advisedStep)
		before := len(a.calls)
		a.simulate(2 * time.Second)
		Expect(slices.Index(a.calls, urgent)).To(BeNumerically("<", before+3))
		a.simulate(8 * time.Second)
		Expect(a.startedAt).To(HaveLen(41))
		Expect(a.calls).To(HaveLen(41), "one request was enough for each")
	})

	It("are not starved by urgent ones that keep coming", func() {
		a := newAdvised(4, func(model.ID, string) bool { return true })
		waiting := a.submitAdvised(1, 2, advisedStep)
		submittedAt := a.now
		for n := range 100 {
			a.submitAdvised(n+2, 0, advisedStep)
			a.simulate(100 * time.Millisecond) // less than a request takes
		}
		Expect(a.startedAt).To(HaveKey(waiting))
		Expect(a.startedAt[waiting].Sub(submittedAt)).To(BeNumerically("<", 5*time.Second))
	})

	DescribeTable("ask for no more VMs than their tasks need,", func(want int, s model.Step) {
		a := newAdvised(11, func(model.ID, string) bool { return true })
		a.submitAdvised(1, 1, s)
		a.simulate(time.Second)
		Expect(a.named[0]).To(Equal(want))
		Expect(a.startedAt).To(HaveLen(1))
	},
		Entry("one", 1, model.Step{Tasks: 1, Size: advisedStep.Size}),
		Entry("two", 2, advisedStep),
		Entry("as many as hold them", 3, model.Step{Tasks: 3, Size: place.Resources{CPU: 16000, Memory: 500}}),
		Entry("at most twelve", 11, model.Step{Tasks: 400, Size: place.Resources{CPU: 100, Memory: 10}}),
		Entry("one for each member of a gang that is spread", 8, model.Step{Tasks: 8, Gang: true, MaxPerVM: 1, Size: advisedStep.Size}),
	)

	DescribeTable("find the VMs that the policy allows", func(vms, allowed int, s model.Step) {
		a := newAdvised(vms, func(_ model.ID, vm string) bool { return int(vmNumber(vm)) >= vms-allowed })
		a.submitAdvised(1, 1, s)
		a.simulate(8 * time.Second)
		Expect(a.startedAt).To(HaveLen(1))
	},
		Entry("one of 11", 11, 1, advisedStep),
		Entry("one of 40", 40, 1, advisedStep),
		Entry("four, for a gang", 11, 4, model.Step{Tasks: 4, Gang: true, MaxPerVM: 1, Size: advisedStep.Size}),
		Entry("two of 40, for a task that may not run beside its like", 40, 2, model.Step{Tasks: 2, MaxPerVM: 1, Size: advisedStep.Size}),
	)

	// The advisor refused all VMs; what it allows may change with a worker's next incarnation.
	It("ask for a VM again at once when its worker has restarted", func() {
		restarted := false
		a := newAdvised(3, func(_ model.ID, vm string) bool { return restarted && vm == "vm-1" })
		id := a.submitAdvised(1, 1, advisedStep)
		a.simulate(30 * time.Second)
		Expect(a.startedAt).To(BeEmpty())
		Expect(a.callsFor(id)).To(BeNumerically("<", 30))
		restarted = true
		next := vmInfo(1)
		next.Incarnation++
		at := a.now
		a.leader.Handle(a.now, firstAgentConn+1, &msgs.Message{LeaseRequest: &msgs.LeaseRequest{Seq: 100_000, Synced: true, RunsListed: true, VM: next}})
		for range 40 {
			a.leader.Handle(a.now, firstAgentConn+1, &msgs.Message{LeaseRequest: &msgs.LeaseRequest{Seq: 100_001, RunsListed: true, VM: next}})
			a.advise()
			a.advance(20 * time.Millisecond)
			if len(a.starts()) > 0 {
				return
			}
		}
		Fail(fmt.Sprintf("nothing started within %s", a.now.Sub(at)))
	})

	DescribeTable("use tickets that are valid for", func(validFor time.Duration) {
		a := newAdvised(1, func(model.ID, string) bool { return true })
		a.validFor = validFor
		chain := []model.Step{advisedStep}
		chain[0].Tasks = 1
		for range 20 {
			a.submitAdvised(len(a.calls)+1000, 1, chain...)
			a.simulate(300 * time.Millisecond)
		}
		Expect(a.startedAt).To(HaveLen(20))
	},
		Entry("ten seconds", 10*time.Second),
		Entry("a second", time.Second),
		Entry("a moment", 250*time.Millisecond),
	)

	// All tickets of a step were dropped when any worker refused one of its starts, so that the next
	// request could name the same worker.
	DescribeTable("ask, once a worker has refused a start,", func(reason error, want string) {
		a := newAdvised(2, func(model.ID, string) bool { return true })
		j := job(1, smallStep)
		j.Queue.Advised = true
		a.submit(j)
		a.advance(100 * time.Millisecond)
		req := a.leader.AdviceRequest()
		Expect(req.VMs).To(ConsistOf("vm-0"))
		a.leader.Advised(a.now, req, port.Advice{Tickets: map[string]string{"vm-0": "t"}, ValidFor: time.Minute}, nil)
		a.advance(100 * time.Millisecond)
		Expect(a.starts()).To(HaveLen(1))
		a.leader.Handle(a.now, firstAgentConn, &msgs.Message{Report: &msgs.Report{VM: "vm-0", Incarnation: 5, Ends: []msgs.RunEnd{
			{Task: "0000000000000001.0.0.0", Run: 1, Outcome: msgs.Lost, Reason: reason.Error()},
		}}})
		a.advance(500 * time.Millisecond)
		Expect(a.starts()).To(BeEmpty())
		Expect(a.leader.AdviceRequest().VMs).To(ConsistOf(want))
	},
		Entry("for another VM if it is unhealthy", port.ErrWorkerUnhealthy, "vm-1"),
		Entry("for another VM if it is full", port.ErrRunCapacity, "vm-1"),
		Entry("for the same VM if the ticket had expired", port.ErrRunTicket, "vm-0"),
	)
})
