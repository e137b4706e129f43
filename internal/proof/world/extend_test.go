package world_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("an agent that restarts while an old leader goes on without the log", func() {
	// The new agent did not know that the VM had followed a later leader. It got a lease from
	// the old one, while the later one gave the VM's attempts to another VM.
	It("gets no lease from the old leader", func() {
		w := newWorld(1, 2, 0)
		w.Entries[0].Submit("t", "long", "bulk", 12, time.Hour, ignore)
		w.Run(5 * time.Second)
		old, vm := leader(w), w.VMs[0]
		w.LogDownUntil = w.Now.Add(20 * time.Second)
		w.CutLog(old.Proc, 10*time.Minute)
		w.Run(50 * time.Second)
		Expect(old.Core.Leader("main").Leads(w.Now)).To(BeTrue(), "the old leader has promises")
		Expect(vm.Host.Runner.Term()).To(BeEquivalentTo(2), "term that the VM has seen")
		w.AddVM() // capacity for the revoked attempts
		w.Run(5 * time.Second)
		for _, e := range w.Entries {
			if e != old {
				isolate(w, vm, e, 5*time.Minute)
			}
		}
		vm.Kill()
		vm.Restart(false)
		w.Run(time.Minute)
		Expect(w.Witness.Overlaps(w.Now)).To(BeEmpty())
	})
})
