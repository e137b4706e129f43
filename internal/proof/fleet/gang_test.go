package fleet_test

import (
	"log/slog"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/proof/fleet"
)

const (
	// gangSeeds is the number of seeds of each fault in worlds with gangs.
	gangSeeds = 3
	// gangWorldTime is the simulated time of these worlds. Gangs wait until there is room for all
	// their members.
	gangWorldTime = 2 * worldTime
)

// runGangs runs a world with the given faults in which the first step of each job is a gang.
func runGangs(seed uint64, faults ...func(*fleet.World)) *fleet.World {
	w := fleet.New(seed, entries, vms, slog.New(slog.DiscardHandler))
	w.Gangs = true
	w.ScheduleWorkload()
	for _, f := range faults {
		f(w)
	}
	w.Run(gangWorldTime)
	return w
}

var _ = Describe("Leaders and agents with gangs", func() {
	It("finish all work without faults", func() {
		Expect(runGangs(1).Check()).To(BeEmpty())
	})

	for _, series := range []struct {
		name   string
		faults []fleet.Fault
	}{
		{"survive: ", fleet.Faults},
		{"survive orders that are carried out late while ", fleet.LateOrders},
		{"survive refusals that arrive late while ", fleet.LateRefusals},
	} {
		for _, f := range series.faults {
			It(series.name+f.Name, func() {
				for i := range gangSeeds {
					t := time.Second + time.Duration(i)*433*time.Millisecond
					w := runGangs(uint64(i+1), at(t, f), func(w *fleet.World) { w.KeepIDs = i%2 == 1 })
					Expect(w.Check()).To(BeEmpty(), "seed %d, at %s", i+1, t)
				}
			})
		}
	}

	It("do not start a member again after the gang's end was acknowledged, in series of late orders, refusals and restarts", func() {
		for seed := range uint64(gangSeeds) {
			w := runGangs(seed, func(w *fleet.World) {
				w.After(time.Second+time.Duration(seed)*97*time.Millisecond, func() { w.InjectSeries(3) })
			})
			Expect(w.Check()).To(BeEmpty(), "seed %d", seed)
		}
	})
})
