package entry

import (
	"context"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/node/core"
)

// barrierTimeout limits how long a call waits for the log to be read.
const barrierTimeout = 2 * time.Second

// readBarrier waits until the state includes all that was in the log when it was
// called, so that an answer from the state is linearizable. It returns an error that
// asks the caller to try again if the log cannot be read in time.
func (e *Entry) readBarrier(ctx context.Context) error {
	resultCh := make(chan error, 1)
	e.mu.Lock()
	id, err := e.core.Barrier()
	if err == nil {
		e.pendingBarriers[id] = resultCh
	}
	e.mu.Unlock()
	if err != nil {
		return err
	}
	wake(e.wakeBarrier)
	ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	select {
	case err := <-resultCh:
		return err
	case <-ctx.Done():
	case <-e.ctx.Done():
	}
	e.mu.Lock()
	delete(e.pendingBarriers, id)
	e.mu.Unlock()
	return core.NotReadyError()
}

// readForBarriers reads the log while barriers wait, until ctx ends. Barriers that are
// queued during a read share the next one.
func (e *Entry) readForBarriers(ctx context.Context) {
	failing := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.wakeBarrier:
		}
		for ctx.Err() == nil && e.barriersPending() {
			err := e.readOnce(ctx)
			if failed := err != nil; failed != failing {
				failing = failed
				e.log.Info("reads of the log for callers changed", "fail", failing, "err", err)
			}
		}
	}
}

func (e *Entry) barriersPending() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.BarriersPending()
}

// readOnce reads what the log holds, without waiting for new entries. If that fails,
// it fails the barriers that the read would have passed.
func (e *Entry) readOnce(ctx context.Context) error {
	e.mu.Lock()
	read := e.core.StartRead(time.Now())
	e.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	entries, _, err := e.platformLog.Read(ctx, read.From, maxReadEntries, 0)
	if err == nil {
		e.applyEntries(read, entries)
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.core.ReadFailed(read)
	e.deliverResults()
	return err
}
