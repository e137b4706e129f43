package lead

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/jobs/plan"
)

const (
	// initialCoefficient is the prior mean of an interference coefficient: the utilization
	// that a best-effort task using all of a VM's processors adds to a long-running task.
	// initialCoefficientStdDev is its standard deviation, maxCoefficient an upper bound for
	// the estimate.
	initialCoefficient, initialCoefficientStdDev, maxCoefficient = 0.8, 0.8, 5.0
	// coefficientDrift is the standard deviation by which a coefficient may change in one
	// second.
	coefficientDrift = 0.1
	// initialBaseLoad is the prior mean of the utilization of a long-running task without
	// best-effort tasks beside it, initialBaseLoadStdDev its standard deviation.
	initialBaseLoad, initialBaseLoadStdDev = 0.5, 0.2
	// baseLoadDrift is the standard deviation by which the base load of a long-running task
	// may change in one second.
	baseLoadDrift = 0.12
	// latencyNoise is the relative standard deviation of a measured tail latency,
	// minUtilizationNoise a lower bound for the standard deviation of the utilization
	// derived from it.
	latencyNoise, minUtilizationNoise = 0.12, 0.02
	// saturatedUtilization is the utilization from which the latency shows that the task is
	// overloaded, but not by how much.
	saturatedUtilization = 0.96
	// idleLatencyShare is the assumed ratio of an idle task's tail latency to the lowest
	// that was measured, maxIdleTargetShare an upper bound for its ratio to the target.
	idleLatencyShare, maxIdleTargetShare = 0.75, 0.2
	// runningTargetShare is the share of its target up to which running best-effort tasks
	// may raise a long-running task's latency.
	runningTargetShare = 0.8
	// placementTargetShare is the same limit for placing another best-effort task. It is
	// lower because the base load of the long-running task may rise later.
	placementTargetShare = 0.55
	// latencyWarmup is the time after the start of a long-running task during which its
	// latency is not used.
	latencyWarmup = 2 * time.Second
	// limitMargin is the distance below a task's utilization limit from which added
	// utilization costs extra.
	limitMargin = 0.1
	// excessCost is the extra cost per unit of utilization above that threshold.
	excessCost = 8.0
	// interferenceCost is the factor by which interference with long-running tasks counts
	// in the placement cost, in which plan.Choose adds it to the terms for an even use of
	// the VMs.
	interferenceCost = 12.0
)

// interference estimates how much best-effort tasks of each image slow down long-running
// tasks of each image, and the base load of each long-running step, which is its tasks'
// utilization without best-effort tasks beside them.
//
// Tail latency grows without bound as a task approaches saturation, so the model works
// with utilization, which is additive: the base load plus the contribution of each
// best-effort task on the VM. The tasks of a step have the same base load on every VM, so
// differences between them show the effect of their neighbours. Base loads and
// coefficients are estimated together by a Kalman filter that ignores covariances. The
// zero value uses the prior for all of them.
type interference struct {
	// coefficients holds the utilization that a best-effort task using all of a VM's
	// processors adds to a long-running task, by their images.
	coefficients map[imagePair]*estimate
	// pairsOf holds the images of the best-effort tasks for which coefficients has an estimate, by the image
	// of the long-running ones.
	pairsOf map[string][]string
	// baseLoads holds the base loads of long-running steps.
	baseLoads map[plan.StageKey]*estimate
	// minLatency is the lowest tail latency measured of each image, in milliseconds.
	minLatency map[string]float64
	// work is part of the result of Leader.Work.
	work uint64
}

// imagePair holds the images of a long-running and a best-effort task.
type imagePair struct {
	longRunning, bestEffort string
}

// coefficient returns the interference coefficient of a pair of images.
func (in *interference) coefficient(longRunning, bestEffort string) float64 {
	if c, ok := in.coefficients[imagePair{longRunning, bestEffort}]; ok {
		return c.mean
	}
	return initialCoefficient
}

// observe updates the estimates with the latency and processor use of a VM's runs.
func (in *interference) observe(now time.Time, v *vm, statuses []msgs.RunStatus) {
	shares := map[string]float64{}
	v.bestEffortUse = 0
	for _, status := range statuses {
		if r := v.runs[runKey{status.Task, status.Run}]; r != nil && r.step.BestEffort {
			shares[r.step.Image] += coresUsed(status) / v.cores()
			v.bestEffortUse += coresUsed(status)
		}
	}
	in.keepLargest(shares)
	for _, status := range statuses {
		r := v.runs[runKey{status.Task, status.Run}]
		if r != nil && r.step.LatencyTarget > 0 && status.Measurement > 0 && r.warmedUp(now) {
			in.work += uint64(len(shares))
			in.updateEstimates(now, r, float64(status.Measurement), shares)
		}
	}
}

