package pack

import (
	"math/rand/v2"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/sched/learn"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

// firstFit is the policy of FirstFit.
type firstFit struct{}

// Score implements place.Policy. All VMs score alike, so the first with enough free
// capacity is chosen.
func (firstFit) Score(*place.Task, *place.VM) float64 { return 0 }

// randomFit is the policy of Random.
type randomFit struct {
	rnd *rand.Rand
}

// Score implements place.Policy. Scores are random, so any VM with enough free
// capacity may be chosen.
func (a randomFit) Score(*place.Task, *place.VM) float64 { return a.rnd.Float64() }

// Production is the placement policy used in production, with learned slowdowns.
func Production(seed uint64) Config {
	return newConfig(seed, true, func(m *learn.Model) place.Policy { return place.Pack{Estimates: m} })
}

// WithoutLearning is the placement policy used in production, without learned
// slowdowns.
func WithoutLearning(seed uint64) Config {
	return newConfig(seed, false, func(*learn.Model) place.Policy { return place.Pack{} })
}

// FirstFit chooses the first VM with enough free capacity.
func FirstFit(seed uint64) Config {
	return newConfig(seed, false, func(*learn.Model) place.Policy { return firstFit{} })
}

// Random chooses a VM with enough free capacity at random.
func Random(seed uint64) Config {
	return newConfig(seed, false, func(*learn.Model) place.Policy {
		return randomFit{rand.New(rand.NewPCG(seed, 3))}
	})
}

// newConfig returns the configuration that the policies share.
func newConfig(seed uint64, learning bool, policy func(*learn.Model) place.Policy) Config {
	return Config{
		Seed: seed, VMs: 30, RunDuration: 3 * time.Hour, Learning: learning, Policy: policy,
		MeasurementLag: 20 * time.Second,
	}
}
