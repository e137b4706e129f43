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
	// leaderSilence is how long the leader may be silent before the agent looks for
	// another.
	leaderSilence = 1200 * time.Millisecond
	// roundEvery spaces the rounds of looking for a leader.
	roundEvery = 150 * time.Millisecond
	// storeAfter is how many rounds without any answer lead to a look into the store.
	storeAfter = 12
	// storeTimeout bounds a call to the store.
	storeTimeout = time.Second
	// entriesTopic holds the addresses of all entries.
	entriesTopic = "entries"
)

// connect stays connected to the leader until the agent ends.
func (a *Agent) connect() {
	silent := 0
	var leader netip.AddrPort
	for a.ctx.Err() == nil {
		if leader.IsValid() {
			if a.attend(leader) {
				continue
			}
			leader = netip.AddrPort{}
		}
		answers := peer.Survey(a.ctx, a.known(), a.greeting())
		s := elect.Survey{Answers: answers}
		if addr, epoch, claimed := s.Leader(); addr.IsValid() && (claimed || epoch >= a.epoch()) {
			leader = addr
		}
		for _, w := range answers {
			a.meet(w.Entries...)
		}
		if silent++; len(answers) > 0 {
			silent = 0
		}
		if silent%storeAfter == storeAfter-1 {
			a.readEntries()
		}
		if !leader.IsValid() || len(answers) == 0 {
			a.pause(roundEvery)
		}
	}
}

func (a *Agent) epoch() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.core.Epoch()
}

func (a *Agent) greeting() msgs.Hello {
	return msgs.Hello{Node: a.cfg.Name, Epoch: a.epoch(), LeaderLost: true}
}

// attend stays connected to the leader at addr. It returns false if no leader
// answers there.
func (a *Agent) attend(addr netip.AddrPort) bool {
	conn, w, err := peer.Connect(a.ctx, addr, a.greeting())
	if err != nil {
		return false
	}
	defer conn.Close()
	joined := false
	if w.Leading {
		a.with(func(time.Time) {
			if joined = a.core.LeaderConnected(w.Epoch); joined {
				a.conn = conn
			}
		})
	}
	a.meet(w.Entries...)
	if !joined {
		return false
	}
	a.log.Info("follows", "leader", addr.String(), "epoch", w.Epoch)
	a.lookNow()
	a.with(a.core.LeaseRequest)
	err = a.listen(conn)
	a.with(func(time.Time) {
		a.core.LeaderDisconnected()
		a.conn = nil
	})
	a.log.Warn("lost the leader", "leader", addr.String(), "epoch", w.Epoch, "err", err)
	return true
}

// listen takes the leader's messages until the connection ends.
func (a *Agent) listen(conn *peer.Conn) error {
	for {
		m, err := conn.Receive(leaderSilence)
		if err != nil {
			return err
		}
		a.with(func(now time.Time) { a.take(now, m) })
	}
}

func (a *Agent) take(now time.Time, m *msgs.Message) {
	if m.Lease != nil {
		a.core.Lease(m.Lease)
	}
	if m.Orders != nil {
		a.core.Orders(now, m.Orders)
	}
	if m.EndsStored != nil {
		a.core.EndsStored(m.EndsStored)
		select {
		case a.stored <- struct{}{}:
		default:
		}
	}
}

// readEntries learns the entries' addresses from the store.
func (a *Agent) readEntries() {
	ctx, cancel := context.WithTimeout(a.ctx, storeTimeout)
	defer cancel()
	records, _, err := a.store.Newest(ctx, entriesTopic)
	if err != nil {
		a.log.Warn("no entry answers and the store does not either", "err", err)
		return
	}
	for _, r := range records {
		var addr netip.AddrPort
		if err := codec.Unmarshal(r.Value, &addr); err != nil {
			a.log.Warn("ignored the address of an entry", "node", r.Key, "err", err)
			continue
		}
		a.meet(addr)
	}
}
