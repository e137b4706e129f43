package port

import (
	"context"
	"errors"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
)

// Errors of Executor. An error that wraps none of them leaves open whether the
// call was, or will be, carried out.
var (
	// ErrRunFenced says that an order of a higher fence came before.
	ErrRunFenced = errors.New("an order with a higher fence came before")
	// ErrRunOver says that this run, or a later one, was stopped or has ended.
	ErrRunOver = errors.New("the run is over")
	// ErrRunLate says that the order came after its deadline.
	ErrRunLate = errors.New("the order came after its deadline")
	// ErrRunCapacity says that the worker has no room.
	ErrRunCapacity = errors.New("the worker has no room")
	// ErrRunTicket says that the ticket is not valid.
	ErrRunTicket = errors.New("the ticket is not valid")
	// ErrRunInvalid says that the worker cannot read the order.
	ErrRunInvalid = errors.New("the worker cannot read the order")
	// ErrWorkerUnhealthy says that the worker is unhealthy and did nothing.
	ErrWorkerUnhealthy = errors.New("the worker is unhealthy and did nothing")
	// ErrWorkerReplaced says that another worker answers at the address.
	ErrWorkerReplaced = errors.New("another worker answers")
	// ErrNoWorker says that no process listens at the worker's address.
	ErrNoWorker = errors.New("no worker listens")
)

// Order names the run and the worker that an order is for.
type Order struct {
	// Worker is the id of the worker meant; another one does nothing.
	Worker string
	Task   string
	Run    uint32
	// FencingToken is the epoch of the leader that gave the order.
	FencingToken uint64
}

// StartOrder starts a run.
type StartOrder struct {
	Order
	Payload    string
	Checkpoint string
	Ticket     string
	// Deadline is when the lease ends, on the worker's clock.
	Deadline time.Duration
}

// Poll asks a worker what runs and what has ended.
type Poll struct {
	Worker       string
	FencingToken uint64
	// Seen is the highest number of an end that may be forgotten.
	Seen int64
	// Deadline is when the lease ends, on the worker's clock; 0 leaves it.
	Deadline time.Duration
	// Wait is how long the worker waits for an end before it answers.
	Wait time.Duration
}

// PollResult answers a Look.
type PollResult struct {
	// Life is the worker's start in Unix milliseconds, 0 if it does not say.
	Life int64
	// Clock is the worker's steady clock.
	Clock   time.Duration
	Running []msgs.RunStatus
	// Ended holds ends after Look.Seen, in order.
	Ended []msgs.RunEnd
}

// Executor is the worker on an agent's VM.
type Executor interface {
	// Start starts a run; it is done once however often it is called.
	Start(ctx context.Context, o StartOrder) error
	// Stop ends a run, also one that has not started and then never will.
	Stop(ctx context.Context, o Order) error
	// Poll returns what is present, and sets the lease.
	Poll(ctx context.Context, l Poll) (PollResult, error)
	// Throttle lets a run work at a share of its speed, in percent.
	Throttle(ctx context.Context, o Order, percent int) error
}

// Heartbeat is a worker's announcement to the agent on its VM.
type Heartbeat struct {
	VM msgs.VM
	// Seq increases within a life.
	Seq int64
	// Clock is the worker's steady clock when it sent the heartbeat.
	Clock time.Duration
}

// Registry is told of the workers' announcements.
type Registry interface {
	Heartbeat(h Heartbeat)
	// Leave says that a worker ends.
	Leave(id string, life int64)
}

// Jobs answers callers.
type Jobs interface {
	// Ready reports whether new callers should come here.
	Ready() bool
	// JobRequest answers a request to a queue.
	JobRequest(ctx context.Context, a msgs.JobRequest) msgs.JobResponse
}
