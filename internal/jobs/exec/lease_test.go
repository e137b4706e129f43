package exec_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
)

var _ = Describe("A lease whose end is computed from an old reading of a slow worker's clock", func() {
	// A worker went on with its runs after they had been given up for the end of its lease.
	It("ends at the worker no later than at the agent", func() {
		const slowestClockRate = 0.98
		h := newHarness()
		readAt, reading := h.now, h.clock()
		for i := range 30 {
			requestedAt := h.now.Add(time.Second)
			h.grant()
			h.agent.Orders(h.now, &msgs.Orders{Epoch: epoch, VM: "vm-1", Incarnation: h.incarnation, Starts: []msgs.Start{
				{Task: fmt.Sprintf("00000000000000aa.0.0.%d", i), Run: 1, Percent: 100},
			}})
			c := h.call()
			clockAtEnd := reading + time.Duration(slowestClockRate*float64(requestedAt.Add(lease).Sub(readAt)))
			Expect(c.Start.Deadline).To(And(BeNumerically(">", h.clock()), BeNumerically("<=", clockAtEnd)))
			h.failPolls(errNoResponse)
		}
	})
})
