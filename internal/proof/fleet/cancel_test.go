package fleet_test

import (
	"fmt"
	"log/slog"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/proof/fleet"
)

const (
	// cancelSeeds is the number of seeds of each fault beside cancellings.
	cancelSeeds = 4
	// cancelWorldTime is the simulated time of these worlds.
	cancelWorldTime = 30 * time.Second
)

// runCancels runs a world with cancelled jobs and the given faults.
func runCancels(seed uint64, faults ...func(*fleet.World)) *fleet.World {
	w := fleet.New(seed, entries, vms, slog.New(slog.DiscardHandler))
	if seed%2 == 0 {
		w.DriftClocks()
	}
	w.ScheduleCancels()
	for _, f := range faults {
		f(w)
	}
	w.Run(cancelWorldTime)
	return w
}

var _ = Describe("Cancelled jobs", func() {
	for _, f := range fleet.Cancels {
		It("run no task after the acknowledgement while "+f.Name, func() {
			for i := range cancelSeeds {
				t := 600*time.Millisecond + time.Duration(i)*133*time.Millisecond
				Expect(runCancels(uint64(i+1), at(t, f)).Check()).To(BeEmpty(), fmt.Sprintf("seed %d, at %s", i+1, t))
			}
		})
	}
})
