package pack_test

import (
	"testing"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/proof/pack"
)

const seeds = 5

func sum(config func(seed uint64) pack.Config) pack.Result {
	var total pack.Result
	for seed := range uint64(seeds) {
		r := pack.Run(config(seed + 1))
		total.Finished += r.Finished
		total.Tasks += r.Tasks
		total.Slowdown += r.Slowdown / seeds
		total.Evictions += r.Evictions
		total.Lost += r.Lost
	}
	return total
}

func BenchmarkPack(b *testing.B) {
	for _, p := range []struct {
		name   string
		config func(uint64) pack.Config
	}{{"own", pack.Own}, {"not learned", pack.NotLearned}, {"first fit", pack.FirstFit}, {"random", pack.Random}} {
		b.Run(p.name, func(b *testing.B) {
			for b.Loop() {
				r := sum(p.config)
				b.ReportMetric(r.Finished.Hours()/seeds/3, "cpu-hours/h")
				b.ReportMetric(r.Slowdown, "slowdown")
				b.ReportMetric(float64(r.Evictions)/seeds, "evictions")
				b.ReportMetric(r.Lost.Minutes()/seeds, "lost-min")
			}
		})
	}
}

func BenchmarkEvict(b *testing.B) {
	for name, evictor := range map[string]pack.Evictor{"cheapest": pack.Cheapest, "newest": pack.Newest} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				r := sum(func(seed uint64) pack.Config {
					c := pack.Own(seed)
					c.Urgent, c.Evictor = 20*time.Second, evictor
					return c
				})
				b.ReportMetric(float64(r.Evictions)/seeds, "evictions")
				b.ReportMetric(r.Lost.Minutes()/seeds, "lost-min")
				b.ReportMetric(r.Finished.Hours()/seeds/3, "cpu-hours/h")
			}
		})
	}
}
