package leader

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

const (
	// failingJobs is the number of different jobs that must fail on a VM, without
	// one that completes, for the VM to be put on probation.
	failingJobs = 3
	// probationFor is how long a VM then gets one task at a time.
	probationFor = time.Minute
)

// failures finds VMs on which everything fails. Its zero value is ready for use.
type failures struct {
	jobs      map[string]map[string]bool
	probation map[string]time.Time
}

func (f *failures) note(now time.Time, r *schema.Result) {
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
		if len(f.jobs[vm]) >= failingJobs {
			f.probation[vm] = now.Add(probationFor)
		}
	}
}

func (f *failures) onProbation(now time.Time, vm string) bool {
	return now.Before(f.probation[vm])
}
