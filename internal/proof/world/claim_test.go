package world_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/proof/world"
)

var _ = Describe("a claim that the log delays", func() {
	// It used to begin a term although the leader had renewed its own in between. The new
	// leader then waited for leases only from then on, while the old one, which did not
	// read the claim, went on to renew them.
	It("does not begin a term if the leader has renewed its own since", func() {
		const delay = 3 * time.Second
		w := newWorld(1, 2, 0)
		w.Entries[0].Submit("t", "k", "bulk", 8, time.Hour, ignore)
		w.Run(5 * time.Second)
		old := leader(w)
		w.CutLog(old.Proc, time.Minute)
		claimed := false
		w.Hook = func(step world.Step, p *world.Proc) bool {
			if step != world.Takeover || p == old.Proc {
				return false
			}
			p.SetFaults(world.ProcFaults{DelayAppend: delay})
			if !claimed {
				claimed = true
				w.CutLog(old.Proc, 0)
			}
			return false
		}
		for !claimed {
			w.Run(10 * time.Millisecond)
		}
		w.Run(delay - 50*time.Millisecond)
		Expect(old.Core.Leader("main").Leads(w.Now)).To(BeTrue(), "the old leader leads again")
		w.Hook = nil
		w.CutLog(old.Proc, time.Minute)
		for _, vm := range w.VMs {
			for _, e := range w.Entries {
				if e != old {
					isolate(w, vm, e, time.Minute)
				}
			}
		}
		w.AddVM() // capacity for the revoked attempts
		w.Run(time.Minute)
		Expect(w.Witness.Overlaps(w.Now)).To(BeEmpty())
	})
})
