package model

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

// Step is a set of like tasks of a job.
type Step struct {
	_ struct{} `cbor:",toarray"`
	// Tasks is at least 1.
	Tasks int
	Size  place.Resources
	// Estimate is the caller's guess of one task's run time; it may be far off.
	Estimate time.Duration
	// After holds the indexes of earlier steps whose tasks must all be done.
	After []int
	// Checkpoints is set if tasks save their progress.
	Checkpoints bool
	// Gang tasks run only all together.
	Gang bool
	// Local tasks run slower if they are spread over racks.
	Local bool
	// Requires is a label that the VM must have, or empty.
	Requires string
	// Rack is where the step's data lies, or empty.
	Rack string
	// MaxPerVM bounds the step's tasks on one VM; 0 is no bound.
	MaxPerVM int
	// Speculative tasks may run in several copies; the first to finish counts.
	Speculative bool
	// Lasting tasks run until the job is cancelled.
	Lasting bool
	// Image names what the tasks run; tasks of one image behave alike.
	Image string
	// Target bounds the tail latency of lasting tasks; 0 is no bound.
	Target time.Duration
	// Filler tasks get only the processors that the VM's other tasks leave.
	Filler bool
	// MayMiss bounds how many lasting tasks the system may take away at a time.
	MayMiss int
}

// ResourceRequest returns what one task takes of a VM's capacity.
func (s *Step) ResourceRequest() place.Resources {
	room := s.Size
	if s.Filler {
		room.CPU = 0
	}
	return room
}
