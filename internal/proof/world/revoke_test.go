package world_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/proof/world"
)

// isolate cuts a VM off from an entry, in both directions, for d.
func isolate(w *world.World, vm *world.VM, e *world.Entry, d time.Duration) {
	w.Cut(e.Proc, vm.Proc, d)
	w.Cut(vm.Proc, e.Proc, d)
}

var _ = Describe("a VM that is heard of again", func() {
	// The leader had asked the log to revoke its attempts, did not know yet that this had
	// happened, and assigned them to it once more.
	It("does not start an attempt that is being revoked, whenever its heartbeat comes", func() {
		for phase := time.Duration(0); phase < 1500*time.Millisecond; phase += 100 * time.Millisecond {
			w := newWorld(1, 0, 0)
			w.Run(phase)
			w.AddVM()
			w.Run(5 * time.Second)
			revokeOnce(w, w.VMs[0])
			Expect(w.Witness.Runs()).NotTo(BeEmpty())
			Expect(w.Witness.Overlaps(w.Now)).To(BeEmpty(), "phase %s", phase)
		}
	})
})

// revokeOnce has attempts granted to a VM that does not hear of them. The VM is heard of
// again for a moment while they are being revoked.
func revokeOnce(w *world.World, vm *world.VM) {
	first := leader(w)
	cell := first.Core.Leader("main")
	w.LogLatency = 700 * time.Millisecond
	w.Hook = func(step world.Step, _ *world.Proc) bool {
		if step == world.Place {
			isolate(w, vm, first, time.Hour)
		}
		return false
	}
	w.Entries[0].Submit("t", "k", "bulk", 4, time.Hour, ignore)
	w.Run(4 * time.Second)
	w.Hook = nil
	Expect(cell.Stats().Grants).To(BeEquivalentTo(4))
	w.AddVM() // capacity for the revoked attempts
	for cell.Stats().Revocations == 0 {
		w.Run(10 * time.Millisecond)
	}
	isolate(w, vm, first, 0)
	w.Run(1200 * time.Millisecond)
	isolate(w, vm, first, 20*time.Second)
	w.Run(time.Minute)
}
