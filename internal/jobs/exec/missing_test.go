package exec_test

import (
	"errors"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

// A run end that cannot be decoded is listed until the worker may forget a later one.
var _ = Describe("A list with a run end that cannot be decoded", func() {
	odd := fmt.Errorf("%w: ended row", port.ErrOddEnds)
	var h *harness
	BeforeEach(func() { h = newHarness() })
	poll := func(res port.PollResult, err error) {
		h.now = h.now.Add(time.Millisecond)
		p, ok := h.agent.Poll(h.now, false)
		Expect(ok).To(BeTrue())
		h.now = h.now.Add(time.Millisecond)
		res.Incarnation, res.Clock = h.incarnation, h.now.Sub(time.Unix(0, 0))
		h.agent.Polled(h.now, p, res, err)
	}

	It("shows that a run has ended which the worker refuses to start", func() {
		h.agent.Started(h.now, h.order(), port.ErrRunOver)
		poll(port.PollResult{}, odd)
		Expect(h.ends()).To(ConsistOf(HaveField("Outcome", msgs.Lost)))
	})

	DescribeTable("does not show it if more is missing", func(res port.PollResult, err error) {
		h.agent.Started(h.now, h.order(), port.ErrRunOver)
		poll(res, err)
		Expect(h.ends()).To(BeEmpty())
	},
		Entry("present runs", port.PollResult{}, errors.New("running row")),
		Entry("further ends", port.PollResult{Incomplete: true}, odd),
	)
})
