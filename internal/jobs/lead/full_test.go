package lead_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/jobs/table"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

// Bodies of a few bytes can describe thousands of tasks, and the jobs that are kept took all memory.
var _ = Describe("A leader with as many jobs as its memory allows", func() {
	full := func() *harness {
		h := newHarness()
		first := job(1, smallStep)
		h.leader.SetJobMemory(table.MemoryOf(first))
		h.submit(first)
		h.advance(200 * time.Millisecond)
		Expect(h.responses()).To(ConsistOf(HaveField("Code", codes.OK)))
		return h
	}

	It("refuses a further one once the store has confirmed that it leads", func() {
		h := full()
		h.submit(job(2, smallStep))
		h.out = h.leader.TakeOutbound()
		Expect(h.responses()).To(BeEmpty())
		h.advance(200 * time.Millisecond)
		Expect(h.responses()).To(ConsistOf(And(HaveField("Code", codes.JobsFull), HaveField("RetryAfter", BeNumerically(">", 0)))))
		Expect(h.leader.Stats().RefusedFull).To(BeEquivalentTo(1))
	})

	It("confirms one that was accepted before", func() {
		h := full()
		h.submit(job(1, smallStep))
		h.out = h.leader.TakeOutbound()
		Expect(h.responses()).To(ConsistOf(HaveField("Code", codes.OK)))
	})

	It("refuses to keep the cancelling of a job that it does not know", func() {
		h := full()
		h.leader.SetJobMemory(1)
		h.leader.Handle(h.now, 0, &msgs.Message{JobRequest: &msgs.JobRequest{Seq: 9, Verb: msgs.Cancel, Job: job(2).ID}})
		h.out = h.leader.TakeOutbound()
		Expect(h.responses()).To(ConsistOf(HaveField("Code", codes.JobsFull)))
	})

	It("accepts jobs again once earlier ones have gone", func() {
		h := full()
		h.request(msgs.Cancel, nil, job(1).ID)
		h.advance(200 * time.Millisecond)
		h.responses()
		for range 200 {
			h.advance(time.Second)
		}
		Expect(h.leader.Stats().JobMemory).To(BeZero())
		h.submit(job(3, smallStep))
		h.advance(200 * time.Millisecond)
		Expect(h.responses()).To(ConsistOf(HaveField("Code", codes.OK)))
	})

	It("places no more runs on a VM than it may have", func() {
		h := newHarness()
		h.leader.SetMaxRuns(3)
		h.join(0)
		s := smallStep
		s.Tasks, s.Size = 10, place.Resources{}
		h.submit(job(1, s))
		h.advance(200 * time.Millisecond)
		Expect(h.starts()).To(HaveLen(3))
	})

	It("counts the texts, the tasks and the occurrences of a job", func() {
		small, large := job(1, smallStep), job(2, smallStep)
		large.Payload = strings.Repeat("x", 1000)
		large.Steps[0].Tasks, large.Repeat = 100, 3
		Expect(table.MemoryOf(large)).To(BeNumerically(">", table.MemoryOf(small)+1000+300*200))
	})
})
