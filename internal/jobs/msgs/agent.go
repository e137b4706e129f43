package msgs

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

// VM is what an agent knows of its worker.
type VM struct {
	_ struct{} `cbor:",toarray"`
	// ID is the worker's name and Life the time of its start, which tells two
	// lives under one name apart.
	ID       string
	Life     int64
	Service  string
	Zone     string
	Labels   []string
	Capacity place.Resources
	// Draining VMs get no new work. Remaining is the least time left to them.
	Draining  bool
	Remaining time.Duration
	// Node is the agent's name. One worker at a time runs beside an agent.
	Node string
	// Down is set once this life is over and everything in it has ended.
	Down bool
}

// RunStatus is a run that is present at a worker.
type RunStatus struct {
	_    struct{} `cbor:",toarray"`
	Task string
	Run  uint32
	// Checkpoint is the latest saved progress.
	Checkpoint string
	// Percent is how much of its work the run has done; of a lasting run, 100 once it
	// is at work.
	Percent int
	// Measure is the tail latency in milliseconds of tasks that serve, and the
	// processors in use, in thousandths, of all others.
	Measure int
}

// LeaseRequest asks the leader for a lease.
type LeaseRequest struct {
	_   struct{} `cbor:",toarray"`
	Seq uint64
	// Synced is set in the first beat after the worker was asked what it runs
	// under the leader's epoch.
	Synced bool
	// RunsListed is set if Rows holds all runs of the VM.
	RunsListed bool
	VM         VM
	Runs       []RunStatus
}

// Lease answers a beat: the VM's runs may go on for For after the beat was sent.
type Lease struct {
	_        struct{} `cbor:",toarray"`
	Seq      uint64
	ValidFor time.Duration
	// Resync asks the agent to say anew what runs: the leader does not know the VM.
	Resync bool
}

// Outcome is how a run ended.
type Outcome uint8

// The outcomes. Lost runs have not ended by a worker's word: the life is over or
// the order was refused and never runs.
const (
	Done Outcome = iota + 1
	Failed
	Stopped
	LeaseExpired
	Broken
	Alone
	Lost
)

func (o Outcome) String() string {
	names := [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone", "lost"}
	if int(o) >= len(names) {
		return names[0]
	}
	return names[o]
}

// MarshalText writes the outcome's name, for logs.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// RunEnd is the end of a run. Number is the worker's count of ends, 0 for Lost.
type RunEnd struct {
	_          struct{} `cbor:",toarray"`
	Number     int64
	Task       string
	Run        uint32
	Outcome    Outcome
	Checkpoint string
	// Reason explains a lost run.
	Reason string
}

// Report tells the leader of ends that it has not acknowledged.
type Report struct {
	_    struct{} `cbor:",toarray"`
	VM   string
	Life int64
	Ends []RunEnd
}

// EndsStored tells the agent that ends up to Number are in the store.
type EndsStored struct {
	_      struct{} `cbor:",toarray"`
	VM     string
	Life   int64
	Number int64
}

// Start orders one run. The intent to run it is already in the store.
type Start struct {
	_          struct{} `cbor:",toarray"`
	Task       string
	Run        uint32
	Payload    string
	Checkpoint string
	Ticket     string
	// Percent is the pace at which the run begins.
	Percent int
}

// Stop orders the end of one run, also of one that has not started.
type Stop struct {
	_    struct{} `cbor:",toarray"`
	Task string
	Run  uint32
}

// Throttle lets a run go on at a share of its speed.
type Throttle struct {
	_       struct{} `cbor:",toarray"`
	Task    string
	Run     uint32
	Percent int
}

// Orders is what the leader wants of a VM.
type Orders struct {
	_         struct{} `cbor:",toarray"`
	Epoch     uint64
	VM        string
	Life      int64
	Starts    []Start
	Stops     []Stop
	Throttles []Throttle
}
