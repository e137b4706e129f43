package entry

import (
	"context"
	"errors"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/node/core"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/state/fold"
	"github.com/ebonyarch/ebonyarch/internal/state/frame"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// Durations and limits of the loops that read the log, append to it and make
// decisions.
const (
	// readWait is how long the log holds a read open when there is no new entry.
	readWait = 500 * time.Millisecond
	// readTimeout is the timeout of one read, readWait included, and of a call that
	// loads another entry's state.
	readTimeout = 3 * time.Second
	// maxReadEntries is the largest number of log entries that one read returns.
	maxReadEntries = 500
	// readRetryDelay is the delay after a failed read.
	readRetryDelay = 100 * time.Millisecond
	// appendTimeout is the timeout of one append.
	appendTimeout = 5 * time.Second
	// tickInterval is the longest time between two rounds of tickLoop.
	tickInterval = 50 * time.Millisecond
)

// readLog reads the log and applies its entries until ctx ends.
func (e *Entry) readLog(ctx context.Context) {
	e.loadFromPeer(ctx)
	for ctx.Err() == nil {
		e.mu.Lock()
		read := e.core.StartRead(time.Now())
		e.mu.Unlock()
		callCtx, cancel := context.WithTimeout(ctx, readTimeout)
		entries, _, err := e.platformLog.Read(callCtx, read.From, maxReadEntries, readWait)
		cancel()
		switch {
		case errors.Is(err, port.ErrDeleted):
			e.recover(ctx)
		case err != nil:
			e.log.Debug("cannot read the log", "err", err)
			sleep(ctx, readRetryDelay)
		default:
			e.applyEntries(read, entries)
		}
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// applyEntries applies the entries that a read of the log returned. Fewer than
// maxReadEntries mean that the end of the log was reached.
func (e *Entry) applyEntries(read core.LogRead, entries []port.Entry) {
	e.mu.Lock()
	e.core.Read(time.Now(), read, entries, len(entries) < maxReadEntries)
	e.deliverResults()
	e.mu.Unlock()
	wake(e.wakeAppend)
	wake(e.wakeTick)
}

// deliverResults passes the results of records and barriers to the calls of commit and
// readBarrier that wait for them. The caller holds mu.
func (e *Entry) deliverResults() {
	for _, result := range e.core.CommitResults() {
		if ch := e.pendingCommits[result.ID]; ch != nil {
			ch <- result
			delete(e.pendingCommits, result.ID)
		}
	}
	for _, result := range e.core.BarrierResults() {
		if ch := e.pendingBarriers[result.ID]; ch != nil {
			ch <- result.Err
			delete(e.pendingBarriers, result.ID)
		}
	}
}

// loadFromPeer loads the state of another entry that is ahead and reports whether there
// was one. That is faster than reading the log, and works while the log does not respond.
func (e *Entry) loadFromPeer(ctx context.Context) bool {
	for _, addr := range e.cfg.Entries {
		if addr == e.PeerAddr() {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, readTimeout)
		reply, err := e.links.To(addr).Entry().Snapshot(callCtx, &schema.SnapshotRequest{})
		cancel()
		if err == nil && reply.GetReady() && e.reloadState(reply.GetState()) {
			return true
		}
	}
	return false
}

// reloadState replaces the state by one that was loaded from a peer or a snapshot, and
// reports whether that one was newer.
func (e *Entry) reloadState(state *schema.State) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	newer := e.core.Reload(time.Now(), state)
	e.deliverResults()
	e.log.Info("loaded state", "newer", newer, "loaded", state.GetOffset(), "offset", e.core.Fold().Next())
	return newer
}

// recover replaces the state after the log has deleted entries that this process had
// not read. It loads the state of another entry, or else the latest snapshot that the
// log still retains.
func (e *Entry) recover(ctx context.Context) {
	if e.loadFromPeer(ctx) {
		return
	}
	state, err := e.scanForSnapshot(ctx)
	if err != nil || state == nil || !e.reloadState(state) {
		e.log.Error("cannot load a newer snapshot from the log", "err", err)
		sleep(ctx, time.Second)
	}
}

// scanForSnapshot reads all that the log retains and returns the latest complete
// snapshot, nil if there is none.
func (e *Entry) scanForSnapshot(ctx context.Context) (*schema.State, error) {
	var loader fold.SnapshotLoader
	// The log no longer has its first entry, so this read fails with ErrDeleted and
	// returns the oldest offset that the log retains.
	_, from, err := e.platformLog.Read(ctx, 1, maxReadEntries, 0)
	if err != nil && !errors.Is(err, port.ErrDeleted) {
		return nil, err
	}
	for {
		entries, next, err := e.platformLog.Read(ctx, from, maxReadEntries, 0)
		if err != nil {
			return nil, err
		}
		for _, entry := range entries {
			if batch, err := frame.Decode(entry.Data); err == nil {
				loader.Scan(batch)
			}
		}
		if len(entries) == 0 {
			return loader.State(), nil
		}
		from = next
	}
}

// appendLog appends the batches of the core's writer to the log until ctx ends.
func (e *Entry) appendLog(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for ctx.Err() == nil {
		e.mu.Lock()
		data, ok := e.core.Writer().Next(time.Now())
		wakeAt := e.core.Writer().NextAt()
		e.mu.Unlock()
		if ok {
			e.appendOnce(ctx, data)
			continue
		}
		if wakeAt.IsZero() {
			wakeAt = time.Now().Add(time.Hour)
		}
		timer.Reset(time.Until(wakeAt))
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-e.wakeAppend:
		}
	}
}

// appendOnce appends one batch and reports the outcome to the writer.
func (e *Entry) appendOnce(ctx context.Context, data []byte) {
	callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	offset, err := e.platformLog.Append(callCtx, data)
	switch {
	case errors.Is(err, port.ErrLogRejected):
		e.log.Error("the log does not accept a batch for what it holds", "bytes", len(data), "err", err)
	case err != nil:
		e.log.Debug("cannot append to the log", "err", err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.core.Writer().Appended(time.Now(), offset, err)
}

// tickLoop makes the decisions that are due, until ctx ends: after each read of the
// log, and at least every tickInterval.
func (e *Entry) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-e.wakeTick:
		}
		e.mu.Lock()
		e.core.Tick(time.Now())
		e.deliverResults()
		e.notifyMemberChange()
		pokes := e.core.Pokes(time.Now())
		freshUntil := e.core.FreshUntil(time.Now())
		e.mu.Unlock()
		e.updateRoutes()
		e.setFreshUntil(freshUntil)
		e.sendPokes(pokes)
		wake(e.wakeAppend)
	}
}

// notifyMemberChange wakes the calls of Members that wait for a change, if the
// table of members changed since the routes were built. The caller holds mu.
func (e *Entry) notifyMemberChange() {
	if v := e.core.Members().Version(); v != e.routedMembers {
		close(e.membersChanged)
		e.membersChanged = make(chan struct{})
	}
}
