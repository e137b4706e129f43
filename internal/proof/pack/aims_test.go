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

// lostRatio is the aim for work lost by evictions against evicting the newest.
const lostRatio = 0.5

var _ = Describe("placement", func() {
	It("loses half the work that evicting the newest would", func() {
		lost := func(e pack.Evictor) float64 {
			return sum(func(seed uint64) pack.Config {
				c := pack.Own(seed)
				c.Urgent, c.Evictor = 20*time.Second, e
				return c
			}).Lost.Minutes()
		}
		Expect(lost(pack.Cheapest) / lost(pack.Newest)).To(BeNumerically("<=", lostRatio))
	})

	It("slows services no more than first fit does", func() {
		own, first := sum(pack.Own), sum(pack.FirstFit)
		Expect(own.Slowdown).To(BeNumerically("<=", first.Slowdown))
	})
})
