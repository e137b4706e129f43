package pack_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/proof/pack"
)

func TestPack(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "pack")
}

// maxLostRatio bounds the work lost by EvictCheapest relative to EvictNewest.
const maxLostRatio = 0.5

var _ = Describe("placement", func() {
	It("loses at most half of the work that evicting the newest tasks would lose", func() {
		lost := func(e pack.EvictionPolicy) float64 {
			return sum(func(seed uint64) pack.Config {
				c := pack.Production(seed)
				c.UrgentInterval, c.EvictionPolicy = 20*time.Second, e
				return c
			}).LostWork.Minutes()
		}
		Expect(lost(pack.EvictCheapest) / lost(pack.EvictNewest)).To(BeNumerically("<=", maxLostRatio))
	})

	It("does not slow services down more than first fit", func() {
		production, firstFit := sum(pack.Production), sum(pack.FirstFit)
		Expect(production.Slowdown).To(BeNumerically("<=", firstFit.Slowdown))
	})
})
