// Package guard keeps the services on one VM fast: when a service answers later
// than its aim, the batch attempt beside it with most effect is throttled, and
// evicted only if throttling everything did not help.
//
// Steps up need the service to be late for a while, steps down need it to be
// well within its aim for longer, so that the guard does not swing.
package guard

import (
	"cmp"
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/ident"
)

// Times and levels of the guard.
const (
	// calmShare is the part of the aim below which the guard steps down.
	calmShare = 0.9
	// stepUp and stepDown are how long a service must be late or calm for a step.
	stepUp   = time.Second
	stepDown = 5 * time.Second
	// evictAfter is how long everything must be throttled before an eviction.
	evictAfter = 10 * time.Second
	// learnRate is the weight of one answer, or one measured effect.
	learnRate   = 0.05
	effectRate  = 0.3
	priorEffect = 0.1
	minAnswers  = 20
)

// levels are the shares of its speed that a throttled attempt keeps, in percent.
var levels = []uint32{100, 50, 20}

// Batch is a batch attempt on the VM.
type Batch struct {
	Attempt ident.Attempt
	Kind    string
	// CPU is its size in thousandths of a processor.
	CPU uint32
	// UnsavedWork is the work that an eviction would lose.
	UnsavedWork time.Duration
}

// Guard watches the services of one VM. Its zero value is ready for use. It is
// not safe for concurrent use.
type Guard struct {
	services map[string]*service
	level    map[ident.Attempt]int
	// effect is the learned relief by one step of throttling a kind.
	effect map[string]float64
	// trial is the latest step up, whose relief is being measured.
	trial      trial
	lateSince  time.Time
	calmSince  time.Time
	fullySince time.Time
	stats      Stats
}

// Stats counts the guard's steps.
type Stats struct {
	Throttled uint64 `json:"throttled"`
	Released  uint64 `json:"released"`
	Evicted   uint64 `json:"evicted"`
}

type service struct {
	aim     time.Duration
	took    time.Duration
	answers int
}

type trial struct {
	kind   string
	before float64
}

// Throttle asks for an attempt to keep a share of its speed, in percent.
type Throttle struct {
	Attempt ident.Attempt
	Percent uint32
}

// SetTarget sets the service time that a service should keep; 0 means none.
func (g *Guard) SetTarget(name string, aim time.Duration) {
	if g.services == nil {
		g.services = map[string]*service{}
	}
	if g.services[name] == nil {
		g.services[name] = &service{}
	}
	g.services[name].aim = aim
}

// Stats returns counts of the steps so far.
func (g *Guard) Stats() Stats { return g.stats }

// ObserveServiceTime takes the service time of one request.
func (g *Guard) ObserveServiceTime(name string, took time.Duration) {
	s := g.services[name]
	if s == nil {
		return
	}
	s.answers++
	if s.took == 0 {
		s.took = took
	}
	s.took += time.Duration(learnRate * float64(took-s.took))
}

// LatencyRatio returns how late the latest service is, as a multiple of its aim.
func (g *Guard) LatencyRatio() float64 {
	most := 0.0
	for _, s := range g.services {
		if s.aim > 0 && s.answers >= minAnswers {
			most = max(most, float64(s.took)/float64(s.aim))
		}
	}
	return most
}

// Tick returns at most one step: an attempt to throttle or to release, or one to
// evict.
func (g *Guard) Tick(now time.Time, batch []Batch) (throttle *Throttle, evict *ident.Attempt) {
	g.forget(batch)
	pressure := g.LatencyRatio()
	switch {
	case pressure > 1:
		g.calmSince = time.Time{}
		if g.lateSince.IsZero() {
			g.lateSince = now
		}
		if now.Sub(g.lateSince) >= stepUp {
			return g.up(now, batch, pressure)
		}
	case pressure < calmShare:
		g.lateSince, g.fullySince = time.Time{}, time.Time{}
		if g.calmSince.IsZero() {
			g.calmSince = now
		}
		if now.Sub(g.calmSince) >= stepDown {
			return g.down(now, batch), nil
		}
	default:
		g.lateSince, g.calmSince = time.Time{}, time.Time{}
	}
	return nil, nil
}

// forget drops the levels of attempts that are gone.
func (g *Guard) forget(batch []Batch) {
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

func (g *Guard) up(now time.Time, batch []Batch, pressure float64) (*Throttle, *ident.Attempt) {
	g.lateSince = now
	g.learn(pressure)
	var best *Batch
	for i := range batch {
		if b := &batch[i]; g.level[b.Attempt] < len(levels)-1 && (best == nil || g.relief(b) > g.relief(best)) {
			best = b
		}
	}
	if best == nil {
		return nil, g.evict(now, batch)
	}
	if g.level == nil {
		g.level = map[ident.Attempt]int{}
	}
	g.level[best.Attempt]++
	g.trial = trial{best.Kind, pressure}
	g.stats.Throttled++
	return &Throttle{best.Attempt, levels[g.level[best.Attempt]]}, nil
}

// relief estimates what one more step of throttling b brings.
func (g *Guard) relief(b *Batch) float64 {
	effect, ok := g.effect[b.Kind]
	if !ok {
		effect = priorEffect
	}
	return effect * float64(b.CPU) * float64(levels[g.level[b.Attempt]])
}

// learn takes the relief that the latest step up brought.
func (g *Guard) learn(pressure float64) {
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
	measured := max(0, 1-pressure/g.trial.before)
	g.effect[g.trial.kind] = old + effectRate*(measured-old)
	g.trial = trial{}
}

// evict returns the attempt that is cheapest to lose, once everything has been
// throttled for long enough.
func (g *Guard) evict(now time.Time, batch []Batch) *ident.Attempt {
	if len(batch) == 0 {
		return nil
	}
	if g.fullySince.IsZero() {
		g.fullySince = now
	}
	if now.Sub(g.fullySince) < evictAfter {
		return nil
	}
	g.fullySince = now
	cheapest := slices.MinFunc(batch, func(a, b Batch) int { return cmp.Compare(a.UnsavedWork, b.UnsavedWork) })
	g.stats.Evicted++
	return &cheapest.Attempt
}

// down releases the attempt whose throttling brought least.
func (g *Guard) down(now time.Time, batch []Batch) *Throttle {
	g.calmSince = now
	g.trial = trial{}
	var best *Batch
	for i := range batch {
		if b := &batch[i]; g.level[b.Attempt] > 0 && (best == nil || g.relief(b) < g.relief(best)) {
			best = b
		}
	}
	if best == nil {
		return nil
	}
	g.level[best.Attempt]--
	g.stats.Released++
	return &Throttle{best.Attempt, levels[g.level[best.Attempt]]}
}
