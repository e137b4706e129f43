package entry

import (
	"net/netip"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/elect"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/run/peer"
)

// findLeader asks the other entries for a leader and claims the leadership if there is none.
func (e *Entry) findLeader() {
	select {
	case <-e.laterLeader: // reported before the survey below
	default:
	}
	var epoch uint64
	e.postAndWait(func() { epoch = e.epoch })
	if epoch == 0 {
		e.readClaim()
	}
	s := e.survey()
	e.postAndWait(func() {
		epoch = e.epoch
		if addr, foundEpoch, claimed := s.Leader(); addr.IsValid() && addr != e.cfg.Peers && (claimed || foundEpoch > epoch) {
			e.adoptEpoch(foundEpoch, addr)
			if e.leader == nil {
				e.leaderAddr = addr
			}
			epoch = 0
		}
	})
	if e.stopping.Load() {
		e.pause(searchInterval)
		return
	}
	wait, ok := s.ClaimDelay(epoch)
	known := false
	e.postAndWait(func() { known = e.leaderAddr.IsValid() })
	switch {
	case known:
		return
	case !ok:
		e.pause(searchInterval)
		return
	case wait > 0:
		e.waitForLeader(wait)
		e.postAndWait(func() { known = e.leaderAddr.IsValid() })
		if known {
			return
		}
		second := e.survey()
		if addr, _, claimed := second.Leader(); claimed {
			e.postAndWait(func() { e.leaderAddr = addr })
			return
		}
	}
	if !e.tryClaim(epoch, "no entry leads") {
		e.pause(searchInterval)
	}
}

// survey asks the other entries for the leader.
func (e *Entry) survey() *elect.Survey {
	s := &elect.Survey{Self: e.cfg.Peers, Processors: e.cfg.Processors}
	var entries []netip.AddrPort
	var h msgs.Hello
	e.postAndWait(func() {
		entries = append(entries, e.entries...)
		s.Agents = e.leaderSearches.Count(time.Now())
		h = e.hello()
	})
	s.OtherEntries = len(entries)
	s.Answers = peer.Survey(e.ctx, entries, h)
	return s
}
