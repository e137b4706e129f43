package table

import "time"

// State is a job's state.
type State uint8

// The states.
const (
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

// MarshalText writes the state's name, for logs.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Ended reports whether the state is final.
func (s State) Ended() bool { return s >= Completed }

// Progress is the part of a job that changes.
type Progress struct {
	_      struct{} `cbor:",toarray"`
	State  State
	Reason string
	// Tasks holds the tasks of all steps of occurrence 0, then of occurrence 1,
	// and so on.
	Tasks []Task
	// Ended is when the job ended by the leader's clock.
	Ended time.Time
}

// Task is one task's progress.
type Task struct {
	_    struct{} `cbor:",toarray"`
	Done bool
	// LastRun is the highest number given to a run; the next is higher.
	LastRun uint32
	// Runs are those that may be present at a worker.
	Runs     []Run
	Failures uint16
	// Checkpoint is the latest saved progress that is known.
	Checkpoint string
}

// Run is one start of a task.
type Run struct {
	_      struct{} `cbor:",toarray"`
	Number uint32
	// VM and Life name the worker that has the order.
	VM   string
	Life int64
	// Node is the agent beside the worker.
	Node string
}
