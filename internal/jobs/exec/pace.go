package exec

import (
	"math"
	"time"
)

const (
	fullPace = 100
	// pressed is the part of a target from which fillers are slowed, relaxed that
	// below which they are let go faster.
	pressed, relaxed = 0.85, 0.65
	// aimed is the part of a target that slowing aims at.
	aimed = 0.6
	// leastFactor bounds one step down.
	leastFactor = 0.3
	// leastPace is the pace below which fillers stand still, in percent.
	leastPace = 4
	// paceEvery spaces the adjustments: what is measured is the last half second.
	paceEvery = 400 * time.Millisecond
	// leastExponent and mostExponent bound how differently fillers are slowed.
	leastExponent, mostExponent = 0.3, 2.5
	// paceStep is added to the pace at a time, in percent.
	paceStep = 12
)

// pacer sets the pace of the fillers on a VM by how late the lasting tasks beside
// them answer. It answers noisy neighbours that come in waves: it slows in
// proportion to what is too much, and lets go in small steps. Its zero value is full
// pace.
type pacer struct {
	// slowed is how far the pace is below full, in percent.
	slowed int
	at     time.Time
}

func (p *pacer) percent() int { return fullPace - p.slowed }

// observe takes the worst tail latency as a part of its target and reports whether
// the pace changed.
func (p *pacer) observe(worst float64) bool {
	before := p.slowed
	switch {
	case worst >= pressed:
		factor := max(leastFactor, aimed/worst)
		pace := int(float64(p.percent()) * factor)
		if pace < leastPace {
			pace = 0
		}
		p.slowed = fullPace - pace
	case worst < relaxed:
		p.slowed = max(0, p.slowed-paceStep)
	}
	return p.slowed != before
}

// share returns the pace of a filler whose weight is a multiple of the mean: what
// presses more is slowed more.
func (p *pacer) share(weight, mean float64) int {
	if p.slowed == 0 || weight <= 0 || mean <= 0 {
		return p.percent()
	}
	exponent := min(max(weight/mean, leastExponent), mostExponent)
	return int(fullPace * math.Pow(float64(p.percent())/fullPace, exponent))
}

// meanWeight returns the mean weight of the fillers present.
func (a *Agent) meanWeight() float64 {
	sum, n := 0.0, 0
	for _, r := range a.runs {
		if r.start.Filler && r.start.Weight > 0 {
			sum += r.start.Weight
			n++
		}
	}
	return sum / float64(max(1, n))
}

// adjust paces the fillers after a look.
func (a *Agent) adjust(now time.Time) {
	if now.Sub(a.pace.at) < paceEvery {
		return
	}
	a.pace.at = now
	worst := 0.0
	for _, r := range a.runs {
		if r.start.Lasting && r.start.Target > 0 && r.present {
			measured := time.Duration(r.row.Measure) * time.Millisecond
			worst = max(worst, float64(measured)/float64(r.start.Target))
		}
	}
	if !a.pace.observe(worst) {
		return
	}
	a.log.Info("pace changes", "vm", a.vm.ID, "percent", a.pace.percent(), "worst", worst)
	mean := a.meanWeight()
	for k, r := range a.runs {
		if r.start.Filler && r.present && !r.stopping {
			a.callPace(k, a.pace.share(r.start.Weight, mean))
		}
	}
}

func (a *Agent) callPace(k key, percent int) {
	order := a.order(k)
	a.calls = append(a.calls, Call{Life: a.vm.Life, Pace: &order, Percent: percent})
}
