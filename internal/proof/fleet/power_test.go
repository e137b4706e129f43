package fleet_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/proof/fleet"
)

var _ = Describe("The loss of all power right after an acceptance, while orders are late", func() {
	DescribeTable("breaks no rule", func(p fleet.PowerLoss, keepIDs bool) {
		for i := range 12 {
			n := 6 + 2*i
			w := run(uint64(i+1), func(w *fleet.World) {
				w.KeepIDs, w.OrdersEndWithWorker = keepIDs, keepIDs
				w.TaskTime = 1800 * time.Millisecond
				w.LosePower(n, p)
			})
			Expect(w.Check()).To(BeEmpty(), fmt.Sprintf("seed %d, after acceptance %d", i+1, n))
		}
	},
		Entry("of the processes alone", fleet.PowerLoss{Downtime: 600 * time.Millisecond}, false),
		Entry("of the processes alone, for longer than a lease", fleet.PowerLoss{Downtime: 5 * time.Second}, false),
		Entry("of the entries and some VMs", fleet.PowerLoss{Workers: true, Others: 2, Downtime: 500 * time.Millisecond}, false),
		Entry("of processes and workers", fleet.PowerLoss{Workers: true, Downtime: time.Second}, false),
		Entry("of processes and workers, which start again under their ids", fleet.PowerLoss{Workers: true, Downtime: time.Second}, true),
		Entry("of the entries and some VMs, which start again under their ids", fleet.PowerLoss{Workers: true, Others: 2, Downtime: 500 * time.Millisecond}, true),
	)
})

var _ = Describe("Workers that start again at once with another capacity", func() {
	DescribeTable("get nothing beyond it", func(keepIDs bool) {
		for i := range 12 {
			start := time.Second + time.Duration(i)*233*time.Millisecond
			w := run(uint64(i+1), func(w *fleet.World) {
				w.KeepIDs, w.OrdersEndWithWorker = keepIDs, true
				w.TaskTime = 1800 * time.Millisecond
				w.After(start, w.RestartResized)
			})
			Expect(w.Check()).To(BeEmpty(), fmt.Sprintf("seed %d, at %s", i+1, start))
		}
	},
		Entry("under other ids", false),
		Entry("under their ids", true),
	)
})
