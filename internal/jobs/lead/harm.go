package lead

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/jobs/plan"
)

const (
	// initialCoefficient is what a filler that uses all of a VM is assumed to add to the
	// utilization of a lasting task, firstPressDev the doubt in it; mostPress bounds
	// what is learned.
	initialCoefficient, initialCoefficientStdDev, maxCoefficient = 0.8, 0.8, 5.0
	// coefficientDrift is how much doubt a second adds to what was learned, as a deviation.
	coefficientDrift = 0.1
	// initialOwnLoad is the utilization assumed of a lasting task without fillers,
	// firstOwnDev the doubt in it.
	initialOwnLoad, initialOwnLoadStdDev = 0.5, 0.2
	// ownLoadDrift is how much a lasting task's own load changes in a second, as a deviation.
	ownLoadDrift = 0.12
	// latencyNoise is the relative deviation of a measured tail latency, leastNoise bounds
	// that of the utilization from below.
	latencyNoise, minUtilizationNoise = 0.12, 0.02
	// saturatedUtilization is the utilization from which latency no longer tells how much more
	// there is.
	saturatedUtilization = 0.96
	// idleLatencyShare is the tail latency of an idle task as a part of the least that was
	// measured, idleTarget the most that it is believed to be of the target.
	idleLatencyShare, maxIdleTargetShare = 0.75, 0.2
	// runningTargetShare is the part of its target up to which fillers may take a task's
	// latency.
	runningTargetShare = 0.8
	// placementTargetShare is the part up to which further fillers may take it: its own load may
	// rise while they run.
	placementTargetShare = 0.55
	// latencyWarmup is the age from which a lasting task's latency is believed.
	latencyWarmup = 2 * time.Second
	// limitMargin is the distance from the aim at which fillers count little.
	limitMargin = 0.1
	// excessCost weighs what is nearer.
	excessCost = 8.0
	// interferenceCost weighs the disturbance of lasting tasks against even use of VMs.
	interferenceCost = 12.0
)

// interference learns how much fillers of each image disturb lasting tasks of each image, and
// how much each step of lasting tasks is loaded by itself.
//
// Tail latency grows without bound as a task nears what its VM gives it, so what is
// learned is utilization, to which each neighbour adds its part. The tasks of a step
// share their load, wherever they run, so what differs between them tells what their
// neighbours add. Both are estimated together, as in a Kalman filter whose
// covariances are left out. The zero value assumes the same of all.
type interference struct {
	// coefficients holds what a filler that uses a whole VM adds, by images.
	coefficients map[imagePair]*estimate
	// ownLoads holds the utilization of lasting steps without fillers.
	ownLoads map[plan.StageKey]*estimate
	// minLatency is the least tail latency measured of an image, in milliseconds.
	minLatency map[string]float64
}

type imagePair struct {
	longRunning, bestEffort string
}

func (h *interference) coefficient(longRunning, bestEffort string) float64 {
	if p, ok := h.coefficients[imagePair{longRunning, bestEffort}]; ok {
		return p.mean
	}
	return initialCoefficient
}

// observe takes the measurements of a VM.
func (h *interference) observe(now time.Time, v *vm, rows []msgs.Row) {
	shares := map[string]float64{}
	v.bestEffortUse = 0
	for _, row := range rows {
		if r := v.runs[runKey{row.Task, row.Run}]; r != nil && r.step.Filler {
			shares[r.step.Image] += coresUsed(row) / v.cores()
			v.bestEffortUse += coresUsed(row)
		}
	}
	for _, row := range rows {
		r := v.runs[runKey{row.Task, row.Run}]
		if r != nil && r.step.Target > 0 && row.Measure > 0 && now.Sub(r.since) > latencyWarmup {
			h.updateEstimates(now, r, float64(row.Measure), shares)
		}
	}
}

// coresUsed returns the processors that a run uses.
func coresUsed(row msgs.Row) float64 { return float64(row.Measure) / 1000 }

// cores returns the VM's processors.
func (v *vm) cores() float64 { return max(1, float64(v.info.Capacity.CPU)/1000) }