// maxShares is the number of images of best-effort tasks whose effect on long-running ones is estimated from
// a lease request. Those that use least are left out.
const maxShares = 32

// keepLargest removes all but the maxShares largest shares.
func (in *interference) keepLargest(shares map[string]float64) {
	if len(shares) <= maxShares {
		return
	}
	in.work += sortWork(len(shares))
	images := slices.SortedFunc(maps.Keys(shares), func(a, b string) int {
		return cmp.Or(cmp.Compare(shares[b], shares[a]), cmp.Compare(a, b))
	})
	for _, image := range images[maxShares:] {
		delete(shares, image)
	}
}

// warmedUp reports whether the latency of a long-running run is that of normal operation.
func (r *run) warmedUp(now time.Time) bool { return r.restored || now.Sub(r.since) > latencyWarmup }

// coresUsed returns the processors that a best-effort run uses.
func coresUsed(status msgs.RunStatus) float64 { return float64(status.Measurement) / 1000 }

// cores returns the VM's number of processors.
func (v *vm) cores() float64 { return max(1, float64(v.info.Capacity.CPU)/1000) }

// updateEstimates processes the tail latency, in milliseconds, of a long-running task.
// shares holds the share of the VM's processors that best-effort tasks use, by image.
func (in *interference) updateEstimates(now time.Time, r *run, latency float64, shares map[string]float64) {
	in.initMaps()
	if len(in.baseLoads) > maxTracked {
		in.baseLoads = map[plan.StageKey]*estimate{}
	}
	if len(in.coefficients) > maxTracked {
		in.coefficients, in.pairsOf = map[imagePair]*estimate{}, map[string][]string{}
	}
	image := r.step.Image
	if minLatency, ok := in.minLatency[image]; !ok || latency < minLatency {
		in.minLatency[image] = latency
	}
	target := float64(r.step.LatencyTarget.Milliseconds())
	drainingBacklog := r.drainingBacklog
	r.drainingBacklog = latency >= target || (r.drainingBacklog && latency >= overTargetUntil*target)
	if drainingBacklog {
		return // a queue from an earlier overload still adds to the latency
	}
	baseLoad := in.baseLoads[stageKey(r.ref)]
	if baseLoad == nil {
		baseLoad = &estimate{mean: initialBaseLoad, variance: initialBaseLoadStdDev * initialBaseLoadStdDev}
		in.baseLoads[stageKey(r.ref)] = baseLoad
	}
	baseLoad.drift(now, baseLoadDrift, initialBaseLoadStdDev)
	utilization := in.utilization(r.step, latency)
	innovation := utilization - baseLoad.mean
	noise := max(minUtilizationNoise, latencyNoise*(1-utilization))
	variance := baseLoad.variance + noise*noise
	coefficients := map[string]*estimate{}
	for bestEffort, share := range shares {
		c := in.coefficientEstimate(imagePair{image, bestEffort})
		c.drift(now, coefficientDrift, initialCoefficientStdDev)
		coefficients[bestEffort] = c
		innovation -= c.mean * share
		variance += c.variance * share * share
	}
	if utilization >= saturatedUtilization && innovation < 0 {
		return // the load may be higher than a saturated task's latency shows
	}
	baseLoad.update(innovation, variance, 1)
	baseLoad.mean = min(max(0, baseLoad.mean), 1)
	for bestEffort, c := range coefficients {
		c.update(innovation, variance, shares[bestEffort])
		c.mean = min(max(0, c.mean), maxCoefficient)
	}
}

// initMaps makes the maps of a zero value.
func (in *interference) initMaps() {
	if in.minLatency == nil {
		in.minLatency, in.baseLoads = map[string]float64{}, map[plan.StageKey]*estimate{}
		in.coefficients, in.pairsOf = map[imagePair]*estimate{}, map[string][]string{}
	}
}

// coefficientEstimate returns the estimate for a pair of images and adds it if necessary.
func (in *interference) coefficientEstimate(pair imagePair) *estimate {
	c := in.coefficients[pair]
	if c == nil {
		c = &estimate{mean: initialCoefficient, variance: initialCoefficientStdDev * initialCoefficientStdDev}
		in.addCoefficient(pair, c)
	}
	return c
}

// addCoefficient sets the estimate for a pair of images.
func (in *interference) addCoefficient(pair imagePair, c *estimate) {
	if in.coefficients[pair] == nil {
		in.pairsOf[pair.longRunning] = append(in.pairsOf[pair.longRunning], pair.bestEffort)
	}
	in.coefficients[pair] = c
}

