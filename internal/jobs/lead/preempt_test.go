package lead_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

var _ = Describe("Preemption for a long-running task", func() {
	longRunning := model.Step{Tasks: 1, LongRunning: true, Size: place.Resources{CPU: 2000, Memory: 1000}}

	// A VM with free capacity that takes no task for another reason used to be reserved, as
	// nothing had to be stopped there, and the task kept waiting.
	It("stops a run on a full VM, although a suspect VM has free capacity that it does not offer", func() {
		h := newHarness()
		h.join(0)
		for n := range 3 {
			j := job(n+1, smallStep)
			h.request(msgs.Submit, j, j.ID)
		}
		h.advance(100 * time.Millisecond)
		for n := range 3 {
			h.leader.Handle(h.now, firstAgentConn, &msgs.Message{Report: &msgs.Report{VM: "vm-0", Incarnation: 5, Ends: []msgs.RunEnd{
				{Number: int64(n + 1), Task: fmt.Sprintf("%016x.0.0.0", n+1), Run: 1, Outcome: msgs.Failed},
			}}})
		}
		h.advance(100 * time.Millisecond)
		h.join(1)
		full := smallStep
		full.Tasks = 8
		j := job(10, full)
		h.request(msgs.Submit, j, j.ID)
		h.advance(100 * time.Millisecond)
		h.out = nil
		j = job(11, longRunning)
		h.request(msgs.Submit, j, j.ID)
		h.advance(100 * time.Millisecond)
		Expect(h.orders()).To(ContainElement(And(HaveField("VM", "vm-1"), HaveField("Stops", HaveLen(1)))))
	})
})
