package leader

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

const (
	// probationThreshold is the number of different jobs with a failed task, and no
	// completed task in between, after which a VM is put on probation.
	probationThreshold = 3
	// probationTime is how long a VM on probation gets only one task at a time.
	probationTime = time.Minute
)

// failures detects VMs on which all tasks fail. Its zero value is ready to use.
type failures struct {
	// jobs holds the jobs that failed on each VM since it last completed a task.
	jobs map[string]map[string]bool
	// probation holds when the probation of each VM ends.
	probation map[string]time.Time
}

// observe counts a result that is written to the log.
func (f *failures) observe(now time.Time, r *schema.Result) {
	if f.jobs == nil {
		f.jobs = map[string]map[string]bool{}
		f.probation = map[string]time.Time{}
	}
	vm := r.GetVm()
	switch r.GetOutcome() {
	case schema.Outcome_OUTCOME_COMPLETED:
		delete(f.jobs, vm)
		delete(f.probation, vm)
	case schema.Outcome_OUTCOME_FAILED:
		if f.jobs[vm] == nil {
			f.jobs[vm] = map[string]bool{}
		}
		f.jobs[vm][r.GetTask().GetJob()] = true
		if len(f.jobs[vm]) >= probationThreshold {
			f.probation[vm] = now.Add(probationTime)
		}
	}
}

// onProbation reports whether a VM gets only one task at a time.
func (f *failures) onProbation(now time.Time, vm string) bool {
	return now.Before(f.probation[vm])
}
