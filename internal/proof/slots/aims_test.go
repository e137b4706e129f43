package slots_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/proof/slots"
)

// The aims of the request path, as means over the seeds.
const (
	floodRatio   = 1.25
	keptShare    = 0.95
	noisyRatio   = 0.7
	retryLoad    = 1.10
	zoneAnswered = 0.95
)

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

	It("answers validations in time in a fivefold flood of bulk work", func() {
		flood := func(seed uint64) slots.Config { return slots.Registry(seed, slots.Own()).Flood("bulk", 5) }
		Expect(p99(flood) / p99(calm(slots.Own()))).To(BeNumerically("<=", floodRatio))
	})

	DescribeTable("keeps the others' guaranteed shares in a twentyfold flood",
		func(flooding string, others ...string) {
			for seed := range uint64(seeds) {
				c := slots.Registry(seed+1, slots.Own()).Flood(flooding, 20)
				c.For = 4 * time.Second
				r := slots.Run(c)
				for _, kind := range others {
					Expect(c.Kept(r, kind)).To(BeNumerically(">=", keptShare), "%s, seed %d", kind, seed+1)
				}
			}
		},
		Entry("of the least urgent", "bulk", "validate", "feed"),
		Entry("of the most urgent", "validate", "bulk", "feed"),
	)

	It("avoids slow upstreams, also with reports 2 s late", func() {
		late := func(p slots.Policy) func(uint64) slots.Config {
			return func(seed uint64) slots.Config {
				c := slots.Registry(seed, p).Noisy(4)
				c.ReportLag = 2 * time.Second
				return c
			}
		}
		least := p99(late(slots.LeastInFlight()))
		Expect(p99(late(slots.Own())) / least).To(BeNumerically("<=", noisyRatio))
	})

	It("adds little load by retries when an availability zone is lost", func() {
		for seed := range uint64(seeds) {
			c := slots.Registry(seed+1, slots.Own())
			c.ZoneOut = true
			r := slots.Run(c)
			offered, answered := 0, 0
			for _, k := range r.Kinds {
				offered += k.Offered
				answered += k.Answered
			}
			Expect(float64(r.Sent) / float64(offered)).To(BeNumerically("<=", retryLoad))
			Expect(float64(answered) / float64(offered)).To(BeNumerically(">=", zoneAnswered))
		}
	})

	It("never runs more than all slots, with any number of entries", func() {
		for _, entries := range []int{2, 4, 12} {
			c := slots.Registry(1, slots.Own()).Flood("bulk", 5)
			c.Entries, c.For = entries, 3*time.Second
			Expect(slots.Run(c).MostRunning).To(BeNumerically("<=", c.Upstreams*c.Slots))
		}
	})
})
