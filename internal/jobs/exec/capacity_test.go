package exec_test

import (
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

// say passes a heartbeat of the worker with the given capacity to the agent. Its clock reading
// is sent before now.
func (h *harness) say(seq int64, clock time.Duration, capacity place.Resources) {
	h.agent.Heartbeat(h.now, port.Heartbeat{Seq: seq, Clock: clock, VM: msgs.VM{
		ID: "vm-1", Incarnation: h.incarnation, Service: "registry", Capacity: capacity,
	}})
}

// clock returns the reading of the worker's clock, as respond sends it.
func (h *harness) clock() time.Duration { return h.now.Sub(time.Unix(0, 0)) }

var _ = Describe("An agent whose worker's capacity changes", func() {
	large, small := place.Resources{CPU: 64000, Memory: 256000, Accelerators: 4}, place.Resources{CPU: 8000, Memory: 64000, Accelerators: 1}
	const beat = 1500 * time.Millisecond
	var h *harness
	BeforeEach(func() { h = newHarness() })

	// pass lets the time between two heartbeats pass.
	pass := func() {
		h.now = h.now.Add(beat)
		h.poll(port.PollResult{})
	}

	It("ignores a heartbeat that arrives after a later one", func() {
		h.say(7, h.clock(), large)
		sent := h.clock()
		pass()
		h.say(9, h.clock(), small)
		h.say(8, sent+beat/2, large)
		Expect(h.agent.VM().Capacity).To(Equal(small))
		pass()
		h.say(10, h.clock(), large)
		Expect(h.agent.VM().Capacity).To(Equal(large))
	})

	DescribeTable("goes on following the worker after one heartbeat with an odd number", func(clockOff time.Duration) {
		h.say(7, h.clock(), large)
		pass()
		h.say(math.MaxInt64, h.clock()+clockOff, large)
		pass()
		h.say(9, h.clock(), small)
		Expect(h.agent.VM().Capacity).To(Equal(small))
	},
		Entry("and the right clock reading", time.Duration(0)),
		Entry("and a clock reading far ahead", 1000*time.Hour),
		Entry("and a clock reading far behind", -time.Hour),
	)

	DescribeTable("tells the leader at once", func(before, after place.Resources) {
		h.say(7, h.clock(), before)
		pass()
		h.grant()
		h.now = h.now.Add(10 * time.Millisecond)
		h.say(8, h.clock(), after)
		Expect(h.agent.Messages()).To(ConsistOf(HaveField("LeaseRequest.VM.Capacity", Equal(after))))
		h.say(9, h.clock(), after)
		Expect(h.agent.Messages()).To(BeEmpty())
	},
		Entry("when it has shrunk", large, small),
		Entry("when it has grown", small, large),
		Entry("when the memory alone has shrunk", large, place.Resources{CPU: 64000, Memory: 64000, Accelerators: 4}),
		Entry("when the accelerators alone have shrunk", large, place.Resources{CPU: 64000, Memory: 256000}),
	)

	It("follows a new incarnation, which counts its heartbeats from the start", func() {
		h.say(700, h.clock(), large)
		h.incarnation += 400
		pass()
		h.say(1, h.clock(), small)
		Expect(h.agent.VM().Capacity).To(Equal(small))
		h.incarnation += 400
		h.say(1, time.Second, large)
		Expect(h.agent.VM().Capacity).To(Equal(large))
	})
})
