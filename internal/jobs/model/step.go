package model

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

// Step is a set of identical tasks of a job.
type Step struct {
	_ struct{} `cbor:",toarray"`
	// Tasks is the number of tasks, at least 1.
	Tasks int
	// Size is the resources that one task needs.
	Size place.Resources
	// Estimate is the caller's estimate of one task's run time. It may be far off.
	Estimate time.Duration
	// After holds the indexes of the earlier steps that must be completed first.
	After []int
	// Checkpoints is set if tasks save checkpoints from which another run resumes.
	Checkpoints bool
	// Gang is set if the step's tasks must all run at the same time.
	Gang bool
	// LocalitySensitive is set if the tasks run slower when they are spread over
	// several racks.
	LocalitySensitive bool
	// Requires is a label that the VM must have; empty means none.
	Requires string
	// Rack is the label of the rack that holds the step's data; empty means none.
	Rack string
	// MaxPerVM is the maximum number of the step's tasks on one VM; 0 means unlimited.
	MaxPerVM int
	// Speculative is set if a task may run in several copies at the same time, of which
	// the first to complete counts.
	Speculative bool
	// LongRunning is set if the tasks run until the job is cancelled.
	LongRunning bool
	// Image is the name of the program that the tasks run. Tasks of the same image are
	// expected to behave alike.
	Image string
	// LatencyTarget is the tail latency target of long-running tasks; 0 means none.
	LatencyTarget time.Duration
	// BestEffort is set if the tasks get only the processors that the VM's other tasks
	// leave.
	BestEffort bool
	// MaxUnavailable is the maximum number of the step's long-running tasks that the
	// scheduler may make unavailable at the same time. The scheduler stops runs of such
	// steps only when their job is cancelled, which the limit allows.
	MaxUnavailable int
}

// ResourceRequest returns the resources that one task reserves on its VM. A
// best-effort task reserves no processors.
func (s *Step) ResourceRequest() place.Resources {
	request := s.Size
	if s.BestEffort {
		request.CPU = 0
	}
	return request
}
