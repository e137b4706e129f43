package slots

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/front/gate"
)

// Size of the simulated service, which is that of today's registry, and the mean
// service times of its kinds of requests.
const (
	upstreams        = 11
	slotsPerUpstream = 8
	validateTime     = 20 * time.Millisecond
	bulkTime         = 60 * time.Millisecond
	feedTime         = 30 * time.Millisecond
)

// totalSlots is the number of slots of all upstreams, which is also the service time
// in seconds that they offer per second.
const totalSlots = upstreams * slotsPerUpstream

// Registry returns the configuration of a run at a moderate load: validations, feeds
// and bulk assignments that together use half of the slots.
func Registry(seed uint64, p Policy) Config {
	return Config{
		Seed: seed, Policy: p, Entries: 3, Upstreams: upstreams, Slots: slotsPerUpstream, RunDuration: 20 * time.Second,
		MaxSlowdown: 1, FailingUpstream: -1, RetryShare: 0.1,
		Kinds: []Kind{
			{
				gate.Kind{Name: "validate", Share: 50, Weight: 4},
				0.25 * totalSlots / validateTime.Seconds(), validateTime, time.Second,
			},
			{gate.Kind{Name: "feed", Share: 20, Weight: 1}, 0.1 * totalSlots / feedTime.Seconds(), feedTime, 2 * time.Second},
			{gate.Kind{Name: "bulk", Share: 20, Weight: 1}, 0.15 * totalSlots / bulkTime.Seconds(), bulkTime, 5 * time.Second},
		},
	}
}

// Flood returns c with a kind arriving at a multiple of the rate that all slots
// together can serve.
func (c Config) Flood(kind string, times float64) Config {
	kinds := make([]Kind, len(c.Kinds))
	copy(kinds, c.Kinds)
	for i, k := range kinds {
		if k.Name == kind {
			kinds[i].Rate = times * float64(c.Upstreams*c.Slots) / k.ServiceTime.Seconds()
		}
	}
	c.Kinds = kinds
	return c
}

// Noisy returns c with neighbours that slow upstreams down by up to a factor.
func (c Config) Noisy(factor float64) Config {
	c.MaxSlowdown, c.SlowdownInterval = factor, 3*time.Second
	return c
}

// ServedShare returns how much of its entitlement a kind was served in a run: the
// answered requests divided by the offered ones, or by those that its guaranteed
// share of the slots can serve if these are fewer.
func (c Config) ServedShare(r Result, kind string) float64 {
	for _, k := range c.Kinds {
		if k.Name != kind {
			continue
		}
		offered := float64(r.Kinds[kind].Offered)
		guaranteed := float64(k.Share) / 100 * float64(c.Upstreams*c.Slots) /
			k.ServiceTime.Seconds() * c.RunDuration.Seconds()
		return float64(r.Kinds[kind].Answered) / min(offered, guaranteed)
	}
	return 0
}
