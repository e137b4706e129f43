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
	// searchInterval is the pause between two searches for a leader.
	searchInterval = 150 * time.Millisecond
	// entriesTopic holds the addresses of all entries.
	entriesTopic = "entries"
	// storeTimeout bounds a single call to the store.
	storeTimeout = time.Second
)

// publishAddress writes this entry's address to the store and reads the addresses of
// the other entries.
func (e *Entry) publishAddress() {
	addr, err := codec.Marshal(e.cfg.Peers)
	if err != nil {
		e.log.Error("cannot encode the entry's address", "err", err)
		return
	}
	w := port.Write{Topic: entriesTopic, ExpectedEnd: -1, Records: []port.Record{{Key: e.cfg.Name, Value: addr}}}
	if err := e.appendWithRetry(e.ctx, w); err != nil {
		return // the entry was closed
	}
	ctx, cancel := context.WithTimeout(e.ctx, storeTimeout)
	defer cancel()
	records, _, err := e.store.Newest(ctx, entriesTopic)
	if err != nil {
		e.log.Warn("cannot read the other entries' addresses from the store", "err", err)
		return
	}
	e.postAndWait(func() {
		for _, r := range records {
			var addr netip.AddrPort
			if err := codec.Unmarshal(r.Value, &addr); err != nil {
				e.log.Warn("ignored an entry address that cannot be decoded", "node", r.Key, "err", err)
				continue
			}
			e.entries = elect.MergeAddrs(e.entries, e.cfg.Peers, addr)
		}
	})
}

// findAndFollow finds leaders and follows them, and claims the leadership when there is none,
// until the entry is closed.
func (e *Entry) findAndFollow() {
	for e.ctx.Err() == nil {
		leading := false
		var leader netip.AddrPort
		e.postAndWait(func() { leading, leader = e.leader != nil, e.leaderAddr })
		switch {
		case leading:
			e.pause(searchInterval)
		case leader.IsValid() && e.followLeader(leader):
			// The connection worked before it was lost: connect again at once.
		default:
			e.findLeader()
		}
	}
}

func (e *Entry) pause(d time.Duration) {
	select {
	case <-e.ctx.Done():
	case <-time.After(d):
	}
}

// waitForLeader pauses for d, or until a process reports a later leader.
func (e *Entry) waitForLeader(d time.Duration) {
	select {
	case <-e.ctx.Done():
	case <-e.laterLeader:
	case <-time.After(d):
	}
}

// adoptEpoch records that a later epoch has a leader at addr, which may be unknown. The
// entry stops leading, since appends of a leader carry the latest epoch known, and closes
// the connection to an earlier leader.
func (e *Entry) adoptEpoch(epoch uint64, addr netip.AddrPort) {
	if epoch <= e.epoch {
		return
	}
	e.stopLeading("a later epoch is known")
	e.epoch = epoch
	if !addr.IsValid() || addr == e.cfg.Peers {
		return
	}
	e.leaderAddr = addr
	e.closeLeaderConn()
	select {
	case e.laterLeader <- struct{}{}:
	default:
	}
}

// closeLeaderConn closes the connection to the leader, if there is one. Messages that it has
// received are not handled any more.
func (e *Entry) closeLeaderConn() {
	if e.leaderConn != nil {
		e.leaderConn.Close()
		e.leaderConn = nil
	}
}

// followLeader follows the leader at addr until the connection ends. It returns false if no
// leader answers at addr.
func (e *Entry) followLeader(addr netip.AddrPort) bool {
	var h msgs.Hello
	e.postAndWait(func() { h = e.hello() })
	conn, w, err := peer.Connect(e.ctx, addr, h)
	if err != nil {
		e.log.Info("the leader does not answer", "leader", addr.String(), "err", err)
		e.postAndWait(func() { e.forgetLeader(addr) })
		return false
	}
	defer conn.Close()
	if !w.Leading {
		e.postAndWait(func() { e.forgetLeader(addr) })
		return false
	}
	accepted := false
	e.postAndWait(func() { accepted = e.leaderConnected(conn, addr, w) })
	if !accepted {
		return false
	}
	err = e.receive(conn)
	e.postAndWait(func() {
		e.leaderConn = nil
		e.takeover.Cancel()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			e.forgetLeader(addr) // the leader is silent; dialing it again would take as long
		}
		e.log.Warn("lost the leader", "leader", addr.String(), "epoch", e.epoch, "err", err)
	})
	return true
}

