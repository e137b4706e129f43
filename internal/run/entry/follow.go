package entry

import (
	"context"
	"errors"
	"net/netip"
	"os"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codec"
	"github.com/ebonyarch/ebonyarch/internal/jobs/elect"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/run/peer"
)

const (
	// roundEvery spaces the rounds of looking for a leader.
	roundEvery = 150 * time.Millisecond
	// entriesTopic holds the addresses of all entries.
	entriesTopic = "entries"
	// storeTimeout bounds single calls to the store.
	storeTimeout = time.Second
)

// register makes this entry's address known through the store and learns those of
// the others.
func (e *Entry) register() {
	addr, err := codec.Marshal(e.cfg.Peers)
	if err != nil {
		e.log.Error("cannot encode the address", "err", err)
		return
	}
	w := port.Write{Topic: entriesTopic, ExpectedEnd: -1, Records: []port.Record{{Key: e.cfg.Name, Value: addr}}}
	if err := e.appendUntil(e.ctx, w); err != nil {
		return // the entry is ending
	}
	ctx, cancel := context.WithTimeout(e.ctx, storeTimeout)
	defer cancel()
	records, _, err := e.store.Newest(ctx, entriesTopic)
	if err != nil {
		e.log.Warn("cannot read the entries' addresses", "err", err)
		return
	}
	e.sync(func() {
		for _, r := range records {
			var addr netip.AddrPort
			if err := codec.Unmarshal(r.Value, &addr); err != nil {
				e.log.Warn("ignored the address of an entry", "node", r.Key, "err", err)
				continue
			}
			e.entries = elect.MergeAddrs(e.entries, e.cfg.Peers, addr)
		}
	})
}

// follow stays connected to the leader and claims the leadership when there is none,
// until the entry ends.
func (e *Entry) follow() {
	for e.ctx.Err() == nil {
		leading := false
		var leader netip.AddrPort
		e.sync(func() { leading, leader = e.leader != nil, e.leaderAddr })
		switch {
		case leading:
			e.pause(roundEvery)
		case leader.IsValid() && e.attend(leader):
			// The connection was lost after it had been good; it is tried again at once.
		default:
			e.seek()
		}
	}
}

func (e *Entry) pause(d time.Duration) {
	select {
	case <-e.ctx.Done():
	case <-time.After(d):
	}
}

// attend stays connected to the leader at addr. It returns false if no leader
// answers there.
func (e *Entry) attend(addr netip.AddrPort) bool {
	var h msgs.Hello
	e.sync(func() { h = e.greeting() })
	conn, w, err := peer.Connect(e.ctx, addr, h)
	if err != nil {
		e.log.Info("the leader does not answer", "leader", addr.String(), "err", err)
		e.sync(func() { e.forgetLeader(addr) })
		return false
	}
	defer conn.Close()
	if !w.Leading {
		e.sync(func() { e.forgetLeader(addr) })
		return false
	}
	e.sync(func() { e.join(conn, addr, w) })
	err = e.listen(conn)
	e.sync(func() {
		e.upstream = nil
		if errors.Is(err, os.ErrDeadlineExceeded) {
			e.forgetLeader(addr) // it is silent; to dial it again would take as long
		}
		e.log.Warn("lost the leader", "leader", addr.String(), "epoch", e.epoch, "err", err)
	})
	return true
}

func (e *Entry) forgetLeader(addr netip.AddrPort) {
	if e.leader == nil && e.leaderAddr == addr {
		e.leaderAddr = netip.AddrPort{}
	}
}

func (e *Entry) join(conn *peer.Conn, addr netip.AddrPort, w *msgs.Welcome) {
	e.epoch, e.leaderAddr, e.heardAt = max(e.epoch, w.Epoch), addr, time.Now()
	e.entries = elect.MergeAddrs(e.entries, e.cfg.Peers, w.Entries...)
	e.upstream, e.joinedAt, e.joinedEpoch = conn, e.heardAt, e.epoch
	e.log.Info("follows", "leader", addr.String(), "epoch", e.epoch)
	e.passAll()
}

// listen takes the leader's messages until the connection ends or the leader is
// suspected.
func (e *Entry) listen(conn *peer.Conn) error {
	for {
		m, err := conn.Receive(elect.LeaderTimeout)
		if err != nil {
			return err
		}
		var suspicion string
		e.sync(func() { suspicion = e.take(m) })
		if suspicion == "" {
			continue
		}
		e.replace(suspicion)
		if e.superseded(conn) {
			return errors.New(suspicion)
		}
	}
}

