package lead

import (
	"cmp"
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
)

const (
	// fullSpeed is the pace of runs that nothing slows, in percent.
	fullSpeed = 100
	// coresPerLongRunningTask is how much batch work, in cores, weighs as much as one lasting
	// task's being within its target.
	coresPerLongRunningTask = 12.0
	// yieldAfter is how long a lasting task may be over its target on end before its
	// fillers yield whatever they weigh.
	yieldAfter = time.Second
	// pauseAfter is how long it may be over before they stand still.
	pauseAfter = 1300 * time.Millisecond
	// farOverTarget is how many times its target a task may be over for haltFor; beyond it
	// fillers stand still after haltSoon, since what has queued up takes a second to
	// drain.
	farOverTarget     = 2.0
	pauseFarOverAfter = 500 * time.Millisecond
	// pauseAllAfter is how long it may be over before fillers that hardly disturb it stand
	// still as well.
	pauseAllAfter = 2200 * time.Millisecond
	// overTargetFrom is the part of the target from which a task counts as over, wellBelow
	// that below which it no longer does: what is measured is rough.
	overTargetFrom, overTargetUntil = 0.8, 0.65
	// minSpeed is the pace below which a filler stands still, in percent.
	minSpeed = 4
	// minSpeedChange is the least change that is worth a call, in percent.
	minSpeedChange = 5
	// maxSpeedIncrease bounds how much faster a filler becomes at a time, in percent.
	maxSpeedIncrease = 30
)

// contribution is a filler's part in the utilization of a lasting task: now, and at full
// pace.
type contribution struct {
	r         *run
	now, full float64
}

// headroom is what a lasting task needs of the fillers beside it.
type headroom struct {
	contributions []contribution
	// budget is what the fillers may add to its utilization.
	budget float64
	// over is set if full pace would take the task over its target, must if it has been
	// over for long, halt if for too long, all if even fillers that hardly disturb it
	// have to stand still.
	over, throttle, pause, pauseAll bool
}

// throttleBestEffort sets the pace of a VM's fillers by what was measured, and returns the orders
// that this takes, nil if none. It answers noisy neighbours that come in waves: each
// filler may press equally much, so light ones go on while heavy ones are slowed. Much
// batch work is not slowed for few lasting tasks unless these are over their targets
// for long.
func (l *Leader) throttleBestEffort(now time.Time, v *vm, rows []msgs.Row) *msgs.Message {
	cores := map[runKey]float64{}
	for _, row := range rows {
		cores[runKey{row.Task, row.Run}] = coresUsed(row)
	}
	var demands []headroom
	over := 0
	for _, row := range rows {
		r := v.runs[runKey{row.Task, row.Run}]
		if r == nil || r.step.Target <= 0 || row.Measure <= 0 {
			continue
		}
		d := l.interference.headroom(now, v, r, float64(row.Measure), cores)
		if d.over {
			over++
		}
		demands = append(demands, d)
	}
	mayThrottle := v.bestEffortCores(cores) <= coresPerLongRunningTask*float64(over)
	limits := map[*run]int{}
	for _, d := range demands {
		if d.pause {
			d.budget = 0
		}
		if d.throttle || d.pause || (d.over && mayThrottle) {
			divideBudget(d, limits)
		}
	}
	return l.speedLimitOrders(now, v, limits)
}

// overloaded reports whether a lasting task has been over its target for so long that no
// further filler may come.
func (v *vm) overloaded(now time.Time) bool {
	for _, r := range v.runs {
		if !r.overTargetSince.IsZero() && now.Sub(r.overTargetSince) > yieldAfter {
			return true
		}
	}
	return false
}

// headroom returns what a lasting task with a tail latency, in milliseconds, needs.
func (h *interference) headroom(now time.Time, v *vm, r *run, latency float64, cores map[runKey]float64) headroom {
	target := float64(r.step.Target.Milliseconds())
	switch {
	case latency < overTargetUntil*target:
		r.overTargetSince = time.Time{}
	case latency >= overTargetFrom*target && r.overTargetSince.IsZero():
		r.overTargetSince = now
	}
	d := headroom{contributions: h.contributions(v, r, cores)}
	ownLoad, full := h.utilization(r.step, latency), 0.0
	for _, p := range d.contributions {
		ownLoad -= p.now
		full += p.full
	}
	d.budget = h.limit(r.step) - max(0, ownLoad)
	d.over = full > d.budget
	if !r.overTargetSince.IsZero() {
		over := now.Sub(r.overTargetSince)
		d.throttle = over > yieldAfter
		d.pause = over > pauseAfter || (over > pauseFarOverAfter && latency > farOverTarget*target)
		d.pauseAll = over > pauseAllAfter
	}
	return d
}

