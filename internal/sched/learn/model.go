// Package learn estimates from lagging measurements how much each kind of batch
// work slows each service down.
//
// The speed of a replica is measured while several kinds run beside it. Each
// measurement corrects the estimates of the kinds present by the part of the
// slowdown that they do not explain yet.
package learn

import (
	"slices"
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

// Load is what one task beside a service does: its kind and the share of its
// speed that it keeps, 1 if it is not throttled.
type Load struct {
	Kind  string
	Share float64
}

// Update corrects the estimates by one measured slowdown of a service, beside
// tasks that load the VM.
func (m *Model) Update(now time.Time, service string, loads []Load, slowdown float64) {
	m.now = now
	shares := map[string]float64{}
	for _, l := range loads {
		shares[l.Kind] += l.Share
	}
	kinds := make([]string, 0, len(shares))
	for kind, share := range shares {
		if share > 0 {
			kinds = append(kinds, kind)
		}
	}
	slices.Sort(kinds)
	m.correct(now, service, kinds, shares, slowdown)
	m.correct(now, anyService, kinds, shares, slowdown)
}

// anyService stands for the average over all services.
const anyService = ""

// correct moves the estimates of the kinds present by normalized least mean
// squares: each in proportion to its share in the load.
func (m *Model) correct(now time.Time, service string, kinds []string, shares map[string]float64, slowdown float64) {
	if m.pairs == nil {
		m.pairs = map[pair]*estimate{}
	}
	missing, norm := slowdown, 0.0
	for _, kind := range kinds {
		missing -= shares[kind] * m.Slowdown(service, kind)
		norm += shares[kind] * shares[kind]
	}
	for _, kind := range kinds {
		step := rate * missing * shares[kind] / norm
		m.pairs[pair{service, kind}] = &estimate{max(0, m.Slowdown(service, kind)+step), now}
	}
}

// Observe takes the measurements in an agent's announcement.
func (m *Model) Observe(now time.Time, f *fold.Fold, req *schema.BeatRequest) {
	if len(req.GetUsage()) == 0 {
		return
	}
	shares := map[ident.Attempt]float64{}
	for _, u := range req.GetUsage() {
		shares[ident.AttemptOf(u.GetTask())] = float64(u.GetSharePercent()) / 100
	}
	var loads []Load
	services := map[ident.Attempt]string{}
	for _, t := range f.GrantedTo(req.GetMember().GetVm()) {
		name := t.Job.Team + "/" + t.Job.Kind
		if t.Job.Service {
			services[t.Attempt()] = name
		} else {
			loads = append(loads, Load{name, shares[t.Attempt()]})
		}
	}
	for _, u := range req.GetUsage() {
		service, ok := services[ident.AttemptOf(u.GetTask())]
		if ok && u.GetSpeedPercent() > 0 && len(loads) > 0 {
			m.Update(now, service, loads, max(0, 100/float64(u.GetSpeedPercent())-1))
		}
	}
}

// MeanSlowdown returns the expected slowdown by one task of a kind, whatever service
// is beside it.
func (m *Model) MeanSlowdown(kind string) float64 { return m.Slowdown(anyService, kind) }
