package lead

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/jobs/plan"
)

const (
	// firstPress is what a filler that uses all of a VM is assumed to add to the
	// utilization of a lasting task, firstPressDev the doubt in it; mostPress bounds
	// what is learned.
	firstPress, firstPressDev, mostPress = 0.8, 0.8, 5.0
	// pressDrift is how much doubt a second adds to what was learned, as a deviation.
	pressDrift = 0.1
	// firstOwn is the utilization assumed of a lasting task without fillers,
	// firstOwnDev the doubt in it.
	firstOwn, firstOwnDev = 0.5, 0.2
	// ownDrift is how much a lasting task's own load changes in a second, as a deviation.
	ownDrift = 0.12
	// tailNoise is the relative deviation of a measured tail latency, leastNoise bounds
	// that of the utilization from below.
	tailNoise, leastNoise = 0.12, 0.02
	// saturated is the utilization from which latency no longer tells how much more
	// there is.
	saturated = 0.96
	// idleShare is the tail latency of an idle task as a part of the least that was
	// measured, idleTarget the most that it is believed to be of the target.
	idleShare, idleTarget = 0.75, 0.2
	// aimedShare is the part of its target up to which fillers may take a task's
	// latency.
	aimedShare = 0.8
	// placedShare is the part up to which further fillers may take it: its own load may
	// rise while they run.
	placedShare = 0.55
	// settled is the age from which a lasting task's latency is believed.
	settled = 2 * time.Second
	// tolerated is the distance from the aim at which fillers count little.
	tolerated = 0.1
	// overCost weighs what is nearer.
	overCost = 8.0
	// harmCost weighs the disturbance of lasting tasks against even use of VMs.
	harmCost = 12.0
)

// harm learns how much fillers of each image disturb lasting tasks of each image, and
// how much each step of lasting tasks is loaded by itself.
//
// Tail latency grows without bound as a task nears what its VM gives it, so what is
// learned is utilization, to which each neighbour adds its part. The tasks of a step
// share their load, wherever they run, so what differs between them tells what their
// neighbours add. Both are estimated together, as in a Kalman filter whose
// covariances are left out. The zero value assumes the same of all.
type harm struct {
	// parts holds what a filler that uses a whole VM adds, by images.
	parts map[imagePair]*estimate
	// owns holds the utilization of lasting steps without fillers.
	owns map[plan.StageKey]*estimate
	// least is the least tail latency measured of an image, in milliseconds.
	least map[string]float64
}

type imagePair struct {
	lasting, filler string
}

func (h *harm) part(lasting, filler string) float64 {
	if p, ok := h.parts[imagePair{lasting, filler}]; ok {
		return p.mean
	}
	return firstPress
}

// observe takes the measurements of a VM.
func (h *harm) observe(now time.Time, v *vm, rows []msgs.RunStatus) {
	shares := map[string]float64{}
	v.fillerUse = 0
	for _, row := range rows {
		if it := v.runs[runKey{row.Task, row.Run}]; it != nil && it.step.BestEffort {
			shares[it.step.Image] += coresOf(row) / v.cores()
			v.fillerUse += coresOf(row)
		}
	}
	for _, row := range rows {
		it := v.runs[runKey{row.Task, row.Run}]
		if it != nil && it.step.LatencyTarget > 0 && row.Measurement > 0 && now.Sub(it.since) > settled {
			h.measure(now, it, float64(row.Measurement), shares)
		}
	}
}

// coresOf returns the processors that a run uses.
func coresOf(row msgs.RunStatus) float64 { return float64(row.Measurement) / 1000 }

// cores returns the VM's processors.
func (v *vm) cores() float64 { return max(1, float64(v.info.Capacity.CPU)/1000) }

