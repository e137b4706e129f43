package pack

import (
	"math/rand/v2"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/sched/learn"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

type firstFit struct{}

// Score implements place.Policy: the first VM with room wins.
func (firstFit) Score(*place.Task, *place.VM) float64 { return 0 }

type anyFit struct {
	rnd *rand.Rand
}

// Score implements place.Policy: any VM with room wins.
func (a anyFit) Score(*place.Task, *place.VM) float64 { return a.rnd.Float64() }

// Own is the project's policy with learning.
func Own(seed uint64) Config {
	return base(seed, true, func(m *learn.Model) place.Policy { return place.Pack{Estimates: m} })
}

// NotLearned is the project's policy without learned interference.
func NotLearned(seed uint64) Config {
	return base(seed, false, func(*learn.Model) place.Policy { return place.Pack{} })
}

// FirstFit takes the first VM with room.
func FirstFit(seed uint64) Config {
	return base(seed, false, func(*learn.Model) place.Policy { return firstFit{} })
}

// Random takes any VM with room.
func Random(seed uint64) Config {
	return base(seed, false, func(*learn.Model) place.Policy {
		return anyFit{rand.New(rand.NewPCG(seed, 3))}
	})
}

func base(seed uint64, learns bool, policy func(*learn.Model) place.Policy) Config {
	return Config{Seed: seed, VMs: 30, For: 3 * time.Hour, Learns: learns, Policy: policy, Lag: 20 * time.Second}
}
