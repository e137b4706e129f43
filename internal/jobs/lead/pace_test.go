package lead_test

import (
	"fmt"
	"maps"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

var _ = Describe("Best-effort tasks beside a long-running task", func() {
	const target = 150 * time.Millisecond
	longRunning := model.Step{Tasks: 1, Lasting: true, Image: "s", Target: target, Size: place.Resources{CPU: 4000, Memory: 1000}}
	bestEffort := model.Step{Tasks: 2, Filler: true, Image: "f", Size: place.Resources{CPU: 3000, Memory: 1000}, Estimate: time.Minute}

	// reportLatency lets the VM report a tail latency in milliseconds, and the processors that
	// each best-effort task uses in thousandths, for a while. It returns the latest speed
	// limits ordered in that time.
	reportLatency := func(b *harness, latency, cpu int, d time.Duration) map[string]int {
		speeds := map[string]int{}
		for end := b.now.Add(d); b.now.Before(end); {
			runs := []msgs.RunStatus{{Task: "0000000000000001.0.0.0", Run: 1, Percent: 100, Measure: latency}}
			for i := range 2 {
				runs = append(runs, msgs.RunStatus{Task: fmt.Sprintf("0000000000000002.0.0.%d", i), Run: 1, Percent: 5, Measure: cpu})
			}
			b.requestLease(0, false, runs...)
			b.advance(400 * time.Millisecond)
			for _, o := range b.orders() {
				for _, p := range o.Throttles {
					speeds[p.Task] = p.Percent
				}
			}
		}
		return speeds
	}

	It("are paused before it has been over its target for 4 s, and resume afterwards", func() {
		b := newHarness()
		b.join(0)
		for n, s := range []model.Step{longRunning, bestEffort} {
			j := job(n+1, s)
			b.request(msgs.Submit, j, j.ID)
		}
		b.advance(3 * time.Second)
		reportLatency(b, 40, 0, 2*time.Second)
		Expect(reportLatency(b, 400, 3000, 3200*time.Millisecond)).To(And(HaveLen(2), HaveEach(BeZero())))
		Expect(reportLatency(b, 30, 0, 3*time.Second)).To(And(HaveLen(2), HaveEach(BeNumerically(">", 0))))
		Expect(reportLatency(b, 30, 3000, 6*time.Second)).To(HaveEach(Equal(100)), "they no longer interfere with it")
	})

	It("are paused sooner if it is far over its target, since its queue takes long to drain", func() {
		b := newHarness()
		b.join(0)
		for n, s := range []model.Step{longRunning, bestEffort} {
			j := job(n+1, s)
			b.request(msgs.Submit, j, j.ID)
		}
		b.advance(3 * time.Second)
		reportLatency(b, 40, 0, 2*time.Second)
		Expect(reportLatency(b, 1500, 3000, 1600*time.Millisecond)).To(And(HaveLen(2), HaveEach(BeZero())))
	})

	It("are paused as well if one noisy measurement is just below the target", func() {
		b := newHarness()
		b.join(0)
		for n, s := range []model.Step{longRunning, bestEffort} {
			j := job(n+1, s)
			b.request(msgs.Submit, j, j.ID)
		}
		b.advance(3 * time.Second)
		reportLatency(b, 40, 0, 2*time.Second)
		speeds := reportLatency(b, 400, 3000, 1600*time.Millisecond)
		maps.Copy(speeds, reportLatency(b, 130, 3000, 400*time.Millisecond))
		maps.Copy(speeds, reportLatency(b, 400, 3000, 1200*time.Millisecond))
		Expect(speeds).To(And(HaveLen(2), HaveEach(BeZero())))
		more := job(3, bestEffort)
		b.request(msgs.Submit, more, more.ID)
		b.advance(200 * time.Millisecond)
		Expect(b.starts()).To(BeEmpty(), "no further best-effort task starts")
	})
})

var _ = Describe("A best-effort job", func() {
	It("has a run after two seconds although other jobs leave no processors", func() {
		b := newHarness()
		b.join(0)
		first := job(1, model.Step{Tasks: 8, Filler: true, Size: place.Resources{CPU: 4000, Memory: 100}, Estimate: time.Minute})
		b.request(msgs.Submit, first, first.ID)
		b.advance(100 * time.Millisecond)
		Expect(b.starts()).To(HaveLen(4))
		second := job(2, first.Steps[0])
		b.request(msgs.Submit, second, second.ID)
		for range 5 {
			b.requestLease(0, false)
			b.advance(500 * time.Millisecond)
		}
		Expect(b.starts()).To(ConsistOf(HaveField("Task", HavePrefix("0000000000000002"))))
	})
})