func (h *harm) measure(now time.Time, it *run, tail float64, shares map[string]float64) {
	h.init()
	if len(h.owns) > maxKnown {
		h.owns = map[plan.StageKey]*estimate{}
	}
	if len(h.parts) > maxKnown {
		h.parts = map[imagePair]*estimate{}
	}
	image := it.step.Image
	if least, ok := h.least[image]; !ok || tail < least {
		h.least[image] = tail
	}
	target := float64(it.step.LatencyTarget.Milliseconds())
	drains := it.drains
	it.drains = tail >= target || (it.drains && tail >= wellBelow*target)
	if drains {
		return // the latency tells of what queued up before
	}
	own := h.owns[stageKey(it.ref)]
	if own == nil {
		own = &estimate{mean: firstOwn, variance: firstOwnDev * firstOwnDev}
		h.owns[stageKey(it.ref)] = own
	}
	own.drift(now, ownDrift, firstOwnDev)
	used := h.used(it.step, tail)
	innovation := used - own.mean
	noise := max(leastNoise, tailNoise*(1-used))
	variance := own.variance + noise*noise
	parts := map[string]*estimate{}
	for filler, share := range shares {
		p := h.estimateOf(imagePair{image, filler})
		p.drift(now, pressDrift, firstPressDev)
		parts[filler] = p
		innovation -= p.mean * share
		variance += p.variance * share * share
	}
	if used >= saturated && innovation < 0 {
		return // the task may be loaded more than its latency tells
	}
	own.correct(innovation, variance, 1)
	own.mean = min(max(0, own.mean), 1)
	for filler, p := range parts {
		p.correct(innovation, variance, shares[filler])
		p.mean = min(max(0, p.mean), mostPress)
	}
}

// init makes the maps of a harm that has learned nothing.
func (h *harm) init() {
	if h.least == nil {
		h.least, h.parts, h.owns = map[string]float64{}, map[imagePair]*estimate{}, map[plan.StageKey]*estimate{}
	}
}

func (h *harm) estimateOf(pair imagePair) *estimate {
	p := h.parts[pair]
	if p == nil {
		p = &estimate{mean: firstPress, variance: firstPressDev * firstPressDev}
		h.parts[pair] = p
	}
	return p
}

// idle returns the tail latency in milliseconds of a step's task without load.
func (h *harm) idle(s *model.Step) float64 {
	idle := idleTarget * float64(s.LatencyTarget.Milliseconds())
	if least, ok := h.least[s.Image]; ok {
		idle = min(idle, idleShare*least)
	}
	return idle
}

// used returns the utilization that a tail latency in milliseconds tells.
func (h *harm) used(s *model.Step, tail float64) float64 {
	return max(0, 1-h.idle(s)/max(tail, 1))
}

// aim returns the utilization up to which fillers may take a step's tasks.
func (h *harm) aim(s *model.Step) float64 { return h.usedAt(s, aimedShare) }

// usedAt returns the utilization at which the latency of a step's tasks is a part of
// their target.
func (h *harm) usedAt(s *model.Step, part float64) float64 {
	return 1 - h.idle(s)/(part*float64(s.LatencyTarget.Milliseconds()))
}

// own returns the utilization of a lasting run without fillers.
func (h *harm) own(it *run) float64 {
	if e := h.owns[stageKey(it.ref)]; e != nil {
		return e.mean
	}
	return firstOwn
}

// press returns how much a filler of a step adds to the utilization of a lasting
// task of a VM at full pace.
func (h *harm) press(v *vm, lasting, filler *model.Step) float64 {
	return h.part(lasting.Image, filler.Image) * float64(filler.Size.CPU) / 1000 / v.cores()
}

// cost returns what a filler costs the lasting tasks on a VM.
func (h *harm) cost(v *vm, filler *model.Step) float64 {
	cost := 0.0
	for _, it := range v.runs {
		if !it.step.LongRunning || it.step.LatencyTarget <= 0 {
			continue
		}
		used := h.pressed(v, it)
		limit := h.aim(it.step) - tolerated
		adds := h.press(v, it.step, filler)
		cost += adds + overCost*(max(0, used+adds-limit)-max(0, used-limit))
	}
	return harmCost * cost
}

// pressed returns the utilization of a lasting run with the fillers beside it at the
// paces that they have.
func (h *harm) pressed(v *vm, it *run) float64 {
	used := h.own(it)
	for _, other := range v.runs {
		if other.step.BestEffort && !other.stopped {
			used += h.press(v, it.step, other.step)
		}
	}
	return used
}

// overloads reports whether a further filler would take a lasting task on a VM over
// its aim.
func (h *harm) overloads(v *vm, filler *model.Step) bool {
	for _, it := range v.runs {
		if !it.step.LongRunning || it.step.LatencyTarget <= 0 {
			continue
		}
		adds := h.press(v, it.step, filler)
		if adds > negligible && h.pressed(v, it)+adds > h.usedAt(it.step, placedShare) {
			return true
		}
	}
	return false
}

// negligible is the part of a lasting task's utilization that a filler may add to a
// task that is over its target anyway.
const negligible = 0.03
