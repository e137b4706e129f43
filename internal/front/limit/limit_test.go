package limit_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/front/limit"
)

var _ = Describe("the limiter", func() {
	now := time.Unix(1e9, 0)

	It("refuses nothing before the first refusal by an upstream", func() {
		var l limit.Limiter
		for range 1000 {
			Expect(l.Acquire(now)).To(BeTrue())
		}
	})

	It("reduces the limit down to the floor and removes it without refusals", func() {
		l := limit.Limiter{Floor: 4}
		at := now
		for range 100 {
			l.Acquire(at)
		}
		for range 100 {
			at = at.Add(100 * time.Millisecond)
			l.Release(at, true)
		}
		Expect(l.Limit()).To(BeNumerically("~", 4, 0.01))
		for range 4 {
			Expect(l.Acquire(at)).To(BeTrue(), "the floor is never refused")
		}
		Expect(l.Acquire(at)).To(BeFalse())
		for range 4 {
			l.Release(at, false)
		}
		Expect(l.Acquire(at.Add(3*time.Second))).To(BeTrue(), "the limit is removed after a time without refusals")
	})

	It("raises the limit again while requests succeed", func() {
		l := limit.Limiter{Floor: 4}
		at := now
		for range 100 {
			l.Acquire(at)
		}
		for range 100 {
			at = at.Add(100 * time.Millisecond)
			l.Release(at, true)
		}
		at = at.Add(100 * time.Millisecond) // past the backoff of the latest refusal
		for range 4 {
			Expect(l.Acquire(at)).To(BeTrue())
		}
		for range 4 {
			l.Release(at, false)
		}
		Expect(l.Limit()).To(BeNumerically(">", 4))
		Expect(l.InFlight()).To(BeZero())
	})
})
