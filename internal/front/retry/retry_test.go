package retry_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/front/retry"
)

var _ = Describe("the retry budget", func() {
	now := time.Unix(1e9, 0)
	safe := retry.Request{NotRun: true, Tries: 1, Deadline: now.Add(time.Second), ExpectedTime: time.Millisecond}

	It("is a share of what was sent", func() {
		var b retry.Budget
		retries := 0
		for range 1000 {
			b.Deposit(0.1)
			if b.Allow(now, safe) {
				retries++
			}
		}
		Expect(retries).To(BeNumerically("~", 110, 1), "ten from the first second's floor")
	})

	It("lets a service with few requests retry a little", func() {
		var b retry.Budget
		allowed := func(at time.Time) int {
			n := 0
			for range 100 {
				try := safe
				try.Deadline = at.Add(time.Minute)
				if b.Allow(at, try) {
					n++
				}
			}
			return n
		}
		Expect(allowed(now)).To(Equal(10))
		Expect(allowed(now)).To(BeZero())
		Expect(allowed(now.Add(500 * time.Millisecond))).To(Equal(5))
		Expect(allowed(now.Add(time.Hour))).To(Equal(10))
	})

	DescribeTable("allows only what is safe and can help",
		func(change func(t *retry.Request), want bool) {
			var b retry.Budget
			for range 20 {
				b.Deposit(1)
			}
			t := safe
			change(&t)
			Expect(b.Allow(now, t)).To(Equal(want))
		},
		Entry("not run", func(*retry.Request) {}, true),
		Entry("may have run", func(t *retry.Request) { t.NotRun = false }, false),
		Entry("may have run, idempotent", func(t *retry.Request) { t.NotRun, t.Idempotent = false, true }, true),
		Entry("past the deadline", func(t *retry.Request) { t.ExpectedTime = time.Minute }, false),
		Entry("too many tries", func(t *retry.Request) { t.Tries = retry.MaxTries }, false),
	)

	It("follows a high quantile of answer times", func() {
		var q retry.Quantile
		_, ok := q.Value()
		Expect(ok).To(BeFalse())
		for i := range 10_000 {
			q.Add(time.Duration(i%100+1) * time.Millisecond)
		}
		v, ok := q.Value()
		Expect(ok).To(BeTrue())
		Expect(v).To(BeNumerically("~", 95*time.Millisecond, 12*time.Millisecond))
	})
})
