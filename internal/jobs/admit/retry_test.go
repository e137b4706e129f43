package admit_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/admit"
	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
)

func id(n int) model.ID { return model.ID(fmt.Sprintf("%016x", n)) }

// simulateOutage simulates callers that submit a job every 20 ms during an outage, in which
// new jobs are refused, and try up to five times. It returns the number of jobs that were
// accepted, and the number of all jobs.
func simulateOutage(outage time.Duration, wait func(time.Duration, model.ID) time.Duration) (accepted, jobs int) {
	const tries, every = 5, 20 * time.Millisecond
	for at := time.Duration(0); at < outage; at += every {
		now := at
		for range tries {
			if now >= outage {
				accepted++
				break
			}
			now += wait(now, id(jobs))
		}
		jobs++
	}
	return accepted, jobs
}

var _ = Describe("RetryAfter", func() {
	everySecond := func(time.Duration, model.ID) time.Duration { return time.Second }

	It("lets all callers outlast an outage of 9 s, of which fewer than half do with a retry every second", func() {
		constant, jobs := simulateOutage(9*time.Second, everySecond)
		growing, _ := simulateOutage(9*time.Second, admit.RetryAfter)
		Expect(growing).To(Equal(jobs))
		Expect(constant).To(BeNumerically("<", jobs/2))
	})

	It("spreads the retries of callers that were refused at the same time", func() {
		delays := map[time.Duration]int{}
		for n := range 300 {
			delays[admit.RetryAfter(4*time.Second, id(n))]++
		}
		Expect(delays).To(HaveLen(3))
		Expect(delays).To(HaveEach(BeNumerically("<", 200)))
	})

	DescribeTable("is bounded", func(lasted time.Duration) {
		for n := range 50 {
			Expect(admit.RetryAfter(lasted, id(n))).To(And(
				BeNumerically(">=", time.Second), BeNumerically("<=", 8*time.Second)))
		}
	},
		Entry("at the start of an outage", time.Duration(0)), Entry("for a negative duration", -time.Second), Entry("after an hour", time.Hour),
	)
})
