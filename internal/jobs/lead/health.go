package lead

import (
	"math"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
)

const (
	// suspectAfter is the number of different jobs with a failed run, without a successful
	// run in between, from which a VM is suspect.
	suspectAfter = 3
	// suspectFor is how long a suspect VM gets only one task at a time.
	suspectFor = 4 * time.Second
	// slowFactor is the ratio of run time to expected run time from which a VM counts as
	// slow.
	slowFactor = 1.5
	// slowdownWeight is the weight of a new run time in the moving average.
	slowdownWeight = 0.3
	// slowdownDecaySeconds is the time constant, in seconds, of the exponential decay of a
	// slowdown that is not confirmed.
	slowdownDecaySeconds = 4.0
	// maxSlowdown bounds the ratio that one run contributes.
	maxSlowdown = 8.0
)

// health rates a VM by the ends of its runs. The zero value is a healthy VM.
type health struct {
	// failedJobs holds the jobs with failed runs since the last successful one.
	failedJobs   map[model.ID]bool
	suspectUntil time.Time
	// slowdown is the moving average of run time divided by expected run time, minus 1.
	slowdown float64
	// slowdownAt is when slowdown was updated last.
	slowdownAt time.Time
}

// runEnded updates the health with the end of a run. expected is its expected run time, 0
// if unknown.
func (h *health) runEnded(now time.Time, r *run, outcome msgs.Outcome, expected time.Duration) {
	switch outcome {
	case msgs.Done:
		h.failedJobs = nil
		h.suspectUntil = time.Time{}
		if !r.step.BestEffort && expected > 0 {
			ratio := min(float64(now.Sub(r.since))/float64(expected), maxSlowdown)
			h.slowdown = h.currentSlowdown(now)
			h.slowdown += (ratio - 1 - h.slowdown) * slowdownWeight
			h.slowdownAt = now
		}
	case msgs.Failed:
		if h.failedJobs == nil {
			h.failedJobs = map[model.ID]bool{}
		}
		h.failedJobs[r.ref.Job] = true
		if len(h.failedJobs) >= suspectAfter {
			h.suspectUntil = now.Add(suspectFor)
		}
	}
}

// noteSlow counts a run that is moved away, or copied, because the VM is slow.
func (h *health) noteSlow(now time.Time, r *run) {
	if !r.step.BestEffort {
		h.slowdown = h.currentSlowdown(now)
		h.slowdown += (maxSlowdown - 1 - h.slowdown) * slowdownWeight
		h.slowdownAt = now
	}
}

// currentSlowdown returns the slowdown after its decay, which lets a VM that recovered get
// work again.
func (h *health) currentSlowdown(now time.Time) float64 {
	if h.slowdownAt.IsZero() {
		return 0
	}
	return h.slowdown * math.Exp(-now.Sub(h.slowdownAt).Seconds()/slowdownDecaySeconds)
}

// suspicion returns a score by which placement avoids the VM, 0 if it is healthy.
func (h *health) suspicion(now time.Time) float64 {
	suspicion := float64(len(h.failedJobs)) / suspectAfter
	if slow := h.currentSlowdown(now); slow > slowFactor-1 {
		suspicion += slow
	}
	return suspicion
}

// probing reports whether the VM gets only one task at a time.
func (h *health) probing(now time.Time) bool { return now.Before(h.suspectUntil) }
