package lead

import (
	"cmp"
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
)

const (
	// fullSpeed is the speed limit of runs that are not throttled, in percent.
	fullSpeed = 100
	// coresPerLongRunningCore is how much best-effort work, in cores, is worth as much as
	// keeping a long-running task that requests one core within its latency target.
	coresPerLongRunningCore = 1.2
	// lateWorkWeight is the value of best-effort work for a job that is planned to be late,
	// relative to the same work for one that can be on time.
	lateWorkWeight = 0.15
	// throttleAfter is how long a long-running task may be continuously over its target
	// before the best-effort tasks beside it are throttled regardless of how many cores
	// they use.
	throttleAfter = time.Second
	// pauseAfter is how long it may be over before best-effort tasks are paused.
	pauseAfter = 1300 * time.Millisecond
	// farOverTarget is the multiple of its target above which a task is far over it.
	// The best-effort tasks beside it are then paused after pauseFarOverAfter instead of
	// pauseAfter, because its request queue takes a second to drain.
	farOverTarget     = 2.0
	pauseFarOverAfter = 500 * time.Millisecond
	// pauseAllAfter is how long it may be over before best-effort tasks with negligible
	// interference are paused as well.
	pauseAllAfter = 2200 * time.Millisecond
	// overTargetFrom is the share of the target from which a task counts as over its
	// target, overTargetUntil the one below which it no longer does. Measurements are too
	// noisy for a single threshold at the target itself.
	overTargetFrom, overTargetUntil = 0.8, 0.75
	// minSpeed is the speed limit below which a best-effort task is paused, in percent.
	minSpeed = 4
	// minSpeedChange is the smallest change of a speed limit that is sent to a worker, in
	// percentage points.
	minSpeedChange = 5
	// maxSpeedIncrease is the largest single increase of a speed limit, in percentage
	// points.
	maxSpeedIncrease = 30
)

// throttleBestEffort sets the speed limits of a VM's best-effort runs from the latest
// measurements. It returns the orders that change them, or nil. It handles noisy neighbours
// whose load comes in bursts.
//
// Each best-effort run may add the same utilization to a long-running task, so heavy runs
// are throttled while light ones continue. If the best-effort runs use many cores and only
// a few long-running tasks are affected, they are not throttled unless one of these stays
// over its target.
func (l *Leader) throttleBestEffort(now time.Time, v *vm, statuses []msgs.RunStatus) *msgs.Message {
	cores := map[runKey]float64{}
	for _, status := range statuses {
		cores[runKey{status.Task, status.Run}] = coresUsed(status)
	}
	beside := l.measuredNeighbors(v, cores)
	var headrooms []headroom
	over := 0.0
	for _, status := range statuses {
		r := v.runs[runKey{status.Task, status.Run}]
		if r == nil || r.step.LatencyTarget <= 0 || status.Measurement <= 0 {
			continue
		}
		hr := l.interference.headroom(now, r, float64(status.Measurement), beside)
		if hr.over {
			over += r.requestedCores()
		}
		headrooms = append(headrooms, hr)
	}
	mayThrottle := beside.weightedCores() <= coresPerLongRunningCore*over
	limits := map[*run]int{}
	for _, hr := range headrooms {
		if hr.pause {
			hr.budget = 0
		}
		if hr.throttle || hr.pause || (hr.over && mayThrottle) {
			divideBudget(hr, limits)
		}
	}
	return l.speedLimitOrders(now, v, limits)
}

// overloaded reports whether a long-running task has been over its target for throttleAfter,
// so that no further best-effort task may start on the VM, except urgent ones.
func (v *vm) overloaded(now time.Time) bool {
	for _, r := range v.targeted {
		if !r.overTargetSince.IsZero() && now.Sub(r.overTargetSince) > throttleAfter {
			return true
		}
	}
	return false
}

// requestedCores returns the processors that a run requests.
func (r *run) requestedCores() float64 { return requestedCores(r.step) }

// requestedCores returns the processors that a task of a step requests.
func requestedCores(s *model.Step) float64 { return float64(s.Size.CPU) / 1000 }

