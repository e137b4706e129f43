package lead_test

import (
	"maps"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/types"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

var _ = Describe("Best-effort tasks beside a long-running task", func() {
	const target = 150 * time.Millisecond
	longRunning := model.Step{Tasks: 1, LongRunning: true, Image: "s", LatencyTarget: target, Size: place.Resources{CPU: 4000, Memory: 1000}}
	bestEffort := model.Step{Tasks: 2, BestEffort: true, Image: "f", Size: place.Resources{CPU: 3000, Memory: 1000}, Estimate: time.Minute}

	// start returns a leader with one VM, 3 s after a job of each step was submitted.
	start := func(steps ...model.Step) *harness {
		h := newHarness()
		h.join(0)
		for n, s := range steps {
			h.submit(job(n+1, s))
		}
		h.advance(3 * time.Second)
		return h
	}

	// reportRuns lets the VM report a tail latency in milliseconds, and the processors that each
	// of the best-effort tasks uses in thousandths, for a while. It returns the latest speed
	// limits ordered in that time.
	reportRuns := func(h *harness, latency, cpu int, d time.Duration, tasks ...string) map[string]int {
		speeds := map[string]int{}
		for end := h.now.Add(d); h.now.Before(end); {
			runs := []msgs.RunStatus{{Task: "0000000000000001.0.0.0", Run: 1, Percent: 100, Measurement: latency}}
			for _, task := range tasks {
				runs = append(runs, msgs.RunStatus{Task: task, Run: 1, Percent: 5, Measurement: cpu})
			}
			h.requestLease(0, false, runs...)
			h.advance(400 * time.Millisecond)
			for _, o := range h.orders() {
				for _, throttle := range o.Throttles {
					speeds[throttle.Task] = throttle.Percent
				}
			}
		}
		return speeds
	}

	// reportLatency is reportRuns for the two tasks of job 2.
	reportLatency := func(h *harness, latency, cpu int, d time.Duration) map[string]int {
		return reportRuns(h, latency, cpu, d, "0000000000000002.0.0.0", "0000000000000002.0.0.1")
	}

	// On the large site a tenth of the long-running tasks counted as over their targets although
	// only their own load kept them at 0.65 to 0.8 of these. Two fifths of the VMs took no
	// best-effort tasks.
	It("resume when it is clearly below its target, even if its own load stays high", func() {
		h := start(longRunning, bestEffort)
		reportLatency(h, 40, 0, 2*time.Second)
		Expect(reportLatency(h, 400, 3000, 3200*time.Millisecond)).To(HaveEach(BeZero()))
		const highLoad = 105 // 0.7 of the target, in milliseconds
		Expect(reportLatency(h, highLoad, 0, time.Second)).To(And(HaveLen(2), HaveEach(BeNumerically(">", 0))))
	})

	// A new leader took runs for unlimited that an earlier one had paused. They stayed so until
	// the new leader paused them itself.
	It("resume under a new leader if they were paused by an earlier one", func() {
		h := start(longRunning, bestEffort)
		Expect(reportLatency(h, 400, 3000, 3200*time.Millisecond)).To(HaveEach(BeZero()))
		h.lead(epoch + 1)
		h.join(0,
			msgs.RunStatus{Task: "0000000000000001.0.0.0", Run: 1, Percent: 100, Measurement: 30},
			msgs.RunStatus{Task: "0000000000000002.0.0.0", Run: 1, Percent: 5},
			msgs.RunStatus{Task: "0000000000000002.0.0.1", Run: 1, Percent: 5})
		resumed := reportLatency(h, 30, 0, time.Second)
		maps.Copy(resumed, reportLatency(h, 30, 3000, 3*time.Second))
		Expect(resumed).To(And(HaveLen(2), HaveEach(Equal(100))))
	})

	It("are paused before it has been over its target for 4 s, and resume afterwards", func() {
		h := start(longRunning, bestEffort)
		reportLatency(h, 40, 0, 2*time.Second)
		Expect(reportLatency(h, 400, 3000, 3200*time.Millisecond)).To(And(HaveLen(2), HaveEach(BeZero())))
		resumed := reportLatency(h, 30, 0, 3*time.Second)
		Expect(resumed).To(And(HaveLen(2), HaveEach(BeNumerically(">", 0))))
		maps.Copy(resumed, reportLatency(h, 30, 3000, 6*time.Second))
		Expect(resumed).To(And(HaveLen(2), HaveEach(Equal(100))), "they no longer interfere with it")
	})

	// The estimate may be wrong, and a task must not be over its target for longer than that.
	It("are paused before it has been over its target for 4 s, even if they seem not to interfere", func() {
		harmless := bestEffort
		harmless.Size.CPU = 200
		h := start(longRunning, harmless)
		reportLatency(h, 40, 200, 2*time.Second)
		Expect(reportLatency(h, 400, 200, 3200*time.Millisecond)).To(And(HaveLen(2), HaveEach(BeZero())))
	})

	// A flood of best-effort work beside tasks of which some come near their targets: the value
	// of a long-running task is that of its size, and work that will be late is worth little.
	DescribeTable("are throttled before it is over its target", func(cpu int64, stretch float64, want types.GomegaMatcher) {
		h := newHarness()
		h.join(0)
		s := longRunning
		s.Size.CPU = cpu
		j := job(1, s)
		h.request(msgs.Submit, j, j.ID)
		j = job(2, bestEffort)
		j.Queue.Stretch = stretch
		h.request(msgs.Submit, j, j.ID)
		h.advance(3 * time.Second)
		reportLatency(h, 40, 0, 2*time.Second)
		Expect(reportLatency(h, 140, 3000, 800*time.Millisecond)).To(want)
	},
		Entry("if it is large", int64(8000), 2.0, HaveLen(2)),
		Entry("not if it is small and much work beside it can be on time", int64(2000), 2.0, BeEmpty()),
		Entry("if it is small and the work beside it will be late", int64(2000), 0.5, HaveLen(2)),
	)

	// A burst: the runs of jobs that will be late hold processors beside the others, and each
	// step is complete only when the last of its runs is. With equal shares of what the
	// long-running task leaves, all jobs wait for their slowest run.
	DescribeTable("are throttled first if their job", func(firstStretch float64) {
		h := newHarness()
		h.join(0)
		s := longRunning
		s.Size.CPU = 8000
		j := job(1, s)
		h.request(msgs.Submit, j, j.ID)
		one := bestEffort
		one.Tasks = 1
		for n, stretch := range []float64{firstStretch, 2.0} {
			j := job(n+2, one)
			j.Queue.Stretch = stretch
			h.request(msgs.Submit, j, j.ID)
		}
		h.advance(3 * time.Second)
		const first, other = "0000000000000002.0.0.0", "0000000000000003.0.0.0"
		reportRuns(h, 40, 0, 2*time.Second, first, other)
		speeds := reportRuns(h, 140, 3000, 800*time.Millisecond, first, other)
		Expect(speeds).To(And(HaveLen(1), HaveKeyWithValue(first, BeNumerically("<", 100))))
	},
		Entry("will be late", 0.5),
		Entry("has more time left", 6.0),
	)

	It("are paused sooner if it is far over its target, since its queue takes long to drain", func() {
		h := start(longRunning, bestEffort)
		reportLatency(h, 40, 0, 2*time.Second)
		Expect(reportLatency(h, 1500, 3000, 1600*time.Millisecond)).To(And(HaveLen(2), HaveEach(BeZero())))
	})

	It("are paused, and no further ones start, even if one noisy measurement is just below the target", func() {
		h := start(longRunning, bestEffort)
		reportLatency(h, 40, 0, 2*time.Second)
		speeds := reportLatency(h, 400, 3000, 1600*time.Millisecond)
		maps.Copy(speeds, reportLatency(h, 130, 3000, 400*time.Millisecond))
		maps.Copy(speeds, reportLatency(h, 400, 3000, 1200*time.Millisecond))
		Expect(speeds).To(And(HaveLen(2), HaveEach(BeZero())))
		more := job(3, bestEffort)
		h.request(msgs.Submit, more, more.ID)
		h.advance(200 * time.Millisecond)
		Expect(h.starts()).To(BeEmpty(), "no further best-effort task starts")
	})
})

var _ = Describe("A best-effort job", func() {
	It("starts one of its tasks within 2.5 s although other jobs leave no processors", func() {
		h := newHarness()
		h.join(0)
		first := job(1, model.Step{Tasks: 8, BestEffort: true, Size: place.Resources{CPU: 4000, Memory: 100}, Estimate: time.Minute})
		h.request(msgs.Submit, first, first.ID)
		h.advance(100 * time.Millisecond)
		Expect(h.starts()).To(HaveLen(4))
		second := job(2, first.Steps[0])
		h.request(msgs.Submit, second, second.ID)
		for range 5 {
			h.requestLease(0, false)
			h.advance(500 * time.Millisecond)
		}
		Expect(h.starts()).To(ConsistOf(HaveField("Task", HavePrefix("0000000000000002"))))
	})
})
