package once_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/front/once"
)

var _ = Describe("the table of request ids", func() {
	start := time.Unix(1e9, 0)
	now := start.Add(time.Hour)
	var t *once.Table
	BeforeEach(func() { t = once.New(start) })

	It("lets an id run once", func() {
		Expect(t.Register(now, "a", now)).To(Equal(once.Run))
		Expect(t.Register(now, "a", now)).To(Equal(once.Duplicate))
		Expect(t.Start("a")).To(BeTrue())
		Expect(t.Register(now, "a", now)).To(Equal(once.Duplicate))
		Expect(t.Revoke(now, "a")).To(BeFalse())
	})

	It("lets an id come again that was withdrawn before it started", func() {
		t.Register(now, "a", now)
		t.Withdraw("a")
		Expect(t.Register(now, "a", now)).To(Equal(once.Run))
		t.Start("a")
		t.Withdraw("a")
		Expect(t.Register(now, "a", now)).To(Equal(once.Duplicate))
	})

	It("keeps a revoked id from starting, known or not", func() {
		t.Register(now, "a", now)
		Expect(t.Revoke(now, "a")).To(BeTrue())
		Expect(t.Start("a")).To(BeFalse())
		Expect(t.Revoke(now, "b")).To(BeTrue())
		Expect(t.Register(now, "b", now)).To(Equal(once.Revoked))
	})

	DescribeTable("refuses ids it cannot judge",
		func(age time.Duration, want once.Verdict) {
			Expect(t.Register(now, "a", now.Add(-age))).To(Equal(want))
		},
		Entry("fresh", time.Second, once.Run),
		Entry("as old as is kept", once.Retention, once.Stale),
		Entry("from the future", -time.Minute, once.Stale),
		Entry("older than the process", time.Hour, once.Stale),
	)

	It("refuses ids made while entries may not know the process yet", func() {
		young := once.New(now.Add(-once.ConvergenceTime))
		Expect(young.Register(now, "a", now.Add(-time.Millisecond))).To(Equal(once.Stale))
		Expect(young.Register(now, "a", now)).To(Equal(once.Run))
	})

	It("forgets ids only when they are too old to come again", func() {
		t.Register(now, "a", now)
		Expect(t.Register(now.Add(once.Retention-time.Second), "a", now)).To(Equal(once.Duplicate))
		Expect(t.Register(now.Add(once.Retention), "a", now)).To(Equal(once.Stale))
		Expect(t.Len()).To(BeZero())
	})
})
