package lead_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
)

var _ = Describe("A leader whose store is slow", func() {
	// The orders of such a job wait for its record, which the batch has no room for.
	It("starts no job that it has refused, and refuses none whose orders it holds", func() {
		h := newHarness()
		h.join(0)
		for n := range 4 {
			j := job(n+1, smallStep)
			j.Steps[0].Image = strings.Repeat("x", 200<<10)
			h.submit(j)
		}
		h.now = h.now.Add(20 * time.Millisecond)
		Expect(h.nextBatch()).To(BeTrue())
		h.now = h.now.Add(time.Second)
		h.leader.Tick(h.now)
		h.out = append(h.out, h.leader.TakeOutbound()...)
		refused := len(h.responses())
		h.confirmBatch()
		h.advance(200 * time.Millisecond)
		started, accepted := 0, 0
		for _, m := range h.out {
			if m.Message.Orders != nil {
				started += len(m.Message.Orders.Starts)
			}
			if r := m.Message.JobResponse; r != nil && r.Code == codes.OK {
				accepted++
			}
		}
		Expect(accepted).To(Equal(4 - refused))
		Expect(started).To(Equal(accepted))
	})
})

var _ = Describe("Orders that are held for the store", func() {
	// The lease of the VM ends while the store is away, so that the jobs have no run any more.
	It("start no job that was refused", func() {
		h := newHarness()
		h.join(0)
		for n := range 4 {
			j := job(n+1, smallStep)
			j.Steps[0].Image = strings.Repeat("x", 200<<10)
			h.submit(j)
		}
		h.now = h.now.Add(20 * time.Millisecond)
		Expect(h.nextBatch()).To(BeTrue())
		h.now = h.now.Add(9 * time.Second)
		h.leader.Tick(h.now)
		h.out = append(h.out, h.leader.TakeOutbound()...)
		Expect(h.responses()).To(ContainElement(HaveField("Code", codes.LogDown)))
		h.out = nil
		h.confirmBatch()
		h.advance(200 * time.Millisecond)
		Expect(h.starts()).To(BeEmpty(), "the VM was removed, and the runs have ended")
	})
})
