// Package learn estimates from lagging measurements how much each kind of batch
// work slows each service down.
//
// The speed of a replica is measured while several kinds run beside it. Each
// measurement corrects the estimates of the kinds present, in proportion to
// their number, by the part of the slowdown that they do not explain yet.
package learn

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/ident"
	"github.com/ebonyarch/ebonyarch/internal/state/fold"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

const (
	// prior is the slowdown assumed of a kind that was never measured.
	prior = 0.05
	// rate is the weight of one measurement.
	rate = 0.1
	// halfLife is the age at which half of an estimate gives way to the prior.
	halfLife = 30 * time.Minute
)

// Model holds one estimate for each pair of service and kind. Its zero value is
// empty and ready for use. It is not safe for concurrent use.
type Model struct {
	pairs map[pair]*estimate
	now   time.Time
}

type pair struct {
	service, kind string
}

type estimate struct {
	slowdown float64
	at       time.Time
}

// Slowdown returns the expected relative loss of speed of a service beside one
// task of a kind.
func (m *Model) Slowdown(service, kind string) float64 {
	e := m.pairs[pair{service, kind}]
	if e == nil {
		return prior
	}
	age := m.now.Sub(e.at)
	if age <= 0 {
		return e.slowdown
	}
	weight := float64(halfLife) / float64(halfLife+age)
	return weight*e.slowdown + (1-weight)*prior
}

// Measure corrects the estimates by one measured slowdown of a service, beside
// tasks of kinds.
func (m *Model) Measure(now time.Time, service string, kinds []string, slowdown float64) {
	m.now = now
	if len(kinds) == 0 {
		return
	}
	if m.pairs == nil {
		m.pairs = map[pair]*estimate{}
	}
	expected := 0.0
	for _, kind := range kinds {
		expected += m.Slowdown(service, kind)
	}
	step := rate * (slowdown - expected) / float64(len(kinds))
	for _, kind := range kinds {
		p := pair{service, kind}
		value := max(0, m.Slowdown(service, kind)+step)
		m.pairs[p] = &estimate{value, now}
	}
}

// Observe takes the measurements in an agent's announcement.
func (m *Model) Observe(now time.Time, f *fold.Fold, req *schema.BeatRequest) {
	if len(req.GetUsage()) == 0 {
		return
	}
	held := f.Held(req.GetMember().GetVm())
	var kinds []string
	services := map[ident.Attempt]string{}
	for _, t := range held {
		name := t.Job.Team + "/" + t.Job.Kind
		if t.Job.Service {
			services[t.Attempt()] = name
		} else {
			kinds = append(kinds, name)
		}
	}
	for _, u := range req.GetUsage() {
		service, ok := services[ident.AttemptOf(u.GetTask())]
		if !ok || u.GetSpeedPercent() == 0 {
			continue
		}
		m.Measure(now, service, kinds, max(0, 100/float64(u.GetSpeedPercent())-1))
	}
}
