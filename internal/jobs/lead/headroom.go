package lead

import (
	"cmp"
	"slices"
	"time"
)

// contribution is the utilization that a best-effort run adds to a long-running task, at
// present and at full speed.
type contribution struct {
	r         *run
	now, full float64
	urgency
}

// headroom describes how much load best-effort tasks may add to a long-running task.
type headroom struct {
	// contributions are sorted by urgency, then by the utilization at full speed, lowest
	// first.
	contributions []contribution
	// budget is the utilization that best-effort tasks may add.
	budget float64
	// over is set if best-effort tasks at full speed would exceed the budget. throttle,
	// pause and pauseAll are set once the task has been over its target for
	// throttleAfter, pauseAfter (or pauseFarOverAfter) and pauseAllAfter.
	over, throttle, pause, pauseAll bool
}

// headroom returns the headroom of a long-running run with the given tail latency, in
// milliseconds, and updates the time since which the run is over its target. cores holds
// the processors that each run uses.
func (in *interference) headroom(now time.Time, v *vm, r *run, latency float64, cores map[runKey]float64, urgencyOf func(*run) urgency) headroom {
	target := float64(r.step.LatencyTarget.Milliseconds())
	switch {
	case latency < overTargetUntil*target:
		r.overTargetSince = time.Time{}
	case latency >= overTargetFrom*target && r.overTargetSince.IsZero():
		r.overTargetSince = now
	}
	hr := headroom{contributions: in.contributions(v, r, cores, urgencyOf)}
	baseLoad, full := in.utilization(r.step, latency), 0.0
	for _, c := range hr.contributions {
		baseLoad -= c.now
		full += c.full
	}
	hr.budget = in.limit(r.step) - max(0, baseLoad)
	hr.over = full > hr.budget
	if !r.overTargetSince.IsZero() {
		over := now.Sub(r.overTargetSince)
		hr.throttle = over > throttleAfter
		hr.pause = over > pauseAfter || (over > pauseFarOverAfter && latency > farOverTarget*target)
		hr.pauseAll = over > pauseAllAfter
	}
	return hr
}

// contributions returns what a VM's best-effort runs add to the utilization of a
// long-running run, in the order of headroom.contributions.
func (in *interference) contributions(v *vm, longRunning *run, cores map[runKey]float64, urgencyOf func(*run) urgency) []contribution {
	in.work += uint64(len(v.runs))
	var list []contribution
	for key, r := range v.runs {
		if !r.step.BestEffort || r.stopped {
			continue
		}
		weight := in.coefficient(longRunning.step.Image, r.step.Image) / v.cores()
		list = append(list, contribution{r, weight * cores[key], weight * r.fullSpeedCores(cores[key]), urgencyOf(r)})
	}
	in.work += sortWork(len(list))
	slices.SortFunc(list, func(a, b contribution) int {
		if c := a.urgency.compare(b.urgency); c != 0 {
			return c
		}
		if c := cmp.Compare(a.full, b.full); c != 0 {
			return c
		}
		return cmp.Compare(a.r.ref.String(), b.r.ref.String())
	})
	return list
}

// divideBudget divides the budget among the best-effort runs: all that remains of it goes to
// the most urgent ones, since a step is complete only when the last of its runs is. Runs of
// equal urgency get equal shares, and what a run does not need of its share is left to the
// others. divideBudget lowers the speed limits of runs that would exceed their shares. Runs
// with negligible interference are not throttled unless pauseAll is set.
func divideBudget(hr headroom, limits map[*run]int) {
	budget, rest := hr.budget, hr.contributions
	for len(rest) > 0 {
		n := slices.IndexFunc(rest, func(c contribution) bool { return c.compare(rest[0].urgency) != 0 })
		if n < 0 {
			n = len(rest)
		}
		budget = hr.divide(rest[:n], budget, limits)
		rest = rest[n:]
	}
}

// divide divides the budget among some of the runs and returns what is left of it.
func (hr *headroom) divide(contributions []contribution, budget float64, limits map[*run]int) float64 {
	for i, c := range contributions {
		if c.full < negligibleInterference && !hr.pauseAll {
			budget -= c.full
			continue
		}
		share := max(0, budget) / float64(len(contributions)-i)
		limit := fullSpeed
		if c.full > share {
			limit = int(fullSpeed * share / c.full)
		}
		if limit < minSpeed {
			limit = 0
		}
		budget -= min(c.full, share)
		if before, ok := limits[c.r]; !ok || limit < before {
			limits[c.r] = limit
		}
	}
	return budget
}
