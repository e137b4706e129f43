// Package guard keeps the services on one VM within their latency targets. While
// a service exceeds its target, the guard throttles the batch attempts on the VM
// step by step, starting with the one whose throttling is expected to help most. It
// evicts an attempt only if throttling all of them did not help.
//
// The guard throttles an attempt by one more level after the target was exceeded
// for throttleAfter. It releases one by a level only after the latency was well
// below the target for releaseAfter, which is longer, so that it does not oscillate.
package guard

import (
	"cmp"
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/ident"
)

// Thresholds, durations and weights of the guard.
const (
	// releaseRatio is the latency ratio below which attempts are released, that is
	// throttled by one level less.
	releaseRatio = 0.9
	// throttleAfter is how long the latency ratio must be above 1 for a throttling
	// step, releaseAfter how long it must be below releaseRatio for a release.
	throttleAfter = time.Second
	releaseAfter  = 5 * time.Second
	// evictAfter is how long all attempts must be fully throttled before an eviction.
	evictAfter = 10 * time.Second
	// serviceTimeWeight is the weight of one request in the moving average of the
	// service time, effectWeight that of one measurement in the moving average of a
	// kind's effect.
	serviceTimeWeight = 0.05
	effectWeight      = 0.3
	// priorEffect is the effect assumed of a kind without measurements.
	priorEffect = 0.1
	// minSamples is the number of requests from which a service is considered.
	minSamples = 20
)

// throttleLevels are the speeds that an attempt is throttled to at each level, in
// percent of its full speed.
var throttleLevels = []uint32{100, 50, 20}

// Batch is a batch attempt on the VM.
type Batch struct {
	Attempt ident.Attempt
	Kind    string
	// CPU is the attempt's size in thousandths of a processor.
	CPU uint32
	// UnsavedWork is the time worked since the latest checkpoint, which an eviction
	// loses.
	UnsavedWork time.Duration
}

// Guard controls the batch attempts beside the services of one VM. Its zero value
// is ready to use. It is not safe for concurrent use.
type Guard struct {
	services map[string]*service
	// level holds the index into throttleLevels of each throttled attempt.
	level map[ident.Attempt]int
	// effect holds, for each kind, the mean relative decrease of the latency ratio
	// after a throttling step.
	effect map[string]float64
	// trial is the latest throttling step. Its effect is measured at the next step,
	// unless there is a release before.
	trial trial
	// overTargetSince is since when the latency ratio has been above 1 without a
	// throttling step, zero if it is not.
	overTargetSince time.Time
	// releasableSince is since when the latency ratio has been below releaseRatio
	// without a release, zero if it is not.
	releasableSince time.Time
	// allThrottledSince is when all attempts were first found fully throttled, or when
	// one was last evicted; zero after the latency ratio fell below releaseRatio.
	allThrottledSince time.Time
	stats             Stats
}

// Stats counts the actions of the guard.
type Stats struct {
	Throttled uint64 `json:"throttled"`
	Released  uint64 `json:"released"`
	Evicted   uint64 `json:"evicted"`
}

// service is a service on the VM.
type service struct {
	// target is the latency target, 0 for none.
	target time.Duration
	// serviceTime is the exponential moving average over the requests.
	serviceTime time.Duration
	// samples is the number of requests.
	samples int
}

// trial is a throttling step whose effect is not measured yet.
type trial struct {
	// kind is the kind of the throttled attempt, empty if there is no step.
	kind string
	// ratioBefore is the latency ratio at the step.
	ratioBefore float64
}

// Throttle is a request to limit an attempt to Percent of its full speed.
type Throttle struct {
	Attempt ident.Attempt
	Percent uint32
}

// SetTarget sets the latency target of a service, which its mean service time
// should not exceed; 0 means none.
func (g *Guard) SetTarget(name string, target time.Duration) {
	if g.services == nil {
		g.services = map[string]*service{}
	}
	if g.services[name] == nil {
		g.services[name] = &service{}
	}
	g.services[name].target = target
}

// Stats returns the counts of the actions so far.
func (g *Guard) Stats() Stats { return g.stats }

// ObserveServiceTime adds the service time of one request.
func (g *Guard) ObserveServiceTime(name string, serviceTime time.Duration) {
	s := g.services[name]
	if s == nil {
		return
	}
	s.samples++
	if s.serviceTime == 0 {
		s.serviceTime = serviceTime
	}
	s.serviceTime += time.Duration(serviceTimeWeight * float64(serviceTime-s.serviceTime))
}

