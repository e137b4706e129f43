package slots_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/proof/slots"
)

// The targets of the request path.
const (
	// maxFloodRatio bounds the 99th percentile of the response time of validations in
	// a flood of bulk requests, relative to that without a flood.
	maxFloodRatio = 1.25
	// minServedShare is the least value of ServedShare for each kind that does not flood.
	minServedShare = 0.95
	// maxNoisyRatio bounds the 99th percentile of the response time of validations
	// with slow upstreams, relative to that of LeastInFlight.
	maxNoisyRatio = 0.7
	// maxTriesPerRequest bounds the tries per request while an availability zone is
	// down.
	maxTriesPerRequest = 1.10
	// minZoneAnswered bounds the share of answered requests while an availability
	// zone is down.
	minZoneAnswered = 0.95
)

// p99 returns the 99th percentile of the response time of validations in
// milliseconds, as the mean over the seeds.
func p99(config func(seed uint64) slots.Config) float64 {
	sum := 0.0
	for seed := range uint64(seeds) {
		r := slots.Run(config(seed + 1))
		sum += ms(r.Kinds["validate"].Quantile(0.99))
	}
	return sum / seeds
}

var _ = Describe("the request path", func() {
	calm := func(p slots.Policy) func(uint64) slots.Config {
		return func(seed uint64) slots.Config { return slots.Registry(seed, p) }
	}

	It("limits the response time of validations in a fivefold flood of bulk requests", func() {
		flood := func(seed uint64) slots.Config { return slots.Registry(seed, slots.Production()).Flood("bulk", 5) }
		Expect(p99(flood) / p99(calm(slots.Production()))).To(BeNumerically("<=", maxFloodRatio))
	})

	DescribeTable("serves the guaranteed shares of the other kinds in a twentyfold flood",
		func(flooding string, others ...string) {
			for seed := range uint64(seeds) {
				c := slots.Registry(seed+1, slots.Production()).Flood(flooding, 20)
				c.RunDuration = 4 * time.Second
				r := slots.Run(c)
				for _, kind := range others {
					Expect(c.ServedShare(r, kind)).To(BeNumerically(">=", minServedShare), "%s, seed %d", kind, seed+1)
				}
			}
		},
		Entry("of a kind with the lowest weight", "bulk", "validate", "feed"),
		Entry("of the kind with the highest weight", "validate", "bulk", "feed"),
	)

	It("avoids slow upstreams although the reported loads are 2 s old", func() {
		late := func(p slots.Policy) func(uint64) slots.Config {
			return func(seed uint64) slots.Config {
				c := slots.Registry(seed, p).Noisy(4)
				c.ReportLag = 2 * time.Second
				return c
			}
		}
		least := p99(late(slots.LeastInFlight()))
		Expect(p99(late(slots.Production())) / least).To(BeNumerically("<=", maxNoisyRatio))
	})

	It("sends few retries and answers most requests when an availability zone is lost", func() {
		for seed := range uint64(seeds) {
			c := slots.Registry(seed+1, slots.Production())
			c.ZoneOutage = true
			r := slots.Run(c)
			offered, answered := 0, 0
			for _, k := range r.Kinds {
				offered += k.Offered
				answered += k.Answered
			}
			Expect(float64(r.Sent) / float64(offered)).To(BeNumerically("<=", maxTriesPerRequest))
			Expect(float64(answered) / float64(offered)).To(BeNumerically(">=", minZoneAnswered))
		}
	})

	It("never runs more requests than there are slots, with any number of entries", func() {
		for _, entries := range []int{2, 4, 12} {
			c := slots.Registry(1, slots.Production()).Flood("bulk", 5)
			c.Entries, c.RunDuration = entries, 3*time.Second
			Expect(slots.Run(c).PeakRunning).To(BeNumerically("<=", c.Upstreams*c.Slots))
		}
	})
})
