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
	// settle is how long a world has to finish all work after the last fault.
	settle = 60 * time.Second
)

func TestFleet(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fleet")
}

// play lets faults strike at times after the beginning.
func play(seed uint64, faults ...func(*fleet.World)) *fleet.World {
	w := fleet.New(seed, entries, vms, slog.New(slog.DiscardHandler))
	w.Story()
	for _, f := range faults {
		f(w)
	}
	w.Run(settle)
	return w
}

func at(t time.Duration, f fleet.Fault) func(*fleet.World) {
	return func(w *fleet.World) { w.After(t, func() { f.Strike(w) }) }
}

var _ = Describe("Leaders and agents", func() {
	It("finish all work on a calm day", func() {
		Expect(play(1).Check()).To(BeEmpty())
	})

	for _, f := range fleet.Faults {
		It("survive: "+f.Name, func() {
			for i := range 24 {
				t := time.Second + time.Duration(i)*233*time.Millisecond
				w := play(uint64(i+1), at(t, f))
				Expect(w.Check()).To(BeEmpty(), "seed %d, at %s", i+1, t)
			}
		})
	}

	It("survive pairs of faults that overlap", func() {
		for i, a := range fleet.Faults {
			for j, b := range fleet.Faults {
				seed := uint64(100*i + j)
				first := time.Second + time.Duration(seed%17)*210*time.Millisecond
				second := first + time.Duration(seed%7)*330*time.Millisecond
				w := play(seed, at(first, a), at(second, b))
				Expect(w.Check()).To(BeEmpty(), fmt.Sprintf("seed %d: %s at %s, %s at %s", seed, a.Name, first, b.Name, second))
			}
		}
	})
})
