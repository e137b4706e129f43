package learn_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/sched/learn"
)

var _ = Describe("learned interference", func() {
	now := time.Unix(1e9, 0)

	It("tells kinds apart that were only measured together, throttled or not", func() {
		truth := map[string]float64{"loud": 0.3, "quiet": 0.02}
		rnd := rand.New(rand.NewPCG(1, 1))
		var m learn.Model
		for range 3000 {
			var loads []learn.Load
			slowdown := 0.02 * rnd.NormFloat64()
			for kind, disturbs := range truth {
				for range rnd.IntN(4) {
					share := []float64{0.2, 0.5, 1}[rnd.IntN(3)]
					loads = append(loads, learn.Load{Kind: kind, Share: share})
					slowdown += share * disturbs
				}
			}
			if len(loads) > 0 {
				m.Update(now, "s", loads, slowdown)
			}
		}
		Expect(m.Slowdown("s", "loud")).To(BeNumerically("~", 0.3, 0.05))
		Expect(m.Slowdown("s", "quiet")).To(BeNumerically("~", 0.02, 0.03))
		Expect(m.MeanSlowdown("loud")).To(BeNumerically("~", 0.3, 0.05))
	})

	It("assumes a little of what was never measured, and forgets with time", func() {
		var m learn.Model
		unknown := m.Slowdown("s", "new")
		Expect(unknown).To(BeNumerically(">", 0))
		for range 200 {
			m.Update(now, "s", []learn.Load{{Kind: "k", Share: 1}}, 1)
		}
		fresh := m.Slowdown("s", "k")
		m.Update(now.Add(24*time.Hour), "s", []learn.Load{{Kind: "other", Share: 1}}, 0)
		Expect(m.Slowdown("s", "k")).To(BeNumerically("<", fresh/2))
	})
})
