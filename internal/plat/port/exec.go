package port

import (
	"context"
	"errors"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
)

// Errors of Executor. After an error that wraps none of them, it is unknown whether
// the call was carried out, and it may still be carried out later. Agents send the
// texts to the leader as the reasons of lost runs, and the leader compares them.
var (
	// ErrRunFenced means that the worker has accepted an order with a higher fencing
	// token.
	ErrRunFenced = errors.New("an order with a higher fence came before")
	// ErrRunOver means that this run, or a later run of the task, was stopped or has
	// ended.
	ErrRunOver = errors.New("the run is over")
	// ErrRunLate means that the order arrived after its deadline.
	ErrRunLate = errors.New("the order came after its deadline")
	// ErrRunCapacity means that the worker has no free capacity for the run.
	ErrRunCapacity = errors.New("the worker has no room")
	// ErrRunTicket means that the ticket is not valid.
	ErrRunTicket = errors.New("the ticket is not valid")
	// ErrRunInvalid means that the worker cannot decode the order.
	ErrRunInvalid = errors.New("the worker cannot read the order")
	// ErrWorkerUnhealthy means that the worker is unhealthy and did nothing.
	ErrWorkerUnhealthy = errors.New("the worker is unhealthy and did nothing")
	// ErrWorkerReplaced means that another worker listens at the address, or another
	// incarnation of the worker than the order is for.
	ErrWorkerReplaced = errors.New("another worker answers")
	// ErrNoWorker means that no process listens at the worker's address.
	ErrNoWorker = errors.New("no worker listens")
	// ErrNewConnection means that a poll was not sent because it was meant for an
	// incarnation of the worker that may have ended together with its connection.
	ErrNewConnection = errors.New("the connection to the worker is new")
	// ErrNotSent means that an order was certainly not sent, though a later one may be.
	ErrNotSent = errors.New("the order was not sent")
	// ErrOddEnds means that all present runs in the result of a poll could be decoded, but not
	// all run ends.
	ErrOddEnds = errors.New("run ends could not be decoded")
)

// Order identifies the run and the worker that an order is for.
type Order struct {
	// Worker is the id of the worker that must carry out the order. A worker with
	// another id refuses it.
	Worker string
	Task   string
	Run    uint32
	// FencingToken increases with the leader's epoch and the worker's incarnation. The
	// worker refuses an order with a lower token than one it has accepted.
	FencingToken uint64
	// Incarnation is the worker's incarnation that the order is for, as in PollResult. No
	// other one receives the order. 0 means any incarnation.
	Incarnation int64
}

// StartOrder is an order to start a run.
type StartOrder struct {
	Order
	Payload string
	// Checkpoint is the one to resume from, empty if there is none.
	Checkpoint string
	// Ticket is the advice service's consent to the VM, empty if the queue needs none.
	Ticket string
	// Deadline is when the lease ends, on the worker's clock.
	Deadline time.Duration
}

// Poll asks a worker which runs are present and which have ended, and extends the
// lease.
type Poll struct {
	// Worker and FencingToken are as in Order.
	Worker       string
	FencingToken uint64
	// Seen is the number up to which the worker may forget the ends of runs.
	Seen int64
	// Deadline is when the lease ends, on the worker's clock. 0 leaves the lease as it
	// is.
	Deadline time.Duration
	// Wait is how long the worker waits for a run to end before it responds.
	Wait time.Duration
	// StartedAt is when the agent made the poll. It is not sent to the worker.
	StartedAt time.Time
}

// PollResult is a worker's response to a Poll.
type PollResult struct {
	// Incarnation identifies the worker's incarnation by its start time in Unix
	// milliseconds. It is 0 if the worker does not report it.
	Incarnation int64
	// Clock is the reading of the worker's monotonic clock.
	Clock time.Duration
	// Running holds the runs that are present.
	Running []msgs.RunStatus
	// Incomplete is set if there may be more ends than those in Ended.
	Incomplete bool
	// Ended holds the ends with numbers above Poll.Seen, in the order of their numbers. A number
	// that could not be decoded is 0.
	Ended []msgs.RunEnd
}

// Executor is the worker on an agent's VM.
type Executor interface {
	// Start starts a run. Repeated calls start it only once.
	Start(ctx context.Context, o StartOrder) error
	// Stop stops a run. A run that has not started never will.
	Stop(ctx context.Context, o Order) error
	// Poll returns which runs are present and which have ended, and extends the lease. A
	// poll with Seen or Deadline is sent only over the connection of the previous poll, so
	// that a later incarnation of the worker never receives it; without that connection the
	// error wraps ErrNewConnection.
	Poll(ctx context.Context, p Poll) (PollResult, error)
	// Throttle sets the speed limit of a run, in percent of full speed; 0 pauses it.
	Throttle(ctx context.Context, o Order, percent int) error
}

// Heartbeat is a worker's periodic message to the agent on its VM.
type Heartbeat struct {
	VM msgs.VM
	// Seq increases within an incarnation.
	Seq int64
	// Clock is the reading of the worker's monotonic clock when it sent the heartbeat.
	Clock time.Duration
}

// Registry receives the messages by which workers register and deregister.
type Registry interface {
	Heartbeat(h Heartbeat)
	// Leave is called when a worker announces that it is about to exit. incarnation is
	// 0 if the worker does not report it.
	Leave(id string, incarnation int64)
}

// Jobs serves callers' requests.
type Jobs interface {
	// Ready reports whether the process accepts requests.
	Ready() bool
	// JobRequest carries out a request and returns the response.
	JobRequest(ctx context.Context, r msgs.JobRequest) msgs.JobResponse
}
