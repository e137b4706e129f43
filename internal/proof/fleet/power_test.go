package fleet_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/proof/fleet"
)

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
