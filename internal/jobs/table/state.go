package table

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codec"
)

// State is a job's state.
type State uint8

// The states. The last three are final.
const (
	// Queued is the state until it is certain that a run has started. Runs may have been assigned.
	Queued State = iota
	Running
	Completed
	Failed
	Cancelled
)

func (s State) String() string {
	names := [...]string{"queued", "running", "completed", "failed", "cancelled"}
	if int(s) >= len(names) {
		return "unknown"
	}
	return names[s]
}

// MarshalText returns the state's name. Log handlers use it.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Ended reports whether the state is final.
func (s State) Ended() bool { return s >= Completed }

// Progress is the part of a job's description that changes. It is stored as a record of
// its own.
type Progress struct {
	_     struct{} `cbor:",toarray"`
	State State
	// Reason explains the states Failed and Cancelled.
	Reason string
	// Tasks holds the tasks of all steps of occurrence 0, then of occurrence 1,
	// and so on.
	Tasks []Task
	// Ended is when the job ended, by the leader's clock.
	Ended time.Time
}

// Task is one task's progress.
type Task struct {
	_    struct{} `cbor:",toarray"`
	Done bool
	// LastRun is the highest run number assigned so far.
	LastRun uint32
	// Runs holds the runs that may be present at a worker.
	Runs     []Run
	Failures uint16
	// Checkpoint is the latest one that is known, empty if there is none.
	Checkpoint string
	// GivenUp holds the numbers of the latest runs that were given up as lost and whose
	// failure would still have to be counted.
	GivenUp []uint32
}

// taskWithoutGivenUp is the encoding of a Task in earlier versions.
type taskWithoutGivenUp struct {
	_          struct{} `cbor:",toarray"`
	Done       bool
	LastRun    uint32
	Runs       []Run
	Failures   uint16
	Checkpoint string
}

// MarshalCBOR implements cbor.Marshaler. Earlier versions can decode the record of a task of
// which no run was given up, so that their processes may lead while others are updated.
func (t Task) MarshalCBOR() ([]byte, error) {
	if len(t.GivenUp) == 0 {
		return codec.Marshal(&taskWithoutGivenUp{
			Done: t.Done, LastRun: t.LastRun, Runs: t.Runs, Failures: t.Failures, Checkpoint: t.Checkpoint,
		})
	}
	type task Task
	return codec.Marshal((*task)(&t))
}

// UnmarshalCBOR implements cbor.Unmarshaler. It also decodes records of earlier versions.
func (t *Task) UnmarshalCBOR(data []byte) error {
	type task Task
	return codec.UnmarshalArray(data, (*task)(t))
}

// Run is one start of a task.
type Run struct {
	_      struct{} `cbor:",toarray"`
	Number uint32
	// VM and Incarnation identify the worker's incarnation that the run is assigned
	// to.
	VM          string
	Incarnation int64
	// Node is the name of the VM's agent.
	Node string
}
