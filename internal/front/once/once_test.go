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
		Expect(t.Revoke(now, "a", now)).To(BeFalse())
	})

	It("accepts an id again that was withdrawn before it started", func() {
		t.Register(now, "a", now)
		t.Withdraw("a")
		Expect(t.Register(now, "a", now)).To(Equal(once.Run))
		t.Start("a")
		t.Withdraw("a")
		Expect(t.Register(now, "a", now)).To(Equal(once.Duplicate))
	})

	It("never starts a revoked id, registered or not", func() {
		t.Register(now, "a", now)
		Expect(t.Revoke(now, "a", now)).To(BeTrue())
		Expect(t.Start("a")).To(BeFalse())
		Expect(t.Revoke(now, "b", now)).To(BeTrue())
		Expect(t.Register(now, "b", now)).To(Equal(once.Revoked))
	})

	// It used to say that a request which it did not know had not run.
	DescribeTable("says that a revoked request has not run only if it would know otherwise",
		func(age time.Duration, want bool) {
			Expect(t.Revoke(now, "a", now.Add(-age))).To(Equal(want))
			Expect(t.Register(now, "a", now)).To(Equal(once.Revoked))
		},
		Entry("fresh", time.Second, true),
		Entry("as old as the retention", once.Retention, false),
		Entry("from the future", -time.Minute, false),
		Entry("older than the process", time.Hour, false),
	)

	It("does not say that a request has not run that it has forgotten", func() {
		t.Register(now, "a", now)
		t.Start("a")
		Expect(t.Revoke(now.Add(once.Retention), "a", now)).To(BeFalse())
	})

	DescribeTable("refuses an id if it cannot know whether the request has run",
		func(age time.Duration, want once.Verdict) {
			Expect(t.Register(now, "a", now.Add(-age))).To(Equal(want))
		},
		Entry("fresh", time.Second, once.Run),
		Entry("as old as the retention", once.Retention, once.Stale),
		Entry("from the future", -time.Minute, once.Stale),
		Entry("older than the process", time.Hour, once.Stale),
	)

	It("refuses ids made before all entries know of the upstream", func() {
		restarted := once.New(now.Add(-once.ConvergenceTime))
		Expect(restarted.Register(now, "a", now.Add(-time.Millisecond))).To(Equal(once.Stale))
		Expect(restarted.Register(now, "a", now)).To(Equal(once.Run))
	})

	It("forgets ids only when they are too old to be accepted again", func() {
		t.Register(now, "a", now)
		Expect(t.Register(now.Add(once.Retention-time.Second), "a", now)).To(Equal(once.Duplicate))
		Expect(t.Register(now.Add(once.Retention), "a", now)).To(Equal(once.Stale))
		Expect(t.Len()).To(BeZero())
	})
})
