package fleet_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/fake/topics"
	"github.com/ebonyarch/ebonyarch/internal/proof/fleet"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

var _ = Describe("Workers that shrink", func() {
	// disturb injects a fault of the store for d, and lets all workers shrink to nothing soon
	// after it has begun, until some seconds after it has ended.
	disturb := func(at time.Duration, f topics.Faults, d time.Duration, guard bool, restart bool) func(*fleet.World) {
		return func(w *fleet.World) {
			for _, a := range w.Agents {
				a.Worker.GuardsCapacity = guard
			}
			w.After(at, func() { w.After(d, w.Store.Disturb(f)) })
			w.After(at+100*time.Millisecond, func() {
				for _, a := range w.Agents {
					a.Worker.Resize(w.Now, place.Resources{})
					if restart {
						a.Kill(2 * time.Second)
					}
				}
			})
			w.After(at+d+5*time.Second, func() {
				for _, a := range w.Agents {
					a.Worker.Resize(w.Now, place.Resources{CPU: 16000, Memory: 64000})
				}
			})
		}
	}

	DescribeTable("get no order that waited for the store until it no longer fits", func(f topics.Faults, guard, restart bool) {
		for i := range 12 {
			at := time.Second + time.Duration(i)*377*time.Millisecond
			w := run(uint64(i+1), disturb(at, f, 6*time.Second, guard, restart))
			Expect(w.Check()).To(BeEmpty(), fmt.Sprintf("seed %d, at %s", i+1, at))
			Expect(w.Witness.Refused()).To(BeZero(), "the agents know the capacity")
		}
	},
		Entry("while its answers are lost", topics.Faults{LoseReplies: true}, false, false),
		Entry("while its answers are lost, with agents that restart", topics.Faults{LoseReplies: true}, false, true),
		Entry("while its answers are lost, with workers that guard their capacity", topics.Faults{LoseReplies: true}, true, false),
		Entry("while it refuses", topics.Faults{Refuse: true}, false, false),
		Entry("while it is silent", topics.Faults{Silent: true}, false, false),
	)
})
