package entry

import (
	"context"
	"errors"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/state/fold"
	"github.com/ebonyarch/ebonyarch/internal/state/frame"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// Times and bounds of the loops that read and append.
const (
	readWait      = 500 * time.Millisecond
	readTimeout   = 3 * time.Second
	readMost      = 500
	readRetry     = 100 * time.Millisecond
	appendTimeout = 5 * time.Second
	tickEvery     = 50 * time.Millisecond
)

// readLog follows the log until ctx ends.
func (e *Entry) readLog(ctx context.Context) {
	e.loadFromPeer(ctx)
	for ctx.Err() == nil {
		e.mu.Lock()
		from := e.core.Fold().Next()
		e.mu.Unlock()
		callCtx, cancel := context.WithTimeout(ctx, readTimeout)
		entries, _, err := e.platform.Read(callCtx, from, readMost, readWait)
		cancel()
		switch {
		case errors.Is(err, port.ErrDeleted):
			e.recover(ctx)
		case err != nil:
			e.log.Debug("cannot read the log", "err", err)
			sleep(ctx, readRetry)
		default:
			e.apply(entries)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (e *Entry) apply(entries []port.Entry) {
	e.mu.Lock()
	e.core.Read(time.Now(), entries, len(entries) < readMost)
	e.deliver()
	e.mu.Unlock()
	wake(e.appends)
	wake(e.ticks)
}

// deliver passes the fates of records to those who wait. The caller holds mu.
func (e *Entry) deliver() {
	for _, fate := range e.core.CommitResults() {
		if w := e.waiters[fate.ID]; w != nil {
			w <- fate
			delete(e.waiters, fate.ID)
		}
	}
}

// loadFromPeer starts from another entry's state, which is quicker than the log
// and works without it.
func (e *Entry) loadFromPeer(ctx context.Context) bool {
	for _, addr := range e.cfg.Entries {
		if addr == e.PeerAddr() {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, readTimeout)
		reply, err := e.links.To(addr).Entry().Snapshot(callCtx, &schema.SnapshotRequest{})
		cancel()
		if err != nil || !reply.GetReady() {
			continue
		}
		e.reload(reply.GetState())
		return true
	}
	return false
}

func (e *Entry) reload(state *schema.State) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.core.Reload(time.Now(), state)
	e.deliver()
	e.log.Info("loaded state", "offset", e.core.Fold().Next())
}

// recover loads the state after the log deleted records that were not read: from
// a peer that read them, else from a snapshot in what the log retains.
func (e *Entry) recover(ctx context.Context) {
	if e.loadFromPeer(ctx) {
		return
	}
	state, err := e.scan(ctx)
	if err != nil || state == nil {
		e.log.Error("the log retains no complete snapshot", "err", err)
		sleep(ctx, time.Second)
		return
	}
	e.reload(state)
}

// scan looks through all that the log retains for the latest snapshot.
func (e *Entry) scan(ctx context.Context) (*schema.State, error) {
	var loader fold.SnapshotLoader
	_, from, err := e.platform.Read(ctx, 1, readMost, 0)
	if err != nil && !errors.Is(err, port.ErrDeleted) {
		return nil, err
	}
	for {
		entries, next, err := e.platform.Read(ctx, from, readMost, 0)
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

// appendLog appends what the core wants to write until ctx ends.
func (e *Entry) appendLog(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for ctx.Err() == nil {
		e.mu.Lock()
		data, ok := e.core.Writer().Next(time.Now())
		at := e.core.Writer().NextAt()
		e.mu.Unlock()
		if ok {
			e.appendOnce(ctx, data)
			continue
		}
		if at.IsZero() {
			at = time.Now().Add(time.Hour)
		}
		timer.Reset(time.Until(at))
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-e.appends:
		}
	}
}

func (e *Entry) appendOnce(ctx context.Context, data []byte) {
	callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	offset, err := e.platform.Append(callCtx, data)
	if err != nil {
		e.log.Debug("append failed", "err", err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.core.Writer().Appended(time.Now(), offset, err)
}

// tick makes the decisions that are due until ctx ends.
func (e *Entry) tick(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-e.ticks:
		}
		e.mu.Lock()
		e.core.Tick(time.Now())
		e.deliver()
		e.notice()
		pokes := e.core.Pokes(time.Now())
		fresh := e.core.FreshUntil(time.Now())
		e.mu.Unlock()
		e.reroute()
		e.setFresh(fresh)
		e.poke(pokes)
		wake(e.appends)
	}
}

// notice wakes those who wait for changes of members. The caller holds mu.
func (e *Entry) notice() {
	if v := e.core.Members().Version(); v != e.routedMembers {
		close(e.changed)
		e.changed = make(chan struct{})
	}
}
