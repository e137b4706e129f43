package lead_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/lead"
	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

// submitLate submits job n, which cannot be on time, to a queue that needs advice.
func (h *harness) submitLate(n int, s model.Step) {
	j := job(n, s)
	j.Queue.Priority, j.Queue.Advised, j.Queue.Stretch, j.Queue.TargetLatency = 2, true, 0.001, time.Nanosecond
	h.submit(j)
}

// answer answers a request with tickets for all its VMs, or for none.
func (h *harness) answer(req *lead.AdviceRequest, granted bool) {
	advice := port.Advice{Tickets: map[string]string{}, ValidFor: time.Minute}
	if granted {
		for _, id := range req.VMs {
			advice.Tickets[id] = "t"
		}
	}
	h.leader.Advised(h.now, req, advice, nil)
}

var _ = Describe("The turn of a stage to ask for advice", func() {
	// It kept the time at which it had wanted more while its request was under way.
	It("comes after that of a stage that began to wait while its request was under way", func() {
		h := newHarness()
		h.join(0)
		h.join(1)
		h.submitLate(1, smallStep)
		h.advance(100 * time.Millisecond)
		first := h.leader.AdviceRequest()
		Expect(first.Key.Job).To(Equal(job(1).ID))
		h.submitLate(2, smallStep)
		h.advance(100 * time.Millisecond)
		h.answer(first, false)
		h.advance(40 * time.Millisecond)
		Expect(h.leader.AdviceRequest().Key.Job).To(Equal(job(2).ID))
	})

	// It kept the time at which it had last wanted advice, however long ago.
	It("is counted from when it wants advice again", func() {
		h := newHarness()
		h.join(0)
		copied := model.Step{Tasks: 1, Speculative: true, Estimate: 5 * time.Second, Size: place.Resources{CPU: 100, Memory: 100}}
		h.submitLate(1, copied)
		h.advance(100 * time.Millisecond)
		first := h.leader.AdviceRequest()
		h.leader.Advised(h.now, first, port.Advice{Tickets: map[string]string{"vm-0": "t"}, ValidFor: time.Second}, nil)
		h.advance(100 * time.Millisecond)
		Expect(h.starts()).To(HaveLen(1))
		h.join(1)
		h.submitLate(2, smallStep)
		h.advance(100 * time.Millisecond)
		busy := h.leader.AdviceRequest()
		Expect(busy.Key.Job).To(Equal(job(2).ID))
		percent := 10
		report := func(d time.Duration, step int) {
			for end := h.now.Add(d); h.now.Before(end); percent += step {
				h.requestLease(0, false, msgs.RunStatus{Task: "0000000000000001.0.0.0", Run: 1, Percent: percent})
				h.requestLease(1, false)
				h.advance(200 * time.Millisecond)
			}
		}
		report(3*time.Second, 0) // a copy is wanted
		report(4*time.Second, 2) // it is not
		h.submitLate(3, smallStep)
		h.advance(100 * time.Millisecond)
		report(4*time.Second, 0)                  // it is wanted again
		h.now = h.now.Add(300 * time.Millisecond) // the next pass searches for runs to move
		h.answer(busy, true)
		h.advance(40 * time.Millisecond)
		Expect(h.leader.AdviceRequest().Key.Job).To(Equal(job(3).ID))
	})

	// The time to the next round stayed as long as it had grown.
	It("comes soon again after an answer with a ticket, although rounds before brought none", func() {
		allowed := false
		a := newAdvised(1, func(model.ID, string) bool { return allowed })
		a.validFor = 250 * time.Millisecond
		a.submitAdvised(1, 1, model.Step{Tasks: 60, Size: place.Resources{CPU: 16000, Memory: 10}, Estimate: time.Second})
		a.simulate(30 * time.Second)
		Expect(a.startedAt).To(BeEmpty())
		allowed = true
		for range 100 {
			if len(a.startedAt) == 0 {
				a.simulate(100 * time.Millisecond)
			}
		}
		Expect(a.startedAt).To(HaveLen(1))
		allowed = false
		before := len(a.calls)
		a.simulate(3 * time.Second)
		Expect(len(a.calls) - before).To(BeNumerically(">=", 3))
	})
})