// LatencyRatio returns the highest ratio of mean service time to latency target of
// the services, 0 if none has a target and enough requests.
func (g *Guard) LatencyRatio() float64 {
	highest := 0.0
	for _, s := range g.services {
		if s.target > 0 && s.samples >= minSamples {
			highest = max(highest, float64(s.serviceTime)/float64(s.target))
		}
	}
	return highest
}

// Tick returns at most one action: an attempt whose speed limit changes, or one to
// evict.
func (g *Guard) Tick(now time.Time, batch []Batch) (throttle *Throttle, evict *ident.Attempt) {
	g.removeEnded(batch)
	ratio := g.LatencyRatio()
	switch {
	case ratio > 1:
		g.releasableSince = time.Time{}
		if g.overTargetSince.IsZero() {
			g.overTargetSince = now
		}
		if now.Sub(g.overTargetSince) >= throttleAfter {
			return g.throttleNext(now, batch, ratio)
		}
	case ratio < releaseRatio:
		g.overTargetSince, g.allThrottledSince = time.Time{}, time.Time{}
		if g.releasableSince.IsZero() {
			g.releasableSince = now
		}
		if now.Sub(g.releasableSince) >= releaseAfter {
			return g.releaseNext(now, batch), nil
		}
	default:
		g.overTargetSince, g.releasableSince = time.Time{}, time.Time{}
	}
	return nil, nil
}

// removeEnded removes the levels of attempts that are not in batch.
func (g *Guard) removeEnded(batch []Batch) {
	present := make(map[ident.Attempt]bool, len(batch))
	for _, b := range batch {
		present[b.Attempt] = true
	}
	for a := range g.level {
		if !present[a] {
			delete(g.level, a)
		}
	}
}

// throttleNext returns the attempt to throttle by one more level or, if all are
// fully throttled, possibly one to evict.
func (g *Guard) throttleNext(now time.Time, batch []Batch, ratio float64) (*Throttle, *ident.Attempt) {
	g.overTargetSince = now
	g.updateEffect(ratio)
	var best *Batch
	for i := range batch {
		if b := &batch[i]; g.level[b.Attempt] < len(throttleLevels)-1 && (best == nil || g.benefit(b) > g.benefit(best)) {
			best = b
		}
	}
	if best == nil {
		return nil, g.chooseVictim(now, batch)
	}
	if g.level == nil {
		g.level = map[ident.Attempt]int{}
	}
	g.level[best.Attempt]++
	g.trial = trial{best.Kind, ratio}
	g.stats.Throttled++
	return &Throttle{best.Attempt, throttleLevels[g.level[best.Attempt]]}, nil
}

// benefit estimates the benefit of throttling b by one more level, for comparison
// between attempts.
func (g *Guard) benefit(b *Batch) float64 {
	effect, ok := g.effect[b.Kind]
	if !ok {
		effect = priorEffect
	}
	return effect * float64(b.CPU) * float64(throttleLevels[g.level[b.Attempt]])
}

// updateEffect updates the effect of the latest throttling step's kind by the
// decrease of the latency ratio since then.
func (g *Guard) updateEffect(ratio float64) {
	if g.trial.kind == "" {
		return
	}
	if g.effect == nil {
		g.effect = map[string]float64{}
	}
	old, ok := g.effect[g.trial.kind]
	if !ok {
		old = priorEffect
	}
	measured := max(0, 1-ratio/g.trial.ratioBefore)
	g.effect[g.trial.kind] = old + effectWeight*(measured-old)
	g.trial = trial{}
}

// chooseVictim returns the attempt with the least unsaved work once all attempts
// have been fully throttled for evictAfter, nil before.
func (g *Guard) chooseVictim(now time.Time, batch []Batch) *ident.Attempt {
	if len(batch) == 0 {
		return nil
	}
	if g.allThrottledSince.IsZero() {
		g.allThrottledSince = now
	}
	if now.Sub(g.allThrottledSince) < evictAfter {
		return nil
	}
	g.allThrottledSince = now
	cheapest := slices.MinFunc(batch, func(a, b Batch) int { return cmp.Compare(a.UnsavedWork, b.UnsavedWork) })
	g.stats.Evicted++
	return &cheapest.Attempt
}

// releaseNext raises by one level the speed limit of the throttled attempt with the
// least benefit.
func (g *Guard) releaseNext(now time.Time, batch []Batch) *Throttle {
	g.releasableSince = now
	g.trial = trial{}
	var best *Batch
	for i := range batch {
		if b := &batch[i]; g.level[b.Attempt] > 0 && (best == nil || g.benefit(b) < g.benefit(best)) {
			best = b
		}
	}
	if best == nil {
		return nil
	}
	g.level[best.Attempt]--
	g.stats.Released++
	return &Throttle{best.Attempt, throttleLevels[g.level[best.Attempt]]}
}
