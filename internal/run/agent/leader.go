package agent

import (
	"context"
	"net/netip"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codec"
	"github.com/ebonyarch/ebonyarch/internal/jobs/elect"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/run/peer"
)

const (
	// leaderTimeout is how long the leader may be silent before the agent looks for
	// another.
	leaderTimeout = 1200 * time.Millisecond
	// searchInterval is the pause between two searches for a leader.
	searchInterval = 150 * time.Millisecond
	// storeReadRounds is the interval, in consecutive searches without any answer, at
	// which the agent reads the entries' addresses from the store.
	storeReadRounds = 12
	// storeTimeout bounds a single call to the store.
	storeTimeout = time.Second
	// entriesTopic holds the addresses of all entries.
	entriesTopic = "entries"
)

// findAndFollow finds leaders and follows them until the agent is closed.
func (a *Agent) findAndFollow() {
	roundsWithoutAnswer := 0
	var leader netip.AddrPort
	for a.ctx.Err() == nil {
		if leader.IsValid() {
			if a.followLeader(leader) {
				continue
			}
			leader = netip.AddrPort{}
		}
		answers := peer.Survey(a.ctx, a.knownEntries(), a.hello())
		s := elect.Survey{Answers: answers}
		if addr, epoch, claimed := s.Leader(); addr.IsValid() && (claimed || epoch >= a.epoch()) {
			leader = addr
		}
		for _, w := range answers {
			a.addEntries(w.Entries...)
		}
		if roundsWithoutAnswer++; len(answers) > 0 {
			roundsWithoutAnswer = 0
		}
		if roundsWithoutAnswer%storeReadRounds == storeReadRounds-1 {
			a.readEntries()
		}
		if !leader.IsValid() || len(answers) == 0 {
			a.pause(searchInterval)
		}
	}
}

// epoch returns the highest epoch known.
func (a *Agent) epoch() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.core.Epoch()
}

// hello returns the message with which the agent opens a connection.
func (a *Agent) hello() msgs.Hello {
	return msgs.Hello{Node: a.cfg.Name, Epoch: a.epoch(), LeaderLost: true}
}

// followLeader follows the leader at addr until the connection ends. It returns false if no
// leader of the latest known epoch answers at addr.
func (a *Agent) followLeader(addr netip.AddrPort) bool {
	conn, w, err := peer.Connect(a.ctx, addr, a.hello())
	if err != nil {
		return false
	}
	defer conn.Close()
	accepted := false
	if w.Leading {
		a.update(func(time.Time) {
			if accepted = a.core.LeaderConnected(w.Epoch); accepted {
				a.conn = conn
			}
		})
	}
	a.addEntries(w.Entries...)
	if !accepted {
		return false
	}
	a.log.Info("follows", "leader", addr.String(), "epoch", w.Epoch)
	a.pollNow()
	a.update(a.core.LeaseRequest)
	err = a.receive(conn)
	a.update(func(time.Time) {
		a.core.LeaderDisconnected()
		a.conn = nil
	})
	a.log.Warn("lost the leader", "leader", addr.String(), "epoch", w.Epoch, "err", err)
	return true
}

// receive handles the leader's messages until the connection ends.
func (a *Agent) receive(conn *peer.Conn) error {
	for {
		m, err := conn.Receive(leaderTimeout)
		if err != nil {
			return err
		}
		a.update(func(now time.Time) { a.handleMessage(now, m) })
	}
}

// handleMessage passes a message of the leader to the core. The caller holds a.mu.
func (a *Agent) handleMessage(now time.Time, m *msgs.Message) {
	if m.Lease != nil {
		a.core.Lease(m.Lease)
	}
	if m.Orders != nil {
		a.core.Orders(now, m.Orders)
	}
	if m.CrashesStored != nil {
		a.core.CrashesStored(m.CrashesStored)
	}
	if m.EndsStored != nil {
		a.core.EndsStored(m.EndsStored)
		select {
		case a.endsStored <- struct{}{}:
		default:
		}
	}
}

// readEntries adds the addresses of the entries that are in the store.
func (a *Agent) readEntries() {
	ctx, cancel := context.WithTimeout(a.ctx, storeTimeout)
	defer cancel()
	records, _, err := a.store.Newest(ctx, entriesTopic)
	if err != nil {
		a.log.Warn("no entry answers, and the entries' addresses cannot be read from the store", "err", err)
		return
	}
	for _, r := range records {
		var addr netip.AddrPort
		if err := codec.Unmarshal(r.Value, &addr); err != nil {
			a.log.Warn("ignored an entry address that cannot be decoded", "node", r.Key, "err", err)
			continue
		}
		a.addEntries(addr)
	}
}
