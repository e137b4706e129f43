package world_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oklog/ulid/v2"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/proof/world"
)

var _ = Describe("a request whose agent restarts while it runs", func() {
	// The new agent knew nothing of the request, and said that it had not run. The entry
	// then sent it to another upstream.
	It("does not run again", func() {
		w := newWorld(1, 3, 3)
		w.Run(10 * time.Second)
		w.Hook = func(step world.Step, p *world.Proc) bool {
			if step != world.Answer {
				return false
			}
			w.Hook = nil
			for _, vm := range w.VMs {
				if vm.Proc == p {
					vm.Kill()
					w.After(300*time.Millisecond, func() { vm.Restart(false) })
				}
			}
			return true
		}
		c := &world.Call{ID: ulid.MustNew(ulid.Timestamp(w.Now), zeros{}).String()}
		w.History.Calls = append(w.History.Calls, c)
		w.Entries[0].Do(c, "t", "registry", func(code codes.Code) { c.Done, c.Code = true, code })
		w.Run(20 * time.Second)
		Expect(c.Code.Info().Ran).To(Equal(codes.RanUnknown))
		Expect(w.Witness.Served(c.ID)).To(Equal(1))
		Expect(w.Check()).To(BeEmpty())
	})
})

// zeros is a source of zeros instead of random bytes.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}
