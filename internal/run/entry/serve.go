package entry

import (
	"net"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/elect"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/run/peer"
)

const (
	// helloTimeout bounds the wait for a peer's first message.
	helloTimeout = time.Second
	// agentSilence is how long an agent may be silent before its connection ends,
	// entrySilence the same for an entry.
	agentSilence = 1500 * time.Millisecond
	entrySilence = 3 * time.Second
)

// Serve answers other processes at a listener until it is closed.
func (e *Entry) Serve(ln net.Listener) error {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return err
		}
		e.done.Go(func() { e.serve(peer.New(conn)) })
	}
}

// serve answers one process: it is told where the leader is, and stays connected if
// that is here.
func (e *Entry) serve(conn *peer.Conn) {
	defer conn.Close()
	m, err := conn.Receive(helloTimeout)
	if err != nil || m.Hello == nil {
		return
	}
	leading := false
	e.sync(func() { leading = e.welcome(conn, m.Hello) })
	silence := entrySilence
	if !m.Hello.Entry {
		silence = agentSilence
	}
	for {
		m, err := conn.Receive(silence)
		if err != nil {
			if leading {
				e.post(func() { e.lost(conn, err) })
			}
			return
		}
		if leading {
			e.post(func() {
				if e.leader != nil && e.conns[conn.ID] != nil {
					e.leader.Handle(time.Now(), conn.ID, m)
				}
			})
		}
	}
}

// welcome answers a process and reports whether it stays connected.
func (e *Entry) welcome(conn *peer.Conn, h *msgs.Hello) bool {
	now := time.Now()
	if h.Entry {
		e.entries = elect.MergeAddrs(e.entries, e.cfg.Peers, h.Addr)
	} else if h.LeaderLost {
		e.complaints.Add(now, h.Node)
	}
	if h.Epoch > e.epoch {
		e.end("a process knows of a later leader")
		if h.Leading {
			e.epoch, e.leaderAddr = h.Epoch, h.Addr
			if e.upstream != nil {
				e.upstream.Close()
			}
		}
	}
	w := &msgs.Welcome{
		Node: e.cfg.Name, Leading: e.leader != nil, Epoch: e.epoch, Leader: e.leaderAddr,
		Entries: append(e.entries, e.cfg.Peers), LeaderHeard: e.sinceHeard(),
		Processors: e.cfg.Processors,
	}
	if w.Leading {
		e.conns[conn.ID] = &client{conn: conn, node: h.Node, entry: h.Entry, processors: h.Processors}
		e.log.Info("peer joins", "peer", h.Node, "entry", h.Entry, "epoch", e.epoch)
		e.pingAt = time.Time{}
	}
	conn.Send(&msgs.Message{Welcome: w})
	return w.Leading
}

// lost notes that a process is no longer connected.
func (e *Entry) lost(conn *peer.Conn, err error) {
	c := e.conns[conn.ID]
	if c == nil {
		return
	}
	delete(e.conns, conn.ID)
	e.log.Info("peer lost", "peer", c.node, "entry", c.entry, "err", err)
	if e.leader != nil {
		e.leader.Disconnected(time.Now(), conn.ID)
	}
}
