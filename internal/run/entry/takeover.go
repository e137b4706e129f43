package entry

import (
	"context"
	"errors"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/elect"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

// takeoverRank returns the number of entries that should claim before this one to replace
// the leader: the one that the leader asked, if it leaves, and those with lower addresses.
func (e *Entry) takeoverRank(p *msgs.Ping) int {
	if p.Yield {
		return 0
	}
	rank := 0
	if p.Leaving {
		rank++
	}
	for _, addr := range e.entries {
		if addr != e.leaderAddr && addr.Compare(e.cfg.Peers) < 0 {
			rank++
		}
	}
	return rank
}

// takeOver claims the leadership in the background, to replace a leader that still sends
// pings but cannot do its work or wants to stop. An entry that does not reach the store does
// not claim.
func (e *Entry) takeOver(reason string) {
	if e.takingOver {
		return
	}
	e.takingOver = true
	epoch := e.epoch
	e.wg.Go(func() {
		if e.testStore() {
			e.tryClaim(epoch, reason)
		}
		e.post(func() { e.takingOver = false })
	})
}

// testStore reports whether the store answers this entry within elect.StoreTestTimeout, and
// records the outcome.
func (e *Entry) testStore() bool {
	ctx, cancel := context.WithTimeout(e.ctx, elect.StoreTestTimeout)
	defer cancel()
	_, _, err := e.store.Read(ctx, entriesTopic, 0, 0)
	if errors.Is(err, port.ErrStoreTrimmed) {
		err = nil
	}
	e.postAndWait(func() { e.storeTested(err) })
	return err == nil
}

// storeTested records the outcome of a test of the store.
func (e *Entry) storeTested(err error) {
	now := time.Now()
	switch {
	case err == nil && e.storeFails:
		e.log.Info("reaches the store again", "sinceFailed", now.Sub(e.storeFailedAt))
	case err != nil && !e.storeFails:
		e.log.Warn("does not reach the store", "epoch", e.epoch, "leader", e.leaderAddr.String(), "err", err)
	}
	e.storeFails = err != nil
	if e.storeFails {
		e.storeFailedAt = now
	}
}
