package world_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/proof/world"
)

var _ = Describe("a job that is cancelled right after it was accepted", func() {
	It("starts nothing later, whichever entries are paused or left alone with some VMs", func() {
		cancelled := 0
		for seed := range uint64(10) {
			w := newWorld(seed, 4, 1)
			rnd := rand.New(rand.NewPCG(seed, 11))
			for n := range 60 {
				s := w.Entries[rnd.IntN(3)].Submit("t", fmt.Sprintf("job-%d", n), "bulk", 30, 10*time.Second, ignore)
				w.Run(time.Duration(rnd.IntN(400)) * time.Millisecond)
				w.Entries[rnd.IntN(3)].CancelJob("t", s)
				if n%3 == 0 {
					disturbEntry(w, w.Entries[rnd.IntN(3)], rnd)
				}
				if old := leader(w); n%20 == 0 && old != nil {
					leaveAlone(w, old, 20*time.Second)
				}
				w.Run(300 * time.Millisecond)
			}
			w.Run(5 * time.Minute) // the jobs that were not cancelled end
			for _, c := range w.History.Cancels {
				if c.Done && c.Code == codes.OK {
					cancelled++
				}
			}
			Expect(w.Check()).To(BeEmpty(), "seed %d", seed)
		}
		Expect(cancelled).To(BeNumerically(">", 150))
	})
})

// leaveAlone cuts an entry off from the log, and the first two VMs off from all other
// entries, for d.
func leaveAlone(w *world.World, alone *world.Entry, d time.Duration) {
	w.CutLog(alone.Proc, d)
	for _, vm := range w.VMs[:2] {
		for _, e := range w.Entries {
			if e != alone {
				isolate(w, vm, e, d)
			}
		}
	}
}
