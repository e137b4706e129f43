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
	const aim = 10 * time.Millisecond
	var g *guard.Guard
	var now time.Time
	batch := []guard.Batch{
		{Attempt: attempt(1), Kind: "a", CPU: 1000, UnsavedWork: time.Minute},
		{Attempt: attempt(2), Kind: "b", CPU: 4000, UnsavedWork: time.Hour},
	}

	BeforeEach(func() {
		g, now = &guard.Guard{}, time.Unix(1e9, 0)
		g.SetTarget("s", aim)
	})

	// pass lets seconds pass with a service time and returns the steps taken.
	pass := func(seconds int, took time.Duration) (throttles []guard.Throttle, evicted []ident.Attempt) {
		for range seconds {
			for range 100 {
				g.ObserveServiceTime("s", took)
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

	It("does nothing while services keep their aims, or have none", func() {
		throttles, evicted := pass(60, aim-1)
		Expect(throttles).To(BeEmpty())
		Expect(evicted).To(BeEmpty())
		g.SetTarget("s", 0)
		throttles, _ = pass(60, time.Second)
		Expect(throttles).To(BeEmpty())
	})

	It("throttles the larger first, and evicts what loses least only at the end", func() {
		throttles, evicted := pass(8, 2*aim)
		Expect(throttles[0]).To(Equal(guard.Throttle{Attempt: attempt(2), Percent: 50}))
		Expect(throttles).To(HaveLen(4))
		Expect(evicted).To(BeEmpty())
		_, evicted = pass(15, 2*aim)
		Expect(evicted).To(ConsistOf(attempt(1)))
	})

	It("releases step by step, and not while a service is just within its aim", func() {
		pass(8, 2*aim)
		throttles, _ := pass(30, aim*95/100)
		Expect(throttles).To(BeEmpty())
		throttles, _ = pass(40, aim/2)
		Expect(throttles).To(HaveLen(4))
		Expect(throttles[3].Percent).To(BeEquivalentTo(100))
	})
})
