package msgs

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codec"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

// VM describes a VM and the incarnation of the worker on it. The state dump of an agent
// shows the fields in JSON under their Go names, or under that of the tag.
type VM struct {
	_ struct{} `cbor:",toarray"`
	// ID is the worker's id.
	ID string
	// Incarnation identifies the worker's incarnation, that is one start of a worker
	// process under this id. It is the start time in Unix milliseconds by the worker's own
	// account; what agents tell leaders is higher if an earlier process had a later start time.
	Incarnation int64 `json:"Life"`
	// Service is the name of the pool that the VM belongs to.
	Service string
	// Zone is the VM's availability zone.
	Zone string
	// Labels holds the VM's kind and its rack.
	Labels   []string
	Capacity place.Resources
	// Draining is set if the VM gets no new runs because it will be taken away, after
	// Remaining at the earliest.
	Draining  bool
	Remaining time.Duration
	// Node is the name of the VM's agent. An agent has one worker at a time.
	Node string
	// Down is set once the incarnation is over and none of its runs is left.
	Down bool
}

// RunStatus is the status of a run that is present at a worker.
type RunStatus struct {
	_ struct{} `cbor:",toarray"`
	// Task is the task's name and Run the number of the run.
	Task string
	Run  uint32
	// Checkpoint is the latest saved checkpoint, empty if there is none.
	Checkpoint string
	// Percent is the share of the run's work that is done. For a long-running task it
	// is 100 once the task serves requests.
	Percent int
	// Measurement is the tail latency in milliseconds for a long-running task, and the
	// processor use in thousandths of a processor for any other.
	Measurement int
}

// LeaseDuration is how long a VM's runs may continue after its agent sent a lease request
// that the leader granted. It is longer than a restart of the agent takes, so that the runs
// survive one.
const LeaseDuration = 4 * time.Second

// LeaseRequest asks the leader for a lease and reports what runs on the VM.
type LeaseRequest struct {
	_ struct{} `cbor:",toarray"`
	// Seq matches the Lease to the request.
	Seq uint64
	// Synced is set in the first request after the worker was polled in the leader's
	// epoch. Runs then also lists the runs whose ends are still to be reported.
	Synced bool
	// RunsListed is set if Runs lists all runs of the VM.
	RunsListed bool
	// VM has no ID while the agent knows of no worker.
	VM   VM
	Runs []RunStatus
}

// Lease is the leader's response to a LeaseRequest. It permits the VM's runs to
// continue.
type Lease struct {
	_ struct{} `cbor:",toarray"`
	// Seq is that of the request.
	Seq uint64
	// ValidFor is counted from when the request was sent.
	ValidFor time.Duration
	// Resync is set if the agent must poll the worker and send a Synced request again,
	// because the leader's state of the VM is not in sync with it.
	Resync bool
}

// Outcome is how a run ended.
type Outcome uint8

// The outcomes.
const (
	Done Outcome = iota + 1
	Failed
	Stopped
	// LeaseExpired is the outcome of a run that the worker stopped because the lease
	// was not extended.
	LeaseExpired
	// Broken and Alone are outcomes that the platform defines. As after Stopped and
	// LeaseExpired, the task runs again and no failure is counted.
	Broken
	Alone
	// Lost is the only outcome that the worker did not report: the worker's incarnation
	// is over, or the start of the run has had no effect and never will.
	Lost
	// Unknown is the outcome of a run that is over by the worker's report, which does not say
	// how. As after Stopped, the task runs again and no failure is counted.
	Unknown
)

func (o Outcome) String() string {
	names := [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone", "lost"}
	if int(o) >= len(names) {
		return names[0]
	}
	return names[o]
}

// MarshalText returns the outcome's name. Log handlers use it.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// RunEnd is the end of a run, with its outcome.
type RunEnd struct {
	_ struct{} `cbor:",toarray"`
	// Number is the worker's number of the end, which increases within an incarnation.
	// It is 0 if the outcome is Lost.
	Number int64
	// Task is the task's name and Run the number of the run.
	Task       string
	Run        uint32
	Outcome    Outcome
	Checkpoint string
	// Reason explains the outcome Lost.
	Reason string
}

// Report tells the leader which runs of a worker's incarnation have ended. Ends that
// have a number are reported again until EndsStored confirms them.
type Report struct {
	_           struct{} `cbor:",toarray"`
	VM          string
	Incarnation int64
	Ends        []RunEnd
}

// EndsStored tells the agent that the ends up to Number are in the store, so the
// worker may forget them.
type EndsStored struct {
	_           struct{} `cbor:",toarray"`
	VM          string
	Incarnation int64
	Number      int64
}

// Start orders the agent to start a run. The leader sends it after the assignment is
// in the store.
type Start struct {
	_ struct{} `cbor:",toarray"`
	// Task is the task's name and Run the number of the run.
	Task    string
	Run     uint32
	Payload string
	// Checkpoint is the one to resume from, empty if there is none.
	Checkpoint string
	// Ticket is the advisor's permission to run on the VM, empty if the queue needs none.
	Ticket string
	// Percent is the initial speed limit in percent of full speed.
	Percent int
	// Repeated is set if this leader or an earlier one may have given the order before, perhaps
	// to an earlier process of the agent.
	Repeated bool
	// Size is what the run takes of the worker's capacity. The agent starts no run that does
	// not fit beside those that are present.
	Size place.Resources
}

// UnmarshalCBOR implements cbor.Unmarshaler. It also decodes orders of earlier versions.
func (s *Start) UnmarshalCBOR(data []byte) error {
	type start Start
	return codec.UnmarshalArray(data, (*start)(s))
}

// Stop orders the agent to stop a run. A run that has not started never will.
type Stop struct {
	_    struct{} `cbor:",toarray"`
	Task string
	Run  uint32
	// Size is what the run takes of the worker's capacity until it has ended, zero if the leader
	// does not know the run's job. The agent may have learned of the run from the worker alone.
	Size place.Resources
}

// UnmarshalCBOR implements cbor.Unmarshaler. It also decodes orders of earlier versions.
func (s *Stop) UnmarshalCBOR(data []byte) error {
	type stop Stop
	return codec.UnmarshalArray(data, (*stop)(s))
}

// Throttle orders the agent to set the speed limit of a run.
type Throttle struct {
	_    struct{} `cbor:",toarray"`
	Task string
	Run  uint32
	// Percent is the speed limit in percent of full speed; 0 pauses the run.
	Percent int
}

// Orders is a set of orders to an agent.
type Orders struct {
	_ struct{} `cbor:",toarray"`
	// Epoch is that of the leader, VM and Incarnation identify the worker's incarnation.
	// The agent ignores orders of another leader or for another incarnation.
	Epoch       uint64
	VM          string
	Incarnation int64
	Starts      []Start
	Stops       []Stop
	Throttles   []Throttle
	// Follows is the sequence number of the latest Synced lease request that the leader knew
	// when it released Starts, 0 if it does not say. The agent ignores Starts that do not
	// follow its latest one: what they are based on may no longer hold.
	Follows uint64
}

// UnmarshalCBOR implements cbor.Unmarshaler. It also decodes orders of earlier versions.
func (o *Orders) UnmarshalCBOR(data []byte) error {
	type orders Orders
	return codec.UnmarshalArray(data, (*orders)(o))
}