// bestEffortCores returns the processors that a VM's fillers would use at full pace.
func (v *vm) bestEffortCores(cores map[runKey]float64) float64 {
	sum := 0.0
	for key, r := range v.runs {
		if r.step.Filler && !r.stopped {
			sum += r.fullSpeedCores(cores[key])
		}
	}
	return sum
}

// fullSpeedCores returns the processors that a filler would use at full pace, by what it
// uses at its present one.
func (r *run) fullSpeedCores(cores float64) float64 {
	full := float64(r.step.Size.CPU) / 1000
	if r.speedLimit > minSpeed && cores > 0 {
		full = min(full, cores*fullSpeed/float64(r.speedLimit))
	}
	return full
}

// speedLimitOrders sets the fillers' paces to the aims; those without one go at full pace.
func (l *Leader) speedLimitOrders(now time.Time, v *vm, limits map[*run]int) *msgs.Message {
	var list []msgs.Pace
	for key, r := range v.runs {
		limit, throttled := limits[r]
		if !r.step.Filler || r.stopped {
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
		list = append(list, msgs.Pace{Task: key.task, Run: key.number, Percent: limit})
	}
	if len(list) == 0 {
		return nil
	}
	slices.SortFunc(list, func(a, b msgs.Pace) int { return cmp.Compare(a.Task, b.Task) })
	for _, order := range list {
		l.log.Info("run paced", "req", model.JobOf(order.Task), "task", order.Task, "run", order.Run, "vm", v.info.ID,
			"pace", order.Percent, "heard", now.Sub(v.lastContact), "epoch", l.epoch)
	}
	return &msgs.Message{Orders: &msgs.Orders{Epoch: l.epoch, VM: v.info.ID, Life: v.info.Life, Paces: list}}
}

// contributions returns the parts of a VM's fillers in the utilization of a lasting task.
func (h *interference) contributions(v *vm, longRunning *run, cores map[runKey]float64) []contribution {
	var list []contribution
	for key, r := range v.runs {
		if !r.step.Filler || r.stopped {
			continue
		}
		weight := h.coefficient(longRunning.step.Image, r.step.Image) / v.cores()
		list = append(list, contribution{r, weight * cores[key], weight * r.fullSpeedCores(cores[key])})
	}
	slices.SortFunc(list, func(a, b contribution) int {
		if c := cmp.Compare(a.full, b.full); c != 0 {
			return c
		}
		return cmp.Compare(a.r.ref.String(), b.r.ref.String())
	})
	return list
}

// divideBudget divides a demand's budget among its fillers, least pressing first, and lowers
// their aims accordingly. Fillers that hardly press are left alone as long as that may
// help.
func divideBudget(d headroom, limits map[*run]int) {
	budget := d.budget
	for i, p := range d.contributions {
		if p.full < negligibleInterference && !d.pauseAll {
			budget -= p.full
			continue
		}
		share := max(0, budget) / float64(len(d.contributions)-i)
		limit := fullSpeed
		if p.full > share {
			limit = int(fullSpeed * share / p.full)
		}
		if limit < minSpeed {
			limit = 0
		}
		budget -= min(p.full, share)
		if before, ok := limits[p.r]; !ok || limit < before {
			limits[p.r] = limit
		}
	}
}

// initialSpeed returns the pace at which a filler that a VM has been given begins, by
// what is expected of it.
func (h *interference) initialSpeed(now time.Time, v *vm, bestEffort *run) int {
	if v.overloaded(now) {
		return 0
	}
	limits := map[*run]int{}
	over := 0
	for _, r := range v.runs {
		if !r.step.Lasting || r.step.Target <= 0 {
			continue
		}
		contributions, full := h.contributions(v, r, nil), 0.0
		for _, p := range contributions {
			full += p.full
		}
		budget := h.limit(r.step) - h.ownLoad(r)
		if full > budget {
			over++
			divideBudget(headroom{contributions: contributions, budget: budget}, limits)
		}
	}
	if v.bestEffortCores(nil) > coresPerLongRunningTask*float64(over) {
		return fullSpeed
	}
	if limit, ok := limits[bestEffort]; ok {
		return max(limit, minSpeed)
	}
	return fullSpeed
}

// expectedSpeed returns the pace that a further filler would have on a VM.
func (h *interference) expectedSpeed(now time.Time, v *vm, bestEffort *model.Step) int {
	further := &run{step: bestEffort, speedLimit: fullSpeed}
	key := runKey{}
	v.runs[key] = further
	defer delete(v.runs, key)
	return h.initialSpeed(now, v, further)
}
