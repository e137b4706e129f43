// Package learn estimates, from delayed measurements, how much each kind of batch
// work slows down each service.
//
// The speed of a replica is measured while tasks of several kinds run on the same
// VM. Each measurement adjusts the estimates of these kinds by the part of the
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
	// priorSlowdown is the slowdown assumed of a kind without measurements.
	priorSlowdown = 0.05
	// learningRate is the fraction of the unexplained slowdown by which one
	// measurement adjusts the estimates.
	learningRate = 0.1
	// halfLife is the age at which an estimate and priorSlowdown have equal weight.
	halfLife = 30 * time.Minute
)

// Model holds one estimate for each pair of service and kind. Its zero value is
// empty and ready to use. It is not safe for concurrent use.
type Model struct {
	pairs map[pair]*estimate
	// now is the time of the latest measurement.
	now time.Time
}

// pair is a service and a kind of batch work.
type pair struct {
	service, kind string
}

// estimate is the estimated slowdown by one task of the kind.
type estimate struct {
	slowdown float64
	// at is when the estimate was last updated.
	at time.Time
}

// Slowdown returns the expected relative increase of the service time by one task
// of a kind at full speed on the same VM.
func (m *Model) Slowdown(service, kind string) float64 {
	e := m.pairs[pair{service, kind}]
	if e == nil {
		return priorSlowdown
	}
	age := m.now.Sub(e.at)
	if age <= 0 {
		return e.slowdown
	}
	weight := float64(halfLife) / float64(halfLife+age)
	return weight*e.slowdown + (1-weight)*priorSlowdown
}

// Load is the load of one batch task on the VM of a service.
type Load struct {
	Kind string
	// Share is the fraction of its full speed that the task is throttled to, 1 if
	// it is not throttled.
	Share float64
}

// Update adjusts the estimates by one measured slowdown of a service on a VM with
// the given loads.
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

// anyService is the service name under which the average over all services is kept.
const anyService = ""

// correct adjusts the estimates of the kinds by the normalized least mean squares
// method: each in proportion to the sum of its tasks' shares.
func (m *Model) correct(now time.Time, service string, kinds []string, shares map[string]float64, slowdown float64) {
	if m.pairs == nil {
		m.pairs = map[pair]*estimate{}
	}
	residual, norm := slowdown, 0.0
	for _, kind := range kinds {
		residual -= shares[kind] * m.Slowdown(service, kind)
		norm += shares[kind] * shares[kind]
	}
	for _, kind := range kinds {
		step := learningRate * residual * shares[kind] / norm
		m.pairs[pair{service, kind}] = &estimate{max(0, m.Slowdown(service, kind)+step), now}
	}
}

// Observe updates the model by the measurements in an agent's heartbeat.
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

// MeanSlowdown returns the expected slowdown by one task of a kind, averaged over
// the services.
func (m *Model) MeanSlowdown(kind string) float64 { return m.Slowdown(anyService, kind) }
