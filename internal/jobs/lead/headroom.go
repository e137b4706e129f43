package lead

import (
	"slices"
	"time"
)

// headroom describes how much load best-effort tasks may add to a long-running task.
type headroom struct {
	// added is what the best-effort tasks beside it add.
	added *addedLoad
	// budget is the utilization that best-effort tasks may add.
	budget float64
	// over is set if best-effort tasks at full speed would exceed the budget. throttle,
	// pause and pauseAll are set once the task has been over its target for
	// throttleAfter, pauseAfter (or pauseFarOverAfter) and pauseAllAfter.
	over, throttle, pause, pauseAll bool
}

// headroom returns the headroom of a long-running run with the given tail latency, in
// milliseconds, and updates the time since which the run is over its target.
func (in *interference) headroom(now time.Time, r *run, latency float64, beside *neighbors) headroom {
	target := float64(r.step.LatencyTarget.Milliseconds())
	switch {
	case latency < overTargetUntil*target:
		r.overTargetSince = time.Time{}
	case latency >= overTargetFrom*target && r.overTargetSince.IsZero():
		r.overTargetSince = now
	}
	hr := headroom{added: beside.addedTo(r.step.Image)}
	baseLoad := in.utilization(r.step, latency) - hr.added.now
	hr.budget = in.limit(r.step) - max(0, baseLoad)
	hr.over = hr.added.full > hr.budget
	if !r.overTargetSince.IsZero() {
		over := now.Sub(r.overTargetSince)
		hr.throttle = over > throttleAfter
		hr.pause = over > pauseAfter || (over > pauseFarOverAfter && latency > farOverTarget*target)
		hr.pauseAll = over > pauseAllAfter
	}
	return hr
}

// divideBudget divides the budget among the best-effort runs: all that remains of it goes to
// the most urgent ones, since a step is complete only when the last of its runs is. Runs of
// equal urgency get equal shares, and what a run does not need of its share is left to the
// others. divideBudget lowers the speed limits of runs that would exceed their shares. Runs
// with negligible interference are not throttled unless pauseAll is set.
func divideBudget(hr headroom, limits map[*run]int) {
	budget, rest := hr.budget, hr.added.contributions()
	for len(rest) > 0 {
		n := slices.IndexFunc(rest, func(c contribution) bool { return c.load.compare(rest[0].load.urgency) != 0 })
		if n < 0 {
			n = len(rest)
		}
		budget = hr.divide(rest[:n], budget, limits)
		rest = rest[n:]
	}
}

// divide divides the budget among some of the runs and returns what is left of it.
func (hr *headroom) divide(contributions []contribution, budget float64, limits map[*run]int) float64 {
	left := 0
	for _, c := range contributions {
		left += len(c.load.runs)
	}
	for _, c := range contributions {
		n := len(c.load.runs)
		share := max(0, budget) / float64(left)
		left -= n
		if c.full < negligibleInterference && !hr.pauseAll {
			budget -= float64(n) * c.full
			continue
		}
		limit := fullSpeed
		if c.full > share {
			limit = int(fullSpeed * share / c.full)
		}
		if limit < minSpeed {
			limit = 0
		}
		budget -= float64(n) * min(c.full, share)
		for _, r := range c.load.runs {
			if before, ok := limits[r]; !ok || limit < before {
				limits[r] = limit
			}
		}
	}
	return budget
}
