package intake

import (
	"container/list"
	"context"
	"net"
	"sync/atomic"
	"time"
)

// listener accepts connections up to a limit.
type listener struct {
	net.Listener
	in *Intake
}

// Listen returns a listener whose connections count for the Intake. At the limit, a new connection
// takes the place of one that waits.
func (in *Intake) Listen(ln net.Listener) net.Listener { return &listener{ln, in} }

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: raw, in: l.in}
		c.progress.Store(time.Now().UnixNano())
		if l.in.admit(c) {
			return c, nil
		}
		raw.Close()
	}
}

// conn is an open connection.
type conn struct {
	net.Conn
	in *Intake
	// progress is when bytes last arrived, as a Unix time in nanoseconds.
	progress atomic.Int64

	// The fields below are guarded by the mutex of in.

	// element is the connection's place in Intake.waiting, nil while a request is carried out on
	// it and once it is closed.
	element *list.Element
	// serving is the number of complete requests that are carried out.
	serving int
	closed  bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.progress.Store(time.Now().UnixNano())
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.in.mu.Lock()
	c.in.forget(c)
	c.in.mu.Unlock()
	return c.Conn.Close()
}

// progressAt returns when bytes last arrived.
func (c *conn) progressAt() time.Time { return time.Unix(0, c.progress.Load()) }

// Keep makes a connection of a listener that Listen has returned one that is never closed for a new
// one. It is for connections that don't carry HTTP.
func Keep(nc net.Conn) {
	if c, ok := nc.(*conn); ok {
		c.in.mu.Lock()
		defer c.in.mu.Unlock()
		c.in.keep(c)
	}
}

type connKey struct{}

// ConnContext is for the field of the same name of http.Server.
func (*Intake) ConnContext(ctx context.Context, c net.Conn) context.Context {
	if c, ok := c.(*conn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// admit adds a new connection and reports whether there is room. It closes the stalest waiting
// connection if there is none.
func (in *Intake) admit(c *conn) bool {
	limit := in.Limits.orDefaults().Connections
	in.mu.Lock()
	var victim *conn
	if in.open >= limit {
		e := stalest(&in.waiting, nil, (*conn).progressAt)
		if e == nil {
			in.mu.Unlock()
			in.counts.add(connectionRefused)
			return false
		}
		victim = e.Value.(*conn)
		in.forget(victim)
		in.counts.add(connectionDropped)
	}
	in.open++
	in.peakOpen = max(in.peakOpen, in.open)
	c.element = in.waiting.PushBack(c)
	in.mu.Unlock()
	if victim != nil {
		victim.Conn.Close()
	}
	return true
}

// Connections returns the number of open connections, PeakConnections the largest number of them at
// the same time, and RefusedConnections that of new ones that were closed at the limit.
func (in *Intake) Connections() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.open
}

// PeakConnections is described with Connections.
func (in *Intake) PeakConnections() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.peakOpen
}

// RefusedConnections is described with Connections.
func (in *Intake) RefusedConnections() uint64 { return in.counts[connectionRefused].Load() }

// forget removes a connection that is closed. The caller holds mu.
func (in *Intake) forget(c *conn) {
	if c.closed {
		return
	}
	c.closed = true
	in.open--
	if c.element != nil {
		in.waiting.Remove(c.element)
		c.element = nil
	}
}

// touch notes that a request begins on a connection. The caller holds mu.
func (in *Intake) touch(c *conn) {
	if c.element != nil {
		in.waiting.MoveToBack(c.element)
	}
}

// keep notes that a complete request is carried out on a connection. The caller holds mu.
func (in *Intake) keep(c *conn) {
	c.serving++
	if c.element != nil {
		in.waiting.Remove(c.element)
		c.element = nil
	}
}

// unserve undoes keep. The caller holds mu.
func (in *Intake) unserve(c *conn) {
	c.serving--
	if c.serving == 0 && !c.closed && !in.Limits.KeepUsed {
		c.element = in.waiting.PushBack(c)
	}
}
