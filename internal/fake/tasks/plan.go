package tasks

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

// Plan describes how a run of a task behaves.
type Plan struct {
	// Size is what the run takes of the worker's capacity.
	Size place.Resources
	// Work is the run time. 0 means a long-running task, whose run ends only when it is
	// stopped or loses its lease.
	Work time.Duration
	// Fails is set if the run fails at the end of its run time.
	Fails bool
	// Crashes is set if the run crashes the worker crashDelay after its start.
	Crashes bool
	// Members is the number of members of the gang that the run belongs to, 0 if it belongs to
	// none.
	Members int
	// SaveInterval is the time between two checkpoints, 0 if the run produces none. Checkpoint
	// returns the one with a number, counted from 1 in each run.
	SaveInterval time.Duration
	Checkpoint   func(number int) string
}
