package lead_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

var _ = Describe("The estimates of a leader", func() {
	// baseLoad leaves long-running tasks too little headroom for a heavy best-effort task.
	const baseLoad = 0.4
	// lowLoad leaves them enough for one.
	const lowLoad = 0.1

	// takeOver replaces the leader by a new one that starts from the records, with or without
	// the recorded estimates.
	takeOver := func(c *colocation, restore bool, baseLoad float64) *colocation {
		c.lead(epoch + 1)
		c.overTarget = 0
		if restore {
			Expect(c.leader.RestoreEstimates(c.now, c.records)).To(Succeed())
		}
		for n := range c.vms {
			c.requestLease(n, true, c.statuses(n, baseLoad)...)
		}
		c.advance(time.Second)
		c.applyOrders()
		return c
	}

	// heavyStartsAfter returns how many heavy best-effort tasks a new leader starts within
	// belowMaxIdle on VMs whose long-running tasks they would overload.
	heavyStartsAfter := func(restore bool) int {
		c := newColocation(4, highRequest)
		c.applyOrders()
		c.submit(2, "heavy", 2)
		c.simulate(baseLoad, 8*time.Second)
		c.submit(5, "light", 1)
		c.simulate(baseLoad, 4*time.Second)
		c = takeOver(c, restore, baseLoad)
		before := c.count("heavy")
		c.submit(4, "heavy", 4)
		c.simulate(baseLoad, belowMaxIdle)
		return c.count("heavy") - before
	}

	It("are restored by the next one", func() {
		Expect(heavyStartsAfter(true)).To(BeZero())
		Expect(heavyStartsAfter(false)).To(BeNumerically(">", 0))
	})

	// The new leader ignored the latencies of running tasks for 2 s, as if they had just started.
	It("include those of the load of running tasks from its first report on", func() {
		c := newColocation(4, highRequest)
		c.applyOrders()
		c.submit(2, "heavy", 2)
		c.simulate(lowLoad, 8*time.Second)
		c.submit(5, "light", 1) // estimates are recorded together with changes of jobs
		c.simulate(lowLoad, 400*time.Millisecond)
		takeOver(c, true, lowLoad)
		before := c.count("heavy")
		c.submit(4, "heavy", 2)
		c.simulate(lowLoad, 400*time.Millisecond)
		Expect(c.count("heavy")).To(BeNumerically(">", before))
	})

	DescribeTable("are rejected if the record is invalid", func(value string, err bool) {
		h := newHarness()
		got := h.leader.RestoreEstimates(h.now, []port.Record{{Key: "learned", Value: []byte(value)}})
		Expect(got != nil).To(Equal(err))
	},
		Entry("invalid CBOR", "\xff\x00", true),
		Entry("no bytes", "", true),
		Entry("fields missing", "\x80", true),
	)
})
