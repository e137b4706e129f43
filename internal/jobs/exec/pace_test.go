package exec_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/exec"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

// The leader sends a speed limit only when it changes.
var _ = Describe("The latest speed limit of a run", func() {
	running := port.PollResult{Running: []msgs.RunStatus{{Task: task, Run: 1}}}
	var h *harness

	// throttle makes the leader order a speed limit and returns the call that results.
	throttle := func(percent int) exec.Call {
		h.agent.Orders(h.now, &msgs.Orders{Epoch: epoch, VM: "vm-1", Incarnation: h.incarnation, Throttles: []msgs.Throttle{{Task: task, Run: 1, Percent: percent}}})
		c := h.call()
		Expect(c.Throttle).NotTo(BeNil())
		Expect(c.Percent).To(Equal(percent))
		return c
	}

	// repeated returns the speed limits of the calls that the agent makes within d, which all succeed.
	repeated := func(d time.Duration) []int {
		var list []int
		for end := h.now.Add(d); h.now.Before(end); h.now = h.now.Add(100 * time.Millisecond) {
			h.poll(running)
			for _, c := range h.agent.Calls() {
				list = append(list, c.Percent)
				h.agent.Throttled(h.now, c, nil)
			}
		}
		return list
	}

	BeforeEach(func() {
		h = newHarness()
		h.agent.Started(h.now, h.order(), nil)
		h.poll(running)
	})

	It("is set again after a call without a response, which may replace it late", func() {
		first := throttle(80)
		h.agent.Throttled(h.now, first, errNoResponse)
		h.agent.Throttled(h.now, throttle(0), nil)
		list := repeated(28 * time.Second)
		Expect(len(list)).To(BeNumerically(">", 10))
		Expect(list).To(HaveEach(0))
		repeated(5 * time.Second)
		Expect(repeated(5*time.Second)).To(BeEmpty(), "the worker carries the first one out no more")
	})

	It("is set again once after the worker refused it", func() {
		h.agent.Throttled(h.now, throttle(0), port.ErrWorkerUnhealthy)
		Expect(repeated(5 * time.Second)).To(Equal([]int{0}))
	})

	It("is set once if the worker confirms it", func() {
		h.agent.Throttled(h.now, throttle(0), nil)
		Expect(repeated(5 * time.Second)).To(BeEmpty())
	})
})
