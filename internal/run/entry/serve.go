package entry

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/front/intake"
	"github.com/ebonyarch/ebonyarch/internal/jobs/elect"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/run/peer"
)

const (
	// helloTimeout bounds the wait for a peer's first message.
	helloTimeout = time.Second
	// acceptRetryDelay is the delay after a connection could not be accepted.
	acceptRetryDelay = 50 * time.Millisecond
	// agentTimeout is how long an agent may be silent before its connection is closed,
	// entryTimeout the same for an entry.
	agentTimeout = 1500 * time.Millisecond
	entryTimeout = 3 * time.Second
)

// Serve accepts connections of agents and other entries until the listener is closed. Other errors
// pass, such as a lack of descriptors.
func (e *Entry) Serve(ln net.Listener) error {
	for {
		conn, err := ln.Accept()
		switch {
		case errors.Is(err, net.ErrClosed) || e.ctx.Err() != nil:
			return err
		case err != nil:
			e.log.Warn("cannot accept a connection of another process", "err", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		e.wg.Go(func() { e.serve(conn, peer.New(conn)) })
	}
}

// serve handles one connection: it tells the peer where the leader is, and forwards the
// peer's messages to the leader if that is this entry.
func (e *Entry) serve(raw net.Conn, conn *peer.Conn) {
	defer conn.Close()
	m, err := conn.Receive(helloTimeout)
	if err != nil || m.Hello == nil {
		return
	}
	intake.Keep(raw)
	leading := false
	e.postAndWait(func() { leading = e.welcome(conn, m.Hello) })
	timeout := entryTimeout
	if !m.Hello.Entry {
		timeout = agentTimeout
	}
	for {
		m, err := conn.Receive(timeout)
		if err != nil {
			if leading {
				e.post(func() { e.disconnected(conn, err) })
			}
			return
		}
		if leading {
			e.post(func() { e.handlePeerMessage(conn.ID, m) })
		}
	}
}

// handlePeerMessage handles a message from an agent or another entry while this entry leads.
func (e *Entry) handlePeerMessage(id uint64, m *msgs.Message) {
	c := e.conns[id]
	if e.leader == nil || c == nil {
		return
	}
	if m.Ping != nil {
		c.leaving = m.Ping.Leaving
	}
	e.noteSuspended()
	e.timeStep(stepMessage, func() { e.leader.Handle(time.Now(), id, m) })
}

// welcome answers the Hello of a peer and reports whether this entry leads, in which case
// the connection is registered.
func (e *Entry) welcome(conn *peer.Conn, h *msgs.Hello) bool {
	now := time.Now()
	if h.Entry {
		e.entries = elect.MergeAddrs(e.entries, e.cfg.Peers, h.Addr)
	} else if h.LeaderLost {
		e.leaderSearches.Add(now, h.Node)
	}
	if h.Epoch > e.epoch {
		e.stopLeading("a peer reported a later epoch")
		if h.Leading {
			e.adoptEpoch(h.Epoch, h.Addr)
		}
	}
	w := &msgs.Welcome{
		Node: e.cfg.Name, Leading: e.leader != nil, Epoch: e.epoch, Leader: e.leaderAddr,
		Entries: append(e.entries, e.cfg.Peers), LeaderHeard: e.sinceLeaderHeard(),
		Processors: e.cfg.Processors,
	}
	if e.loadingEpoch > e.epoch {
		// Another claim would only make this entry's loading futile.
		w.Epoch, w.Leader, w.LeaderHeard = e.loadingEpoch, netip.AddrPort{}, 0
	}
	if w.Leading {
		e.conns[conn.ID] = &client{conn: conn, node: h.Node, entry: h.Entry, processors: h.Processors}
		e.log.Info("peer connected", "peer", h.Node, "entry", h.Entry, "epoch", e.epoch)
		e.lastPing = time.Time{}
	}
	conn.Send(&msgs.Message{Welcome: w})
	return w.Leading
}

// disconnected removes a connection that has ended and notifies the leader.
func (e *Entry) disconnected(conn *peer.Conn, err error) {
	c := e.conns[conn.ID]
	if c == nil {
		return
	}
	delete(e.conns, conn.ID)
	e.log.Info("peer disconnected", "peer", c.node, "entry", c.entry, "err", err)
	if e.leader != nil {
		e.leader.Disconnected(time.Now(), conn.ID)
	}
}
