package lead_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
)

var _ = Describe("A run that is taken back and may crash its worker", func() {
	const suspect = "0000000000000001.0.0.0"
	var h *harness

	// list sends the lease request of VM n's agent, which lists the suspect's second run.
	list := func(n int, unproven ...msgs.RunRef) {
		h.seq++
		h.leader.Handle(h.now, uint64(firstAgentConn+n), &msgs.Message{
			LeaseRequest: &msgs.LeaseRequest{Seq: h.seq, RunsListed: true, VM: vmInfo(n), Runs: []msgs.RunStatus{{Task: suspect, Run: 2}}},
			Unproven:     &msgs.Unproven{Runs: unproven},
		})
		h.advance(flushTime)
	}

	BeforeEach(func() {
		h = newHarness()
		h.join(0)
		h.submit(job(1, smallStep))
		h.advance(flushTime)
		Expect(h.starts()).To(ConsistOf(HaveField("Run", uint32(1))))
		gone := vmInfo(0)
		gone.Down = true
		h.seq++
		h.leader.Handle(h.now, firstAgentConn, &msgs.Message{
			LeaseRequest: &msgs.LeaseRequest{Seq: h.seq, VM: gone},
			Crashes:      []msgs.Crash{{Number: 1, VM: gone.ID, Incarnation: gone.Incarnation, Runs: []msgs.RunRef{{Task: suspect, Run: 1}, {Task: "other", Run: 1}}}},
		})
		h.join(1)
		h.advance(flushTime)
		Expect(h.starts()).To(ConsistOf(HaveField("Run", uint32(2))))
		h.leader.Handle(h.now, firstAgentConn+1, &msgs.Message{Report: &msgs.Report{VM: "vm-1", Incarnation: 5, Ends: []msgs.RunEnd{{Task: suspect, Run: 2, Outcome: msgs.Lost}}}})
	})

	It("keeps other work away from its VM until it is proven", func() {
		list(1, msgs.RunRef{Task: suspect, Run: 2})
		h.submit(job(2, smallStep))
		h.advance(flushTime)
		Expect(h.starts()).To(BeEmpty(), "the other task might be taken for the cause of a crash")
		list(1)
		h.advance(200 * time.Millisecond)
		Expect(h.starts()).To(ConsistOf(HaveField("Task", "0000000000000002.0.0.0")))
	})
})
