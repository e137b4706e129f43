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
// the leader. Entries with lower addresses go first, unless the leader asked this one alone.
func (e *Entry) takeoverRank(p *msgs.Ping) int {
	if p.Yield {
		return 0
	}
	rank := 0
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

// testStore reports whether this entry reaches the store, and records a failure.
func (e *Entry) testStore() bool {
	reached := e.reachesStore()
	if !reached {
		e.postAndWait(func() { e.storeFailedAt = time.Now() })
	}
	return reached
}

// reachesStore reports whether the store answers this entry within
// elect.StoreTestTimeout.
func (e *Entry) reachesStore() bool {
	ctx, cancel := context.WithTimeout(e.ctx, elect.StoreTestTimeout)
	defer cancel()
	_, _, err := e.store.Read(ctx, entriesTopic, 0, 0)
	return err == nil || errors.Is(err, port.ErrStoreTrimmed)
}
