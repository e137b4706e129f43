package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/proof/fleet"
)

var _ = Describe("A job whose task the next process of a worker has started", func() {
	var restart fleet.Fault
	for _, f := range fleet.LateOrders {
		if f.Name == "workers start again under their ids" {
			restart = f
		}
	}

	// In these worlds, workers respond to a start before a poll shows that they have started again.
	DescribeTable("is not given up with one crash under the task", func(seed uint64, t time.Duration) {
		Expect(run(seed, at(t, restart)).Check()).To(BeEmpty())
	},
		Entry("seed 198", uint64(198), 2194*time.Millisecond),
		Entry("seed 246", uint64(246), 2194*time.Millisecond),
		Entry("seed 257", uint64(257), 4383*time.Millisecond),
		Entry("seed 270", uint64(270), 2194*time.Millisecond),
		Entry("seed 294", uint64(294), 2194*time.Millisecond),
	)
})
