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
		for i := range 4 {
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

	// resize lets all workers but the first shrink at a time, and grow again 6 s later. What
	// runs there goes on.
	resize := func(at time.Duration, guard bool, small place.Resources) func(*fleet.World) {
		return func(w *fleet.World) {
			for i, a := range w.Agents {
				a.Worker.GuardsCapacity = guard
				if i > 0 {
					w.After(at, func() { a.Worker.Resize(w.Now, small) })
					w.After(at+6*time.Second, func() { a.Worker.Resize(w.Now, place.Resources{CPU: 16000, Memory: 64000}) })
				}
			}
		}
	}
	restartAgents := fleet.Fault{Name: "agents restart", Inject: func(w *fleet.World) {
		for _, a := range w.Agents {
			a.Kill(time.Second)
		}
	}}
	killLeader := fleet.Fault{Name: "leader killed", Inject: func(w *fleet.World) { w.Leader().Kill(time.Second) }}

	DescribeTable("keep their runs, and get none beyond their capacity until they have grown again", func(fault fleet.Fault, guard bool, small place.Resources) {
		for i := range 2 {
			shrinkAt := 2*time.Second + time.Duration(i)*733*time.Millisecond
			for _, after := range []time.Duration{100 * time.Millisecond, 5900 * time.Millisecond} {
				w := run(uint64(i+1), resize(shrinkAt, guard, small), at(shrinkAt+after, fault))
				Expect(w.Check()).To(BeEmpty(), fmt.Sprintf("seed %d, %s %s after shrinking at %s", i+1, fault.Name, after, shrinkAt))
			}
		}
	},
		Entry("over a change of leader", killLeader, false, place.Resources{CPU: 5000, Memory: 64000}),
		Entry("over a change of leader, guarding", killLeader, true, place.Resources{CPU: 5000, Memory: 64000}),
		Entry("over a change of leader, to nothing", killLeader, false, place.Resources{}),
		Entry("over a change of leader, guarding, less memory", killLeader, true, place.Resources{CPU: 16000, Memory: 9000}),
		Entry("over a restart of the agents", restartAgents, false, place.Resources{CPU: 5000, Memory: 64000}),
		Entry("over a restart of the agents, guarding", restartAgents, true, place.Resources{CPU: 5000, Memory: 64000}),
		Entry("over a restart of the agents, to nothing", restartAgents, false, place.Resources{}),
		Entry("over a restart of the agents, guarding, less memory", restartAgents, true, place.Resources{CPU: 16000, Memory: 9000}),
	)
})