// take takes a message of the leader and returns why it should be replaced, if so.
func (e *Entry) take(m *msgs.Message) string {
	now := time.Now()
	if m.JobResponse != nil {
		e.answered(m.JobResponse)
	}
	if m.Ping == nil {
		return ""
	}
	e.heardAt = now
	if e.upstream != nil {
		e.upstream.Send(&msgs.Message{Ping: &msgs.Ping{Epoch: e.epoch}}) // a sign of life
	}
	e.entries = elect.MergeAddrs(e.entries, e.cfg.Peers, m.Ping.Entries...)
	if m.Ping.Config != nil {
		cfg := *m.Ping.Config
		go e.configured(cfg)
	}
	e.yielded = m.Ping.Yield
	reason, suspect := elect.ShouldReplace(m.Ping, e.complaints.Count(now), now.Sub(e.joinedAt))
	if !suspect || e.stopping.Load() {
		return ""
	}
	return reason
}

// superseded reports whether the leader at the other end is no longer the latest.
func (e *Entry) superseded(conn *peer.Conn) bool {
	superseded := true
	e.sync(func() { superseded = e.leader != nil || e.upstream != conn || e.epoch != e.joinedEpoch })
	return superseded
}

// replace claims the leadership of a leader that is heard but in trouble.
func (e *Entry) replace(reason string) {
	var epoch uint64
	rank := 0
	e.sync(func() {
		epoch = e.epoch
		if e.yielded {
			return // nobody else is asked to
		}
		for _, addr := range e.entries {
			if addr != e.leaderAddr && addr.Compare(e.cfg.Peers) < 0 {
				rank++
			}
		}
	})
	if !e.reachesStore() {
		return
	}
	e.pause(time.Duration(rank) * elect.ClaimStagger)
	latest := epoch
	e.sync(func() { latest = e.epoch })
	if latest == epoch {
		e.tryClaim(epoch, reason)
	}
}

// reachesStore reports whether the store answers this entry soon.
func (e *Entry) reachesStore() bool {
	ctx, cancel := context.WithTimeout(e.ctx, elect.StoreTestTimeout)
	defer cancel()
	_, _, err := e.store.Read(ctx, entriesTopic, 0, 0)
	return err == nil || errors.Is(err, port.ErrStoreTrimmed)
}

// seek asks all entries for a leader and claims the leadership if there is none.
func (e *Entry) seek() {
	var epoch uint64
	e.sync(func() { epoch = e.epoch })
	if epoch == 0 {
		e.learn()
	}
	s := e.survey()
	e.sync(func() {
		epoch = e.epoch
		if addr, found, claimed := s.Leader(); addr.IsValid() && addr != e.cfg.Peers && (claimed || found > epoch) {
			e.leaderAddr, e.epoch = addr, max(epoch, found)
			epoch = 0
		}
	})
	if e.stopping.Load() {
		e.pause(roundEvery)
		return
	}
	wait, ok := s.ClaimDelay(epoch)
	known := false
	e.sync(func() { known = e.leaderAddr.IsValid() })
	switch {
	case known:
		return
	case !ok:
		e.pause(roundEvery)
		return
	case wait > 0:
		e.pause(wait)
		again := e.survey()
		if addr, _, claimed := again.Leader(); claimed {
			e.sync(func() { e.leaderAddr = addr })
			return
		}
	}
	if !e.tryClaim(epoch, "no entry leads") {
		e.pause(roundEvery)
	}
}

// survey asks all entries for the leader.
func (e *Entry) survey() *elect.Survey {
	s := &elect.Survey{Self: e.cfg.Peers, Processors: e.cfg.Processors}
	var entries []netip.AddrPort
	var h msgs.Hello
	e.sync(func() {
		entries = append(entries, e.entries...)
		s.Agents = e.complaints.Count(time.Now())
		h = e.greeting()
	})
	s.OtherEntries = len(entries)
	s.Answers = peer.Survey(e.ctx, entries, h)
	return s
}

func (e *Entry) greeting() msgs.Hello {
	return msgs.Hello{Node: e.cfg.Name, Entry: true, Addr: e.cfg.Peers, Epoch: e.epoch, Leading: e.leader != nil, LeaderLost: e.upstream == nil, Processors: e.cfg.Processors}
}

// Shutdown ends the entry in good order: new callers stay away, the leadership is
// given up, and what is in flight is answered.
func (e *Entry) Shutdown() {
	e.stopping.Store(true)
	e.sync(func() {
		if e.leader == nil {
			return
		}
		for _, c := range e.conns {
			if c.entry {
				c.conn.Send(&msgs.Message{Ping: &msgs.Ping{Epoch: e.epoch, Leaving: true}})
			}
		}
	})
}
