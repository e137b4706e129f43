package lead_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

// Tasks of queues with priority 1 and below waited for as long as best-effort tasks requested all
// processors, although these get only what the others leave.
var _ = Describe("Where best-effort tasks request all processors", func() {
	const vms = 3
	var h *harness
	// running holds the runs of the best-effort tasks, by VM.
	var running map[int][]msgs.RunStatus

	// pass lets time pass with regular lists, and returns the orders to start runs.
	pass := func(d time.Duration) []msgs.Start {
		var starts []msgs.Start
		for end := h.now.Add(d); h.now.Before(end); {
			for n := range vms {
				h.requestLease(n, false, running[n]...)
			}
			h.advance(100 * time.Millisecond)
			starts = append(starts, h.starts()...)
		}
		return starts
	}

	BeforeEach(func() {
		h = newHarness()
		for n := range vms {
			h.join(n)
		}
		bestEffort := model.Step{Tasks: vms, Size: place.Resources{CPU: 16000, Memory: 1000}, Estimate: time.Minute, BestEffort: true}
		j := job(1, bestEffort)
		j.Queue.Priority = 2
		h.submit(j)
		h.advance(flushTime)
		running = startedRuns(h)
		Expect(running).To(HaveLen(vms))
		for _, runs := range running {
			runs[0].Percent = 1
		}
	})

	DescribeTable("a job with ordinary tasks starts at once,", func(priority int, change func(*model.Step)) {
		s := model.Step{Tasks: 2, Size: place.Resources{CPU: 4000, Memory: 1000}, Estimate: time.Second}
		change(&s)
		j := job(2, s)
		j.Queue.Priority = priority
		h.submit(j)
		Expect(pass(flushTime)).To(HaveLen(2))
	},
		Entry("of priority 0", 0, func(*model.Step) {}),
		Entry("of priority 1", 1, func(*model.Step) {}),
		Entry("of a lower priority than theirs", 5, func(*model.Step) {}),
		Entry("each of a whole VM", 1, func(s *model.Step) { s.Size.CPU = 16000 }),
		Entry("in a gang", 1, func(s *model.Step) { s.Gang = true }),
		Entry("in a gang within a rack", 1, func(s *model.Step) { s.Gang, s.LocalitySensitive = true, true }),
		Entry("one on each VM", 1, func(s *model.Step) { s.MaxPerVM = 1 }),
		Entry("that may be copied", 1, func(s *model.Step) { s.Speculative = true }),
		Entry("that run until they are cancelled", 1, func(s *model.Step) { s.LongRunning = true }),
	)

	It("a task that may have crashed a worker starts again in quarantine", func() {
		j := job(2, model.Step{Tasks: 1, Size: place.Resources{CPU: 4000, Memory: 1000}, Estimate: time.Second})
		h.submit(j)
		h.advance(flushTime)
		first := startedRuns(h)
		Expect(first).To(HaveLen(1))
		for n, runs := range first {
			ref := msgs.RunRef{Task: runs[0].Task, Run: runs[0].Run}
			h.leader.Handle(h.now, uint64(firstAgentConn+n), &msgs.Message{
				Crashes: []msgs.Crash{{Number: 1, VM: vmInfo(n).ID, Incarnation: 5, Runs: []msgs.RunRef{ref}}},
				Report:  &msgs.Report{VM: vmInfo(n).ID, Incarnation: 5, Ends: []msgs.RunEnd{{Task: ref.Task, Run: ref.Run, Outcome: msgs.Lost}}},
			})
		}
		Expect(pass(flushTime)).To(HaveLen(1))
	})

	It("ordinary tasks prefer a VM with processors to spare", func() {
		h.join(vms)
		j := job(2, model.Step{Tasks: 3, Size: place.Resources{CPU: 2000, Memory: 1000}, Estimate: time.Second})
		h.submit(j)
		h.advance(flushTime)
		Expect(startedRuns(h)).To(And(HaveLen(1), HaveKeyWithValue(vms, HaveLen(3))))
	})

	DescribeTable("a job with best-effort tasks starts once it was idle,", func(gang bool) {
		j := job(2, model.Step{Tasks: 2, Size: place.Resources{CPU: 4000, Memory: 1000}, Estimate: time.Second, BestEffort: true, Gang: gang})
		j.Queue.Priority = 2
		h.submit(j)
		Expect(pass(time.Second)).To(BeEmpty())
		Expect(pass(time.Second)).NotTo(BeEmpty())
	},
		Entry("one of its tasks", false),
		Entry("all members of a gang", true),
	)
})
