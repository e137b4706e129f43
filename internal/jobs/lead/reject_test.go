package lead_test

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

// selectiveStore plays a store that rejects batches for what they hold. It returns the number of
// batches rejected while time passes.
func (h *harness) selectiveStore(d time.Duration, rejects func(port.Record) bool) int {
	rejected := 0
	for end := h.now.Add(d); h.now.Before(end); h.now = h.now.Add(20 * time.Millisecond) {
		h.leader.Tick(h.now)
		batch := h.leader.NextBatch(h.now)
		h.out = append(h.out, h.leader.TakeOutbound()...)
		if batch == nil {
			continue
		}
		accepted := true
		for _, r := range batch.Records {
			accepted = accepted && !rejects(r)
		}
		if accepted {
			h.store(batch.Records)
			h.confirmBatch()
			continue
		}
		rejected++
		Expect(h.leader.Rejected(h.now, port.ErrStoreRejected)).To(BeTrue())
	}
	return rejected
}

// rejectsJob returns a function that reports whether a record is one of a job and has a size.
func rejectsJob(id model.ID, size int) func(port.Record) bool {
	return func(r port.Record) bool { return strings.Contains(r.Key, string(id)) && len(r.Value) >= size }
}

// A leader repeated an append that the store could never take, and the changes of all jobs waited.
var _ = Describe("A job whose records the store rejects", func() {
	It("is refused if it is new, and does not hold back the others", func() {
		h := newHarness()
		h.join(0)
		for n := range 9 {
			h.submit(job(n+1, smallStep))
		}
		bad := job(5).ID
		rejected := h.selectiveStore(time.Second, rejectsJob(bad, 1))
		Expect(rejected).To(BeNumerically("<", 6))
		accepted, refused := 0, 0
		for _, m := range h.out {
			if o := m.Message.Orders; o != nil {
				for _, s := range o.Starts {
					Expect(model.JobOf(s.Task)).NotTo(Equal(bad))
				}
			}
			if r := m.Message.JobResponse; r != nil && r.Code == codes.OK {
				accepted++
			} else if r != nil {
				refused++
				Expect(r.Code).To(Equal(codes.JobInvalid))
			}
		}
		Expect([]int{accepted, refused}).To(Equal([]int{8, 1}))
		Expect(h.leader.Stats().Started).To(BeEquivalentTo(9))
		Expect(h.leader.State(h.now).VMs[0].Runs).To(Equal(8))
		h.lead(epoch + 1)
		Expect(h.leader.State(h.now).Jobs).To(Equal(map[string]int{"queued": 8}))
	})

	It("is divided if it has grown, and runs on", func() {
		h := newHarness()
		h.join(0)
		wide := smallStep
		wide.Tasks, wide.Size = 200, place.Resources{CPU: 10, Memory: 10}
		h.submit(job(1, wide))
		h.submit(job(2, smallStep))
		h.selectiveStore(time.Second, rejectsJob(job(1).ID, 5000))
		Expect(h.starts()).To(HaveLen(201))
		Expect(h.leader.Stats().Unstorable).To(BeZero())
		h.lead(epoch + 1)
		Expect(h.leader.State(h.now).VMs[0].Runs).To(Equal(201))
	})

	It("fails if its progress is never taken, with its runs stopped, and does not hold back the others", func() {
		h := newHarness()
		h.join(0)
		h.submit(job(1, smallStep))
		h.advance(200 * time.Millisecond)
		started := h.starts()
		Expect(started).To(HaveLen(1))
		bad := func(r port.Record) bool {
			return strings.Contains(r.Key, string(job(1).ID)) && strings.Contains(string(r.Value), "vm-0")
		}
		h.submit(job(2, smallStep))
		twoRuns := msgs.RunEnd{Task: started[0].Task, Run: started[0].Run, Outcome: msgs.Lost, Number: 1}
		h.leader.Handle(h.now, firstAgentConn, &msgs.Message{Report: &msgs.Report{VM: "vm-0", Incarnation: 5, Ends: []msgs.RunEnd{twoRuns}}})
		h.selectiveStore(2*time.Second, bad)
		Expect(h.leader.Stats().Unstorable).To(BeEquivalentTo(1))
		h.request(msgs.State, nil, job(1).ID)
		h.request(msgs.State, nil, job(2).ID)
		h.advance(100 * time.Millisecond)
		Expect(fmt.Sprint(h.responses())).To(And(ContainSubstring("failed"), ContainSubstring("queued")))
	})
})

var _ = Describe("A leader whose claim the store rejects", func() {
	It("has nothing to leave out", func() {
		h := newHarness()
		possible := true
		for range 4 {
			h.now = h.now.Add(2 * time.Second)
			Expect(h.leader.NextBatch(h.now)).NotTo(BeNil())
			possible = h.leader.Rejected(h.now, port.ErrStoreRejected)
		}
		Expect(possible).To(BeFalse())
	})
})
