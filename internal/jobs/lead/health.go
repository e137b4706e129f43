package lead

import (
	"math"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
)

const (
	// suspectAfter is the number of failures of different tasks, without a success
	// between, from which a VM is suspected.
	suspectAfter = 3
	// suspectFor is how long a suspected VM gets one task at a time.
	suspectFor = 4 * time.Second
	// slowFactor is how many times the expected run time counts as slow.
	slowFactor = 1.5
	// slowdownWeight is the weight of a new run time.
	slowdownWeight = 0.3
	// slowdownDecaySeconds is the time in which a belief of slowness fades to a third.
	slowdownDecaySeconds = 4.0
	// maxSlowdown bounds what one run says of a VM.
	maxSlowdown = 8.0
)

// health is what the ends of runs say of a VM. Its zero value is a sound VM.
type health struct {
	// failedJobs holds the jobs that failed since the last success.
	failedJobs   map[model.ID]bool
	suspectUntil time.Time
	// slowdown is the mean of run time by expected run time, less 1.
	slowdown float64
	// slowdownAt is when that was measured last.
	slowdownAt time.Time
}

func (h *health) runEnded(now time.Time, r *run, outcome msgs.Outcome, expected time.Duration) {
	switch outcome {
	case msgs.Done:
		h.failedJobs = nil
		h.suspectUntil = time.Time{}
		if !r.step.Filler && expected > 0 {
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

// noteSlow notes a run that is moved away because the VM is slow.
func (h *health) noteSlow(now time.Time, r *run) {
	if !r.step.Filler {
		h.slowdown = h.currentSlowdown(now)
		h.slowdown += (maxSlowdown - 1 - h.slowdown) * slowdownWeight
		h.slowdownAt = now
	}
}

// currentSlowdown returns how slow the VM is believed to be; the belief fades, so that a VM
// that recovered is tried again.
func (h *health) currentSlowdown(now time.Time) float64 {
	if h.slowdownAt.IsZero() {
		return 0
	}
	return h.slowdown * math.Exp(-now.Sub(h.slowdownAt).Seconds()/slowdownDecaySeconds)
}

// suspicion weighs the VM against sound ones.
func (h *health) suspicion(now time.Time) float64 {
	suspicion := float64(len(h.failedJobs)) / suspectAfter
	if slow := h.currentSlowdown(now); slow > slowFactor-1 {
		suspicion += slow
	}
	return suspicion
}

// probing reports whether the VM gets one task at a time.
func (h *health) probing(now time.Time) bool { return now.Before(h.suspectUntil) }
