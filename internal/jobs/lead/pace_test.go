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

var _ = Describe("Fillers beside a lasting task", func() {
	const target = 150 * time.Millisecond
	lasting := model.Step{Tasks: 1, LongRunning: true, Image: "s", LatencyTarget: target, Size: place.Resources{CPU: 4000, Memory: 1000}}
	filler := model.Step{Tasks: 2, BestEffort: true, Image: "f", Size: place.Resources{CPU: 3000, Memory: 1000}, Estimate: time.Minute}

	// measure lets the VM report a tail latency, and processors that each filler uses,
	// for a time and returns the fillers' paces then.
	measure := func(b *bench, tail, cpu int, d time.Duration) map[string]int {
		paces := map[string]int{}
		for end := b.now.Add(d); b.now.Before(end); {
			rows := []msgs.RunStatus{{Task: "0000000000000001.0.0.0", Run: 1, Percent: 100, Measurement: tail}}
			for i := range 2 {
				rows = append(rows, msgs.RunStatus{Task: fmt.Sprintf("0000000000000002.0.0.%d", i), Run: 1, Percent: 5, Measurement: cpu})
			}
			b.beat(0, false, rows...)
			b.pass(400 * time.Millisecond)
			for _, o := range b.orders() {
				for _, p := range o.Throttles {
					paces[p.Task] = p.Percent
				}
			}
		}
		return paces
	}

	It("stand still before it has been over its target for 4 s, and go on afterwards", func() {
		b := newBench()
		b.join(0)
		for n, s := range []model.Step{lasting, filler} {
			j := job(n+1, s)
			b.ask(msgs.Submit, j, j.ID)
		}
		b.pass(3 * time.Second)
		measure(b, 40, 0, 2*time.Second)
		Expect(measure(b, 400, 3000, 3200*time.Millisecond)).To(And(HaveLen(2), HaveEach(BeZero())))
		Expect(measure(b, 30, 0, 3*time.Second)).To(And(HaveLen(2), HaveEach(BeNumerically(">", 0))))
		Expect(measure(b, 30, 3000, 6*time.Second)).To(HaveEach(Equal(100)), "they no longer disturb it")
	})

	It("stand still sooner when it is far over its target, since its queue takes long to drain", func() {
		b := newBench()
		b.join(0)
		for n, s := range []model.Step{lasting, filler} {
			j := job(n+1, s)
			b.ask(msgs.Submit, j, j.ID)
		}
		b.pass(3 * time.Second)
		measure(b, 40, 0, 2*time.Second)
		Expect(measure(b, 1500, 3000, 1600*time.Millisecond)).To(And(HaveLen(2), HaveEach(BeZero())))
	})

	It("stand still as well when one rough measurement seems to be just below the target", func() {
		b := newBench()
		b.join(0)
		for n, s := range []model.Step{lasting, filler} {
			j := job(n+1, s)
			b.ask(msgs.Submit, j, j.ID)
		}
		b.pass(3 * time.Second)
		measure(b, 40, 0, 2*time.Second)
		paces := measure(b, 400, 3000, 1600*time.Millisecond)
		maps.Copy(paces, measure(b, 130, 3000, 400*time.Millisecond))
		maps.Copy(paces, measure(b, 400, 3000, 1200*time.Millisecond))
		Expect(paces).To(And(HaveLen(2), HaveEach(BeZero())))
		more := job(3, filler)
		b.ask(msgs.Submit, more, more.ID)
		b.pass(200 * time.Millisecond)
		Expect(b.starts()).To(BeEmpty(), "no further filler comes")
	})
})

var _ = Describe("A job of fillers", func() {
	It("has something running after two seconds although others leave no processors", func() {
		b := newBench()
		b.join(0)
		first := job(1, model.Step{Tasks: 8, BestEffort: true, Size: place.Resources{CPU: 4000, Memory: 100}, Estimate: time.Minute})
		b.ask(msgs.Submit, first, first.ID)
		b.pass(100 * time.Millisecond)
		Expect(b.starts()).To(HaveLen(4))
		second := job(2, first.Steps[0])
		b.ask(msgs.Submit, second, second.ID)
		for range 5 {
			b.beat(0, false)
			b.pass(500 * time.Millisecond)
		}
		Expect(b.starts()).To(ConsistOf(HaveField("Task", HavePrefix("0000000000000002"))))
	})
})