// estimateSpeeds estimates the speed limits that an earlier leader ordered for the VM's runs
// from the processors that they use. Runs that it had paused would stay so otherwise.
func (v *vm) estimateSpeeds(statuses []msgs.RunStatus) {
	for _, status := range statuses {
		if r := v.runs[runKey{status.Task, status.Run}]; r != nil && r.speedUnknown {
			r.speedLimit = min(int(fullSpeed*coresUsed(status)/max(r.requestedCores(), minCores)), fullSpeed)
			r.speedUnknown = false
		}
	}
}

// minCores is the least number of requested processors that a speed is related to.
const minCores = 0.001

// fullSpeedCores returns the processors that a best-effort run would use at full speed,
// extrapolated from those that it uses at its present speed limit.
func (r *run) fullSpeedCores(cores float64) float64 {
	full := r.requestedCores()
	if r.speedLimit > minSpeed && cores > 0 {
		full = min(full, cores*fullSpeed/float64(r.speedLimit))
	}
	return full
}

// speedLimitOrders applies the speed limits, in percent, to a VM's best-effort runs; those
// without one run at full speed. It returns the orders for the limits that changed, or nil.
func (l *Leader) speedLimitOrders(now time.Time, v *vm, limits map[*run]int) *msgs.Message {
	var list []msgs.Throttle
	for key, r := range v.runs {
		limit, throttled := limits[r]
		if !r.step.BestEffort || r.stopped {
			continue
		}
		if !throttled {
			limit = fullSpeed
		}
		limit = min(limit, r.speedLimit+maxSpeedIncrease)
		if d := limit - r.speedLimit; d == 0 || (max(d, -d) < minSpeedChange && limit != fullSpeed && limit != 0) {
			continue
		}
		r.speedLimit = limit
		list = append(list, msgs.Throttle{Task: key.task, Run: key.number, Percent: limit})
	}
	if len(list) == 0 {
		return nil
	}
	slices.SortFunc(list, func(a, b msgs.Throttle) int { return cmp.Compare(a.Task, b.Task) })
	for _, order := range list {
		l.log.Info("run paced", "req", model.JobOf(order.Task), "task", order.Task, "run", order.Run, "vm", v.info.ID,
			"pace", order.Percent, "heard", now.Sub(v.lastContact), "epoch", l.epoch)
	}
	return &msgs.Message{Orders: &msgs.Orders{Epoch: l.epoch, VM: v.info.ID, Incarnation: v.info.Incarnation, Throttles: list}}
}

// plannedLate reports whether the plan lets a run's job miss its objective.
func (l *Leader) plannedLate(r *run) bool {
	return l.onTimePlan.plannedLate(r.ref.Job, r.ref.Occurrence)
}

// initialSpeeds returns the speed limits, in percent, at which the best-effort runs among some that were
// just assigned to the VM start. They follow from the estimated interference, and are 0 if the VM is
// overloaded.
func (l *Leader) initialSpeeds(now time.Time, v *vm, beside *neighbors, assigned ...*run) map[*run]int {
	speeds := map[*run]int{}
	if v.overloaded(now) {
		for _, r := range assigned {
			speeds[r] = 0
		}
		return speeds
	}
	limits := map[*run]int{}
	in := &l.interference
	over := 0.0
	l.work += uint64(len(v.services))
	for _, s := range v.services {
		added := beside.addedTo(s.step.Image)
		budget := in.limit(s.step) - in.baseLoad(s.key)
		if added.full > budget {
			over += float64(s.runs) * requestedCores(s.step)
			divideBudget(headroom{added: added, budget: budget}, limits)
		}
	}
	throttled := beside.weightedCores() <= coresPerLongRunningCore*over
	for _, r := range assigned {
		speeds[r] = fullSpeed
		if limit, ok := limits[r]; ok && throttled {
			speeds[r] = max(limit, minSpeed)
		}
	}
	return speeds
}

// expectedSpeed returns the speed limit, in percent, at which a further best-effort task
// would start on the VM.
func (l *Leader) expectedSpeed(now time.Time, v *vm, bestEffort *model.Step) int {
	further := &run{step: bestEffort, speedLimit: fullSpeed}
	return l.initialSpeeds(now, v, l.requestedNeighbors(v, further), further)[further]
}