func (h *interference) updateEstimates(now time.Time, r *run, latency float64, shares map[string]float64) {
	h.initMaps()
	if len(h.ownLoads) > maxTracked {
		h.ownLoads = map[plan.StageKey]*estimate{}
	}
	if len(h.coefficients) > maxTracked {
		h.coefficients = map[imagePair]*estimate{}
	}
	image := r.step.Image
	if minLatency, ok := h.minLatency[image]; !ok || latency < minLatency {
		h.minLatency[image] = latency
	}
	target := float64(r.step.Target.Milliseconds())
	drainingBacklog := r.drainingBacklog
	r.drainingBacklog = latency >= target || (r.drainingBacklog && latency >= overTargetUntil*target)
	if drainingBacklog {
		return // the latency tells of what queued up before
	}
	ownLoad := h.ownLoads[stageKey(r.ref)]
	if ownLoad == nil {
		ownLoad = &estimate{mean: initialOwnLoad, variance: initialOwnLoadStdDev * initialOwnLoadStdDev}
		h.ownLoads[stageKey(r.ref)] = ownLoad
	}
	ownLoad.drift(now, ownLoadDrift, initialOwnLoadStdDev)
	utilization := h.utilization(r.step, latency)
	innovation := utilization - ownLoad.mean
	noise := max(minUtilizationNoise, latencyNoise*(1-utilization))
	variance := ownLoad.variance + noise*noise
	coefficients := map[string]*estimate{}
	for bestEffort, share := range shares {
		p := h.coefficientEstimate(imagePair{image, bestEffort})
		p.drift(now, coefficientDrift, initialCoefficientStdDev)
		coefficients[bestEffort] = p
		innovation -= p.mean * share
		variance += p.variance * share * share
	}
	if utilization >= saturatedUtilization && innovation < 0 {
		return // the task may be loaded more than its latency tells
	}
	ownLoad.update(innovation, variance, 1)
	ownLoad.mean = min(max(0, ownLoad.mean), 1)
	for bestEffort, p := range coefficients {
		p.update(innovation, variance, shares[bestEffort])
		p.mean = min(max(0, p.mean), maxCoefficient)
	}
}

// initMaps makes the maps of a harm that has learned nothing.
func (h *interference) initMaps() {
	if h.minLatency == nil {
		h.minLatency, h.coefficients, h.ownLoads = map[string]float64{}, map[imagePair]*estimate{}, map[plan.StageKey]*estimate{}
	}
}

func (h *interference) coefficientEstimate(pair imagePair) *estimate {
	p := h.coefficients[pair]
	if p == nil {
		p = &estimate{mean: initialCoefficient, variance: initialCoefficientStdDev * initialCoefficientStdDev}
		h.coefficients[pair] = p
	}
	return p
}

// idleLatency returns the tail latency in milliseconds of a step's task without load.
func (h *interference) idleLatency(s *model.Step) float64 {
	idleLatency := maxIdleTargetShare * float64(s.Target.Milliseconds())
	if minLatency, ok := h.minLatency[s.Image]; ok {
		idleLatency = min(idleLatency, idleLatencyShare*minLatency)
	}
	return idleLatency
}

// utilization returns the utilization that a tail latency in milliseconds tells.
func (h *interference) utilization(s *model.Step, latency float64) float64 {
	return max(0, 1-h.idleLatency(s)/max(latency, 1))
}

// limit returns the utilization up to which fillers may take a step's tasks.
func (h *interference) limit(s *model.Step) float64 {
	return h.utilizationAtShare(s, runningTargetShare)
}

// utilizationAtShare returns the utilization at which the latency of a step's tasks is a part of
// their target.
func (h *interference) utilizationAtShare(s *model.Step, targetShare float64) float64 {
	return 1 - h.idleLatency(s)/(targetShare*float64(s.Target.Milliseconds()))
}

// ownLoad returns the utilization of a lasting run without fillers.
func (h *interference) ownLoad(r *run) float64 {
	if e := h.ownLoads[stageKey(r.ref)]; e != nil {
		return e.mean
	}
	return initialOwnLoad
}

// addedUtilization returns how much a filler of a step adds to the utilization of a lasting
// task of a VM at full pace.
func (h *interference) addedUtilization(v *vm, longRunning, bestEffort *model.Step) float64 {
	return h.coefficient(longRunning.Image, bestEffort.Image) * float64(bestEffort.Size.CPU) / 1000 / v.cores()
}

// cost returns what a filler costs the lasting tasks on a VM.
func (h *interference) cost(v *vm, bestEffort *model.Step) float64 {
	cost := 0.0
	for _, r := range v.runs {
		if !r.step.Lasting || r.step.Target <= 0 {
			continue
		}
		utilization := h.currentUtilization(v, r)
		threshold := h.limit(r.step) - limitMargin
		added := h.addedUtilization(v, r.step, bestEffort)
		cost += added + excessCost*(max(0, utilization+added-threshold)-max(0, utilization-threshold))
	}
	return interferenceCost * cost
}

// currentUtilization returns the utilization of a lasting run with the fillers beside it at the
// paces that they have.
func (h *interference) currentUtilization(v *vm, r *run) float64 {
	utilization := h.ownLoad(r)
	for _, other := range v.runs {
		if other.step.Filler && !other.stopped {
			utilization += h.addedUtilization(v, r.step, other.step)
		}
	}
	return utilization
}

// overloads reports whether a further filler would take a lasting task on a VM over
// its aim.
func (h *interference) overloads(v *vm, bestEffort *model.Step) bool {
	for _, r := range v.runs {
		if !r.step.Lasting || r.step.Target <= 0 {
			continue
		}
		added := h.addedUtilization(v, r.step, bestEffort)
		if added > negligibleInterference && h.currentUtilization(v, r)+added > h.utilizationAtShare(r.step, placementTargetShare) {
			return true
		}
	}
	return false
}

// negligibleInterference is the part of a lasting task's utilization that a filler may add to a
// task that is over its target anyway.
const negligibleInterference = 0.03
