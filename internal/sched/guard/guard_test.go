package guard_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/base/ident"
	"github.com/ebonyarch/ebonyarch/internal/sched/guard"
)

func attempt(n uint32) ident.Attempt { return ident.Attempt{Task: ident.Task{Index: n}} }

var _ = Describe("the guard", func() {
	const target = 10 * time.Millisecond
	var g *guard.Guard
	var now time.Time
	batch := []guard.Batch{
		{Attempt: attempt(1), Kind: "a", CPU: 1000, UnsavedWork: time.Minute},
		{Attempt: attempt(2), Kind: "b", CPU: 4000, UnsavedWork: time.Hour},
	}

	BeforeEach(func() {
		g, now = &guard.Guard{}, time.Unix(1e9, 0)
		g.SetTarget("s", target)
	})

	// simulate runs the guard for some seconds in which all requests take serviceTime,
	// and returns its actions.
	simulate := func(seconds int, serviceTime time.Duration) (throttles []guard.Throttle, evicted []ident.Attempt) {
		for range seconds {
			for range 100 {
				g.ObserveServiceTime("s", serviceTime)
			}
			now = now.Add(time.Second)
			throttle, evict := g.Tick(now, batch)
			if throttle != nil {
				throttles = append(throttles, *throttle)
			}
			if evict != nil {
				evicted = append(evicted, *evict)
			}
		}
		return throttles, evicted
	}

	It("does nothing while services meet their latency targets or have none", func() {
		throttles, evicted := simulate(60, target-1)
		Expect(throttles).To(BeEmpty())
		Expect(evicted).To(BeEmpty())
		g.SetTarget("s", 0)
		throttles, _ = simulate(60, time.Second)
		Expect(throttles).To(BeEmpty())
	})

	It("throttles the attempt with more CPU first, and evicts the one with the least unsaved work only after throttling all", func() {
		throttles, evicted := simulate(8, 2*target)
		Expect(throttles[0]).To(Equal(guard.Throttle{Attempt: attempt(2), Percent: 50}))
		Expect(throttles).To(HaveLen(4))
		Expect(evicted).To(BeEmpty())
		_, evicted = simulate(15, 2*target)
		Expect(evicted).To(ConsistOf(attempt(1)))
	})

	It("releases level by level, and not while a service only just meets its target", func() {
		simulate(8, 2*target)
		throttles, _ := simulate(30, target*95/100)
		Expect(throttles).To(BeEmpty())
		throttles, _ = simulate(40, target/2)
		Expect(throttles).To(HaveLen(4))
		Expect(throttles[3].Percent).To(BeEquivalentTo(100))
	})
})
