package lead_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

var _ = Describe("A leader's counts of lost runs", func() {
	var h *harness
	BeforeEach(func() {
		h = newHarness()
		h.join(0)
		h.submit(job(1, smallStep))
		h.advance(flushTime)
		Expect(h.starts()).To(HaveLen(1))
	})

	DescribeTable("tell those that agents reported by their reason", func(reason string, refused uint64) {
		h.leader.Handle(h.now, firstAgentConn, &msgs.Message{Report: &msgs.Report{VM: "vm-0", Incarnation: 5, Ends: []msgs.RunEnd{
			{Task: "0000000000000001.0.0.0", Run: 1, Outcome: msgs.Lost, Reason: reason},
		}}})
		Expect(h.leader.Stats()).To(And(HaveField("Lost", uint64(1)), HaveField("LostRefused", refused), HaveField("LostWithVM", BeZero())))
	},
		Entry("refused", port.ErrWorkerUnhealthy.Error(), uint64(1)),
		Entry("given up", "no response to its starts", uint64(0)),
	)

	It("tell those that ended with their VM's lease", func() {
		h.advance(10 * time.Second)
		Expect(h.leader.Stats()).To(And(HaveField("Lost", uint64(1)), HaveField("LostRefused", BeZero()), HaveField("LostWithVM", uint64(1))))
	})
})
