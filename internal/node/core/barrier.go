package core

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/state/fold"
)

// barrierRetryAfter is the retry delay suggested to callers if the log could not be
// read for a barrier.
const barrierRetryAfter = time.Second

// BarrierResult is the result of a read barrier.
type BarrierResult struct {
	// ID is the barrier's id, as Barrier returned it.
	ID uint64
	// Err is nil if the state includes all that was in the log when Barrier was called.
	Err error
}

// barriers holds the read barriers without a result. A read of the log that began
// after a barrier was queued, and that reached the end of the log, passes the barrier
// together with all earlier ones.
type barriers struct {
	// last is the id of the barrier queued last, settled that of the last one with a
	// result. Barriers get their results in the order of their ids.
	last, settled uint64
	results       []BarrierResult
}

// settle sets the result of all barriers up to the given id.
func (b *barriers) settle(upTo uint64, err error) {
	for b.settled < upTo {
		b.settled++
		b.results = append(b.results, BarrierResult{b.settled, err})
	}
}

// Barrier queues a read barrier and returns its id. A later call of BarrierResults
// returns its result. Before the log was read to its end for the first time, Barrier
// refuses.
func (c *Core) Barrier() (uint64, error) {
	if !c.ready {
		return 0, NotReadyError()
	}
	c.barriers.last++
	return c.barriers.last, nil
}

// NotReadyError returns the error for a caller to whom the entry cannot say what the
// log holds.
func NotReadyError() error {
	return codes.WithRetryAfter(codes.New(codes.NotReady, "the entry has not caught up with the log"), barrierRetryAfter)
}

// BarriersPending reports whether a barrier has no result yet.
func (c *Core) BarriersPending() bool { return c.barriers.settled < c.barriers.last }

// BarrierResults returns the results of barriers, as far as they became known since
// the last call.
func (c *Core) BarrierResults() []BarrierResult {
	results := c.barriers.results
	c.barriers.results = nil
	return results
}

// LogRead is a read of the log, which Core.StartRead begins.
type LogRead struct {
	// From is the offset to read from.
	From uint64
	// barrier is the id of the latest barrier that was queued before the read.
	barrier   uint64
	startedAt time.Time
}

// StartRead begins a read of the log. The caller passes it to Read or ReadFailed.
func (c *Core) StartRead(now time.Time) LogRead {
	return LogRead{From: c.fold.Next(), barrier: c.barriers.last, startedAt: now}
}

// LogAge returns how old the state may be: the time since the start of the latest read
// that reached the end of the log. It is 0 if there was none.
func (c *Core) LogAge(now time.Time) time.Duration {
	if c.readStartedAt.IsZero() {
		return 0
	}
	return now.Sub(c.readStartedAt)
}

// ReadFailed fails the barriers that the read would have passed.
func (c *Core) ReadFailed(r LogRead) { c.barriers.settle(r.barrier, NotReadyError()) }

// Keeps reports whether the log certainly still has a job of the state, whatever was
// appended since: an ended job and its key are forgotten after fold.JobRetention, of which
// half is left for differences between clocks.
func (c *Core) Keeps(now time.Time, j *fold.Job) bool {
	const limit = fold.JobRetention / 2
	return c.ready && c.LogAge(now) < limit && (j.Ended.IsZero() || now.Sub(j.Ended) < limit)
}
