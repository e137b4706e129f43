package lead_test

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

// The bodies of requests are larger than the store's records may be.
var _ = Describe("A job with a description that the store cannot take", func() {
	It("is refused at once as invalid", func() {
		h := newHarness()
		j := job(1, smallStep)
		for range 200 {
			s := smallStep
			s.Image = strings.Repeat("x", 2000)
			j.Steps = append(j.Steps, s)
		}
		h.submit(j)
		h.out = h.leader.TakeOutbound()
		Expect(h.responses()).To(ConsistOf(HaveField("Code", codes.JobInvalid)))
	})
})

// Checkpoints are of any length, but all of a job's are stored together.
var _ = Describe("A checkpoint that is too large to be stored", func() {
	It("is left out, and the task resumes from the one before", func() {
		h := newHarness()
		h.join(0)
		s := smallStep
		s.Tasks, s.Checkpoints = 2, true
		h.submit(job(1, s))
		h.advance(200 * time.Millisecond)
		started := h.starts()
		var runs []msgs.RunStatus
		for _, o := range started {
			runs = append(runs, msgs.RunStatus{Task: o.Task, Run: o.Run, Checkpoint: "first"})
		}
		h.requestLease(0, false, runs...)
		for i := range runs {
			runs[i].Checkpoint = strings.Repeat("x", 200<<10)
		}
		h.requestLease(0, false, runs...)
		h.leader.Handle(h.now, firstAgentConn, &msgs.Message{Report: &msgs.Report{VM: "vm-0", Incarnation: 5, Ends: []msgs.RunEnd{
			{Task: runs[0].Task, Run: 1, Outcome: msgs.Stopped, Checkpoint: runs[0].Checkpoint, Number: 1},
		}}})
		h.advance(200 * time.Millisecond)
		Expect(h.starts()).To(ConsistOf(HaveField("Checkpoint", "first")))
	})
})

// The largest records of a job are bounded by its names and checkpoints, not by the leader.
var _ = Describe("A job whose progress exceeds what one append may hold", func() {
	It("fails alone", func() {
		h := newHarness()
		h.leader.SetLimits(port.Limits{Record: 4000, Call: 2000})
		h.join(0)
		wide := smallStep
		wide.Tasks, wide.Size = 300, place.Resources{CPU: 10, Memory: 10}
		h.submit(job(1, wide))
		h.submit(job(2, smallStep))
		h.advance(200 * time.Millisecond)
		Expect(h.leader.State(h.now).Jobs).To(Equal(map[string]int{"queued": 1}))
		Expect(h.leader.Stats().Unstorable).To(BeEquivalentTo(1))
		Expect(h.starts()).To(HaveLen(1))
	})
})

// The names in the record of estimates come from callers.
var _ = Describe("The record of a leader's estimates", func() {
	It("stays within the limits of the store, however many queues there are", func() {
		c := newColocation(4, highRequest)
		c.applyOrders()
		c.submit(2, "heavy", 2)
		for n := range 400 {
			j := job(1000+n, smallStep)
			j.Queue.Name = fmt.Sprintf("%s-%d", strings.Repeat("q", 1000), n)
			c.leader.Handle(c.now, 0, &msgs.Message{JobRequest: &msgs.JobRequest{Seq: uint64(n), Verb: msgs.Submit, Job: j.ID, Spec: j}})
		}
		c.simulate(0.1, 8*time.Second)
		c.submit(5, "light", 1) // estimates are recorded together with changes of jobs
		c.simulate(0.1, 400*time.Millisecond)
		largest := 0
		for _, r := range c.records {
			if r.Key == "learned" {
				largest = max(largest, r.Size())
			}
		}
		Expect(largest).To(And(BeNumerically(">", 1000), BeNumerically("<", 64<<10)))
	})
})

// The job in a batch that only the estimates make too large would have been taken for the cause.
var _ = Describe("A batch that the record of estimates would make too large", func() {
	It("goes without it", func() {
		c := newColocation(4, highRequest)
		c.applyOrders()
		c.submit(2, "heavy", 2)
		c.simulate(0.1, 8*time.Second)
		// store submits a job and returns the batch with it, and its size without the estimates.
		store := func(n int) (records []port.Record, size int, estimates bool) {
			j := job(n, smallStep)
			j.Payload = strings.Repeat("x", 3000)
			c.harness.submit(j)
			c.now = c.now.Add(20 * time.Millisecond)
			records = c.leader.NextBatch(c.now).Records
			c.confirmBatch()
			for _, r := range records {
				if r.Key == "learned" {
					estimates = true
				} else {
					size += r.Size()
				}
			}
			return records, size, estimates
		}
		_, size, estimates := store(10)
		Expect(estimates).To(BeTrue())
		limits := port.Limits{Call: size + 40}
		c.leader.SetLimits(limits)
		c.simulate(0.1, 4*time.Second)
		records, _, estimates := store(11)
		Expect(limits.Covers(records)).To(BeTrue())
		Expect(estimates).To(BeFalse())
	})
})