// idleLatency returns the assumed tail latency, in milliseconds, of a step's tasks without
// load.
func (in *interference) idleLatency(s *model.Step) float64 {
	idleLatency := maxIdleTargetShare * float64(s.LatencyTarget.Milliseconds())
	if minLatency, ok := in.minLatency[s.Image]; ok {
		idleLatency = min(idleLatency, idleLatencyShare*minLatency)
	}
	return idleLatency
}

// utilization returns the utilization that corresponds to a tail latency in milliseconds.
func (in *interference) utilization(s *model.Step, latency float64) float64 {
	return max(0, 1-in.idleLatency(s)/max(latency, 1))
}

// limit returns the utilization up to which running best-effort tasks may load a step's
// tasks.
func (in *interference) limit(s *model.Step) float64 {
	return in.utilizationAtShare(s, runningTargetShare)
}

// utilizationAtShare returns the utilization at which the latency of a step's tasks is
// the given share of their target.
func (in *interference) utilizationAtShare(s *model.Step, targetShare float64) float64 {
	return 1 - in.idleLatency(s)/(targetShare*float64(s.LatencyTarget.Milliseconds()))
}

// baseLoad returns the estimated base load of a long-running step's tasks.
func (in *interference) baseLoad(key plan.StageKey) float64 {
	if e := in.baseLoads[key]; e != nil {
		return e.mean
	}
	return initialBaseLoad
}

// addedUtilization returns how much a best-effort task at full speed adds to the
// utilization of a long-running task on the VM.
func (in *interference) addedUtilization(v *vm, longRunning, bestEffort *model.Step) float64 {
	return in.coefficient(longRunning.Image, bestEffort.Image) * float64(bestEffort.Size.CPU) / 1000 / v.cores()
}

// cost returns the placement cost of a further best-effort task: its interference with
// the long-running tasks on the VM, more if they come close to their limits.
func (in *interference) cost(v *vm, bestEffort *model.Step) float64 {
	cost := 0.0
	in.work += uint64(len(v.services))
	for _, s := range v.services {
		utilization := in.currentUtilization(v, s)
		threshold := in.limit(s.step) - limitMargin
		added := in.addedUtilization(v, s.step, bestEffort)
		cost += float64(s.runs) * (added + excessCost*(max(0, utilization+added-threshold)-max(0, utilization-threshold)))
	}
	return interferenceCost * cost
}

// currentUtilization returns the utilization of a service's runs with the present
// best-effort runs beside it, each counted at full speed.
func (in *interference) currentUtilization(v *vm, s *service) float64 {
	image := s.step.Image
	added, known := v.fullLoads[image]
	if !known {
		added = in.fullLoad(v, image)
		if v.fullLoads == nil {
			v.fullLoads = map[string]float64{}
		}
		v.fullLoads[image] = added
	}
	return in.baseLoad(s.key) + added
}

// fullLoad returns what the best-effort runs of a VM add to the utilization of long-running tasks of an
// image at full speed. Only pairs of images with an estimate are looked at one by one.
func (in *interference) fullLoad(v *vm, image string) float64 {
	measured := in.pairsOf[image]
	in.work += uint64(len(measured) + 1)
	load := initialCoefficient * float64(v.allBestEffortCPU)
	for _, bestEffort := range measured {
		if cpu := v.bestEffortCPU[bestEffort]; cpu > 0 {
			load += (in.coefficient(image, bestEffort) - initialCoefficient) * float64(cpu)
		}
	}
	return load / 1000 / v.cores()
}

// noteAssigned adds a best-effort task to those that currentUtilization counts.
func (in *interference) noteAssigned(v *vm, bestEffort *model.Step) {
	in.work += uint64(len(v.fullLoads))
	for image := range v.fullLoads {
		v.fullLoads[image] += in.coefficient(image, bestEffort.Image) * requestedCores(bestEffort) / v.cores()
	}
}

// overloads reports whether a further best-effort task would raise a long-running task on
// the VM above the limit for placement.
func (in *interference) overloads(v *vm, bestEffort *model.Step) bool {
	in.work += uint64(len(v.services))
	for _, s := range v.services {
		added := in.addedUtilization(v, s.step, bestEffort)
		if added > negligibleInterference && in.currentUtilization(v, s)+added > in.utilizationAtShare(s.step, placementTargetShare) {
			return true
		}
	}
	return false
}

// negligibleInterference is the utilization added to a long-running task up to which a
// best-effort task counts as harmless: it may be placed even beside a task that is over its
// target, and is not throttled unless headroom.pauseAll is set.
const negligibleInterference = 0.03
