package exec

import (
	"errors"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

const (
	// PollRetryDelay is the delay before the next poll after one has failed.
	PollRetryDelay = 60 * time.Millisecond
	// fenceRetryDelay is that delay while no process listens at the worker's address and the next
	// one might carry out an earlier order until a poll reaches it. Such polls take 5% of a
	// processor, so after quickPolls they are rarer.
	fenceRetryDelay     = 10 * time.Millisecond
	slowFenceRetryDelay = 30 * time.Millisecond
	quickPolls          = 300
)

// PollPause decides how long to wait before the next poll of the worker. The zero value is
// ready for use.
type PollPause struct {
	// newConnectionAt is when a poll last failed for want of its connection and the next one
	// followed at once.
	newConnectionAt time.Time
	// refused is the number of consecutive polls with the result that no process listens.
	refused int
}

// After returns the wait after a poll with the given result. ordersLate is set if the worker may
// still carry out an order late, as Agent.OrdersLate returns it. A poll without its connection
// is repeated at once over a new one, except if that was done just before: the connections
// of a worker that is about to exit may end as soon as they are opened.
func (p *PollPause) After(now time.Time, err error, ordersLate bool) time.Duration {
	noWorker := errors.Is(err, port.ErrNoWorker)
	if p.refused++; !noWorker {
		p.refused = 0
	}
	switch {
	case errors.Is(err, port.ErrNewConnection) && now.Sub(p.newConnectionAt) > PollRetryDelay:
		p.newConnectionAt = now
		return 0
	case ordersLate && noWorker && p.refused <= quickPolls:
		return fenceRetryDelay
	case ordersLate && noWorker:
		return slowFenceRetryDelay
	case err != nil:
		return PollRetryDelay
	}
	return 0
}

// OrdersLate reports whether a process of the worker that starts now may carry out a start that
// was sent before: one got no response within maxOrderDelay, perhaps one of the agent's earlier
// process, or is under way.
func (a *Agent) OrdersLate(now time.Time) bool { return now.Before(a.lateUntil) }

// noteLate records that the worker may carry out a start late, for d from now.
func (a *Agent) noteLate(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(a.lateUntil) {
		a.lateUntil = until
	}
}
