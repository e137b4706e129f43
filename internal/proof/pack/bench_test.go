package pack_test

import (
	"testing"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/proof/pack"
)

// seeds is the number of seeds with which each configuration runs.
const seeds = 5

// sum runs a configuration with each seed and adds up the results. Slowdown is the
// mean over the seeds.
func sum(config func(seed uint64) pack.Config) pack.Result {
	var total pack.Result
	for seed := range uint64(seeds) {
		r := pack.Run(config(seed + 1))
		total.FinishedCPUTime += r.FinishedCPUTime
		total.FinishedTasks += r.FinishedTasks
		total.Slowdown += r.Slowdown / seeds
		total.Evictions += r.Evictions
		total.LostWork += r.LostWork
	}
	return total
}

func BenchmarkPack(b *testing.B) {
	for _, p := range []struct {
		name   string
		config func(uint64) pack.Config
	}{
		{"own", pack.Production},
		{"not learned", pack.WithoutLearning},
		{"first fit", pack.FirstFit},
		{"random", pack.Random},
	} {
		b.Run(p.name, func(b *testing.B) {
			for b.Loop() {
				r := sum(p.config)
				b.ReportMetric(r.FinishedCPUTime.Hours()/seeds/3, "cpu-hours/h")
				b.ReportMetric(r.Slowdown, "slowdown")
				b.ReportMetric(float64(r.Evictions)/seeds, "evictions")
				b.ReportMetric(r.LostWork.Minutes()/seeds, "lost-min")
			}
		})
	}
}

func BenchmarkEvict(b *testing.B) {
	for name, policy := range map[string]pack.EvictionPolicy{"cheapest": pack.EvictCheapest, "newest": pack.EvictNewest} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				r := sum(func(seed uint64) pack.Config {
					c := pack.Production(seed)
					c.UrgentInterval, c.EvictionPolicy = 20*time.Second, policy
					return c
				})
				b.ReportMetric(float64(r.Evictions)/seeds, "evictions")
				b.ReportMetric(r.LostWork.Minutes()/seeds, "lost-min")
				b.ReportMetric(r.FinishedCPUTime.Hours()/seeds/3, "cpu-hours/h")
			}
		})
	}
}