// forgetLeader clears the leader's address if it is still addr.
func (e *Entry) forgetLeader(addr netip.AddrPort) {
	if e.leader == nil && e.leaderAddr == addr {
		e.leaderAddr = netip.AddrPort{}
	}
}

// leaderConnected records the connection to a leader and sends it the pending requests. It
// returns false if this entry leads or a later leader is known.
func (e *Entry) leaderConnected(conn *peer.Conn, addr netip.AddrPort, w *msgs.Welcome) bool {
	e.adoptEpoch(w.Epoch, addr)
	if e.leader != nil || w.Epoch < e.epoch {
		return false
	}
	e.leaderAddr, e.leaderHeardAt = addr, time.Now()
	e.entries = elect.MergeAddrs(e.entries, e.cfg.Peers, w.Entries...)
	e.leaderConn, e.connectedAt = conn, e.leaderHeardAt
	e.log.Info("follows", "leader", addr.String(), "epoch", e.epoch)
	e.forwardAll()
	return true
}

// receive handles the leader's messages until the connection ends. It is closed when a later
// leader is known.
func (e *Entry) receive(conn *peer.Conn) error {
	for {
		m, err := conn.Receive(elect.LeaderTimeout)
		if err != nil {
			return err
		}
		e.postAndWait(func() { e.handleLeaderMessage(conn, m) })
	}
}

// handleLeaderMessage handles a message of the leader, and plans a takeover if the leader
// should be replaced. It ignores a message that was received before this entry closed the
// connection: a later leader may have accepted what an earlier one refused.
func (e *Entry) handleLeaderMessage(conn *peer.Conn, m *msgs.Message) {
	if conn != e.leaderConn {
		return
	}
	now := time.Now()
	if m.JobResponse != nil {
		e.respond(m.JobResponse)
	}
	if m.Ping == nil {
		return
	}
	e.leaderHeardAt = now
	conn.Send(&msgs.Message{Ping: &msgs.Ping{Epoch: e.epoch, Leaving: e.stopping.Load()}}) // a heartbeat
	e.entries = elect.MergeAddrs(e.entries, e.cfg.Peers, m.Ping.Entries...)
	if m.Ping.Config != nil {
		cfg := *m.Ping.Config
		e.wg.Go(func() { e.applyConfig(cfg) }) // applyConfig posts, which would block the event loop if its queue is full
	}
	if elect.WaitsForStore(m.Ping) || e.storeFails {
		e.wg.Go(func() { e.testStore() })
	}
	reason, replace := elect.ShouldReplace(m.Ping, e.leaderSearches.Count(now), now.Sub(e.connectedAt), now.Sub(e.storeFailedAt))
	if !replace || e.stopping.Load() {
		e.takeover.Cancel()
		return
	}
	e.takeover.Plan(now, reason, e.takeoverRank(m.Ping), e.storeFails)
}

// hello returns the message with which this entry opens a connection. It must be called in
// the event loop.
func (e *Entry) hello() msgs.Hello {
	return msgs.Hello{Node: e.cfg.Name, Entry: true, Addr: e.cfg.Peers, Epoch: e.epoch, Leading: e.leader != nil, LeaderLost: e.leaderConn == nil, Processors: e.cfg.Processors}
}

// Shutdown begins a graceful stop and returns without waiting: Ready reports false from now
// on, and a leading entry asks the other entries to take over. The entry keeps serving
// until Close.
func (e *Entry) Shutdown() {
	e.stopping.Store(true)
	e.postAndWait(func() {
		if e.leader == nil {
			return
		}
		e.lastPing = time.Time{}
		e.sendPings(time.Now())
	})
}
