package slots_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/proof/slots"
)

// seeds is the number of seeds with which each configuration runs.
const seeds = 5

var policies = []slots.Policy{
	slots.Production(), slots.Random(), slots.RoundRobin(), slots.LeastInFlight(), slots.NoAdmission(),
}

// report runs a configuration with each seed and reports the means of the metrics.
func report(b *testing.B, config func(seed uint64) slots.Config) {
	for b.Loop() {
		var p50, p99, p999, sent, wasted, offered float64
		servedShare := map[string]float64{}
		for seed := range uint64(seeds) {
			c := config(seed + 1)
			r := slots.Run(c)
			v := r.Kinds["validate"]
			p50 += ms(v.Quantile(0.5))
			p99 += ms(v.Quantile(0.99))
			p999 += ms(v.Quantile(0.999))
			for name, k := range r.Kinds {
				servedShare[name] += c.ServedShare(r, name)
				offered += float64(k.Offered)
			}
			sent += float64(r.Sent)
			wasted += float64(r.Wasted)
		}
		b.ReportMetric(p50/seeds, "p50-ms")
		b.ReportMetric(p99/seeds, "p99-ms")
		b.ReportMetric(p999/seeds, "p999-ms")
		b.ReportMetric(sent/offered, "sent/request")
		b.ReportMetric(wasted/offered, "wasted/request")
		for name, sum := range servedShare {
			b.ReportMetric(sum/seeds, "kept-"+name)
		}
		b.ReportMetric(0, "ns/op")
	}
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func BenchmarkCalm(b *testing.B) {
	for _, p := range policies {
		b.Run(p.Name, func(b *testing.B) {
			report(b, func(seed uint64) slots.Config { return slots.Registry(seed, p) })
		})
	}
}

func BenchmarkNoisy(b *testing.B) {
	for _, p := range policies {
		b.Run(p.Name, func(b *testing.B) {
			report(b, func(seed uint64) slots.Config { return slots.Registry(seed, p).Noisy(4) })
		})
	}
}

func BenchmarkNoisyReportsLate(b *testing.B) {
	for _, p := range policies {
		b.Run(p.Name, func(b *testing.B) {
			report(b, func(seed uint64) slots.Config {
				c := slots.Registry(seed, p).Noisy(4)
				c.ReportLag = 2 * time.Second
				return c
			})
		})
	}
}

func BenchmarkEntries(b *testing.B) {
	for _, n := range []int{2, 4, 12} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			report(b, func(seed uint64) slots.Config {
				c := slots.Registry(seed, slots.Production()).Flood("bulk", 5)
				c.Entries, c.RunDuration = n, 8*time.Second
				return c
			})
		})
	}
}

func BenchmarkZoneOut(b *testing.B) {
	for _, p := range []slots.Policy{slots.Production(), slots.LeastInFlight()} {
		b.Run(p.Name, func(b *testing.B) {
			report(b, func(seed uint64) slots.Config {
				c := slots.Registry(seed, p)
				c.ZoneOutage = true
				return c
			})
		})
	}
}

func BenchmarkFailFast(b *testing.B) {
	for _, p := range []slots.Policy{slots.Production(), slots.LeastInFlight()} {
		b.Run(p.Name, func(b *testing.B) {
			report(b, func(seed uint64) slots.Config {
				c := slots.Registry(seed, p)
				c.FailingUpstream = 3
				return c
			})
		})
	}
}

func BenchmarkFlood(b *testing.B) {
	for _, kind := range []string{"bulk", "validate"} {
		for _, times := range []float64{2, 5, 20} {
			for _, p := range []slots.Policy{slots.Production(), slots.NoAdmission()} {
				b.Run(fmt.Sprintf("%s/%g/%s", kind, times, p.Name), func(b *testing.B) {
					report(b, func(seed uint64) slots.Config {
						c := slots.Registry(seed, p).Flood(kind, times)
						c.RunDuration = 8 * time.Second
						return c
					})
				})
			}
		}
	}
}
