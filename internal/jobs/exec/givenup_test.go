package exec_test

import (
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

var _ = Describe("An agent and a run that it has reported as lost, or cannot know to be", func() {
	var h *harness
	BeforeEach(func() { h = newHarness() })

	It("does not take a run for lost because its row in the list cannot be decoded", func() {
		c := h.order()
		for c.Start != nil {
			h.agent.Started(h.now, c, errNoResponse)
			c = h.call()
		}
		h.agent.Stopped(h.now, c, nil)
		h.now = h.now.Add(time.Millisecond)
		p, _ := h.agent.Poll(h.now, false)
		h.now = h.now.Add(time.Millisecond)
		h.agent.Polled(h.now, p, port.PollResult{Incarnation: h.incarnation, Clock: h.now.Sub(time.Unix(0, 0))}, errors.New("running row: field 4"))
		Expect(h.ends()).To(BeEmpty())
	})
})
