package lead_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

// The first reports after a change of leader or a loss of power show few processors in use. A
// plan that counted on no more let all jobs be late for a second.
var _ = Describe("The first plans of a leader", func() {
	It("do not let jobs be late because workers have reported little yet", func() {
		h := newHarness()
		bestEffort := func(n int, runTime time.Duration) *model.Job {
			j := job(n, model.Step{Tasks: 1, BestEffort: true, Size: place.Resources{CPU: 10000, Memory: 1000}, Estimate: runTime})
			j.Queue.Stretch = 6
			return j
		}
		longRunning := msgs.RunStatus{Task: "0000000000000001.0.0.0", Run: 1, Percent: 100}
		running := msgs.RunStatus{Task: "0000000000000002.0.0.0", Run: 1, Percent: 5, Measurement: 10000}
		h.join(0)
		h.submit(job(1, model.Step{Tasks: 1, LongRunning: true, Size: place.Resources{CPU: 9000, Memory: 1000}}))
		h.advance(100 * time.Millisecond)
		h.submit(bestEffort(2, 3*time.Second))
		h.advance(100 * time.Millisecond)
		Expect(h.starts()).To(HaveLen(2))
		early, late := bestEffort(3, 2*time.Second), bestEffort(4, time.Second)
		h.submit(early)
		for range 13 {
			h.requestLease(0, false, longRunning, running)
			h.advance(500 * time.Millisecond)
		}
		h.submit(late)
		h.advance(100 * time.Millisecond)
		Expect(h.starts()).To(BeEmpty(), "the VM has no processors left")

		h.lead(epoch + 1)
		running.Measurement = 0
		h.join(0, longRunning, running)
		h.advance(400 * time.Millisecond)
		h.out = nil
		h.leader.Handle(h.now, firstAgentConn, &msgs.Message{Report: &msgs.Report{
			VM: "vm-0", Incarnation: 5, Ends: []msgs.RunEnd{{Number: 1, Task: running.Task, Run: 1, Outcome: msgs.Done}},
		}})
		h.advance(100 * time.Millisecond)
		Expect(h.starts()).To(ConsistOf(HaveField("Task", string(early.ID)+".0.0.0")), "its objective is the earlier one")
	})
})
