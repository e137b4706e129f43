package slots

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/front/gate"
)

// Loads of the bench: a registry of today's size.
const (
	upstreams    = 11
	slotsEach    = 8
	validateTime = 20 * time.Millisecond
	bulkTime     = 60 * time.Millisecond
	feedTime     = 30 * time.Millisecond
)

// capacity is the slot time that a second has.
const capacity = upstreams * slotsEach

// Registry returns a run at a moderate load: validations, bulk assignments and
// feeds that together take half of the slots.
func Registry(seed uint64, p Policy) Config {
	return Config{
		Seed: seed, Policy: p, Entries: 3, Upstreams: upstreams, Slots: slotsEach, For: 20 * time.Second,
		Noise: 1, FailFast: -1, RetryShare: 0.1,
		Kinds: []Kind{
			{gate.Kind{Name: "validate", Share: 50, Weight: 4}, 0.25 * capacity / validateTime.Seconds(), validateTime, time.Second},
			{gate.Kind{Name: "feed", Share: 20, Weight: 1}, 0.1 * capacity / feedTime.Seconds(), feedTime, 2 * time.Second},
			{gate.Kind{Name: "bulk", Share: 20, Weight: 1}, 0.15 * capacity / bulkTime.Seconds(), bulkTime, 5 * time.Second},
		},
	}
}

// Flood makes a kind arrive at a multiple of what all slots can take.
func (c Config) Flood(kind string, times float64) Config {
	kinds := make([]Kind, len(c.Kinds))
	copy(kinds, c.Kinds)
	for i, k := range kinds {
		if k.Name == kind {
			kinds[i].Rate = times * float64(c.Upstreams*c.Slots) / k.Service.Seconds()
		}
	}
	c.Kinds = kinds
	return c
}

// Noisy adds neighbours that slow upstreams down by up to factor.
func (c Config) Noisy(factor float64) Config {
	c.Noise, c.NoisePeriod = factor, 3*time.Second
	return c
}

// Kept returns the share of its due that a kind was served in a run: what it
// offered, or its guaranteed part of the slots if that is less.
func (c Config) Kept(r Result, kind string) float64 {
	for _, k := range c.Kinds {
		if k.Name != kind {
			continue
		}
		offered := float64(r.Kinds[kind].Offered)
		guaranteed := float64(k.Share) / 100 * float64(c.Upstreams*c.Slots) / k.Service.Seconds() * c.For.Seconds()
		return float64(r.Kinds[kind].Answered) / min(offered, guaranteed)
	}
	return 0
}
