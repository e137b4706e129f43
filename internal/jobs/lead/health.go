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
	// slowFrom is how many times the expected run time counts as slow.
	slowFrom = 1.5
	// slowRate is the weight of a new run time.
	slowRate = 0.3
	// fadeSeconds is the time in which a belief of slowness fades to a third.
	fadeSeconds = 4.0
	// maxSlow bounds what one run says of a VM.
	maxSlow = 8.0
)

// health is what the ends of runs say of a VM. Its zero value is a sound VM.
type health struct {
	// failed holds the jobs that failed since the last success.
	failed map[model.ID]bool
	until  time.Time
	// slow is the mean of run time by expected run time, less 1.
	slow float64
	// slowAt is when that was measured last.
	slowAt time.Time
}

func (h *health) ended(now time.Time, it *run, outcome msgs.Outcome, expected time.Duration) {
	switch outcome {
	case msgs.Done:
		h.failed = nil
		h.until = time.Time{}
		if !it.step.BestEffort && expected > 0 {
			ratio := min(float64(now.Sub(it.since))/float64(expected), maxSlow)
			h.slow = h.slowness(now)
			h.slow += (ratio - 1 - h.slow) * slowRate
			h.slowAt = now
		}
	case msgs.Failed:
		if h.failed == nil {
			h.failed = map[model.ID]bool{}
		}
		h.failed[it.ref.Job] = true
		if len(h.failed) >= suspectAfter {
			h.until = now.Add(suspectFor)
		}
	}
}

// slowed notes a run that is moved away because the VM is slow.
func (h *health) slowed(now time.Time, it *run) {
	if !it.step.BestEffort {
		h.slow = h.slowness(now)
		h.slow += (maxSlow - 1 - h.slow) * slowRate
		h.slowAt = now
	}
}

// slowness returns how slow the VM is believed to be; the belief fades, so that a VM
// that recovered is tried again.
func (h *health) slowness(now time.Time) float64 {
	if h.slowAt.IsZero() {
		return 0
	}
	return h.slow * math.Exp(-now.Sub(h.slowAt).Seconds()/fadeSeconds)
}

// doubt weighs the VM against sound ones.
func (h *health) doubt(now time.Time) float64 {
	doubt := float64(len(h.failed)) / suspectAfter
	if slow := h.slowness(now); slow > slowFrom-1 {
		doubt += slow
	}
	return doubt
}

// probe reports whether the VM gets one task at a time.
func (h *health) probe(now time.Time) bool { return now.Before(h.until) }
