package fleet_test

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/proof/fleet"
)

const (
	entries = 3
	vms     = 5
	// worldTime is the simulated time of each world, within which all work must end.
	worldTime = 60 * time.Second
)

func TestFleet(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fleet")
}

// run runs a world with the given faults and returns it.
func run(seed uint64, faults ...func(*fleet.World)) *fleet.World {
	w := fleet.New(seed, entries, vms, slog.New(slog.DiscardHandler))
	w.ScheduleWorkload()
	for _, f := range faults {
		f(w)
	}
	w.Run(worldTime)
	return w
}

// at returns a function that schedules a fault at a time after the start of a world.
func at(t time.Duration, f fleet.Fault) func(*fleet.World) {
	return func(w *fleet.World) { w.After(t, func() { f.Inject(w) }) }
}

// lateRefusalSeeds is the number of seeds of each fault beside late refusals.
const lateRefusalSeeds = 6

// lateAppendSeeds is the number of seeds of each fault beside late appends.
const lateAppendSeeds = 24

// oddEndSeeds is the number of seeds of each fault beside odd run ends.
const oddEndSeeds = 8

var _ = Describe("Leaders and agents", func() {
	It("finish all work without faults", func() {
		Expect(run(1).Check()).To(BeEmpty())
	})

	for _, f := range fleet.Faults {
		It("survive: "+f.Name, func() {
			for i := range 24 {
				t := time.Second + time.Duration(i)*233*time.Millisecond
				w := run(uint64(i+1), at(t, f))
				Expect(w.Check()).To(BeEmpty(), "seed %d, at %s", i+1, t)
			}
		})
	}

	for _, f := range fleet.LateOrders {
		It("survive orders that are carried out late while "+f.Name, func() {
			for i := range 8 {
				t := time.Second + time.Duration(i)*477*time.Millisecond
				w := run(uint64(i+1), at(t, f))
				Expect(w.Check()).To(BeEmpty(), "seed %d, at %s", i+1, t)
			}
		})
	}
	for _, f := range fleet.LateRefusals {
		It("survive refusals that arrive late while "+f.Name, func() {
			for i := range lateRefusalSeeds {
				t := time.Second + time.Duration(i)*477*time.Millisecond
				w := run(uint64(i+1), at(t, f))
				Expect(w.Check()).To(BeEmpty(), "seed %d, at %s", i+1, t)
			}
		})
	}

	for _, f := range fleet.LateAppends {
		It("survive appends that are executed late while "+f.Name, func() {
			for i := range lateAppendSeeds {
				t := time.Second + time.Duration(i)*233*time.Millisecond
				w := run(uint64(i+1), at(t, f))
				Expect(w.Check()).To(BeEmpty(), "seed %d, at %s", i+1, t)
			}
		})
	}

	for _, f := range fleet.OddEnds {
		It("survive run ends that cannot be decoded while "+f.Name, func() {
			for i := range oddEndSeeds {
				t := time.Second + time.Duration(i)*477*time.Millisecond
				w := run(uint64(i+1), at(t, f))
				Expect(w.Check()).To(BeEmpty(), "seed %d, at %s", i+1, t)
			}
		})
	}

	It("do not start a task again after its end was acknowledged, in series of late orders, refusals and restarts", func() {
		for seed := range uint64(8) {
			w := run(seed, func(w *fleet.World) {
				w.After(time.Second+time.Duration(seed)*97*time.Millisecond, func() { w.InjectSeries(3) })
			})
			Expect(w.Check()).To(BeEmpty(), fmt.Sprintf("seed %d", seed))
		}
	})

	It("give up a task that crashes its workers, whatever else happens then", func() {
		deadly := fleet.Faults[len(fleet.Faults)-1]
		for i, f := range fleet.Faults {
			for j := range 4 {
				seed := uint64(1000 + 10*i + j)
				first := 2*time.Second + time.Duration(seed%7)*330*time.Millisecond
				second := first + 50*time.Millisecond + time.Duration(seed%29)*110*time.Millisecond
				w := run(seed, at(first, deadly), at(second, f))
				Expect(w.Check()).To(BeEmpty(), fmt.Sprintf("seed %d: %s at %s", seed, f.Name, second))
			}
		}
	})

	It("give up a task that crashes its workers, which start again under their ids", func() {
		for seed := range uint64(24) {
			w := run(seed, func(w *fleet.World) { w.KeepIDs = true }, at(2*time.Second+time.Duration(seed)*97*time.Millisecond, fleet.Faults[len(fleet.Faults)-1]))
			Expect(w.Check()).To(BeEmpty(), fmt.Sprintf("seed %d", seed))
		}
	})

	It("survive pairs of overlapping faults", func() {
		for i, a := range fleet.Faults {
			for j, b := range fleet.Faults {
				seed := uint64(100*i + j)
				first := time.Second + time.Duration(seed%17)*210*time.Millisecond
				second := first + time.Duration(seed%7)*330*time.Millisecond
				w := run(seed, at(first, a), at(second, b))
				Expect(w.Check()).To(BeEmpty(), fmt.Sprintf("seed %d: %s at %s, %s at %s", seed, a.Name, first, b.Name, second))
			}
		}
	})
})
