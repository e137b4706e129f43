// Package relay is a stand-in for what lies between two processes: it passes
// bytes on and can lose track of open connections while new ones work.
package relay

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Relay passes TCP connections on to one address. Make it with Listen.
type Relay struct {
	listener net.Listener

	mu    sync.Mutex
	to    netip.AddrPort
	pairs []*pair
	// impaired is what is done to all connections now.
	impaired atomic.Pointer[Impairment]
}

// Impairment is what a relay does to its connections while it lasts. The zero value does
// nothing.
type Impairment struct {
	// Cut holds back all bytes, CutBack those of the answers; what is held back is passed
	// on later, as after a partition.
	Cut, CutBack bool
	// Refuse resets new connections at once.
	Refuse bool
	// Delay is added to what is passed on.
	Delay time.Duration
}

// cutStep spaces the looks for the end of a cut.
const cutStep = 10 * time.Millisecond

// SetImpairment sets what is done to all connections from now on.
func (r *Relay) SetImpairment(how Impairment) { r.impaired.Store(&how) }

// hold waits as long as bytes of a direction are held back.
func (r *Relay) hold(back bool) {
	for {
		how := r.impaired.Load()
		switch {
		case how == nil:
			return
		case how.Cut || (back && how.CutBack):
			time.Sleep(cutStep)
		default:
			time.Sleep(how.Delay)
			return
		}
	}
}

// Reset resets all connections that are open now.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pairs {
		reset(p.in)
		reset(p.out)
	}
}

// reset ends a connection with a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}

// pair is one connection and its continuation.
type pair struct {
	in, out net.Conn
	silent  atomic.Bool
}

// SetTarget makes further connections lead to another address.
func (r *Relay) SetTarget(to netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.to = to
}

// Listen opens a loopback address that leads to another, which may be set later.
func Listen(to netip.AddrPort) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: listener, to: to}
	go r.accept()
	return r, nil
}

// Addr returns the address to connect to.
func (r *Relay) Addr() netip.AddrPort { return r.listener.Addr().(*net.TCPAddr).AddrPort() }

func (r *Relay) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		if how := r.impaired.Load(); how != nil && how.Refuse {
			reset(in)
			continue
		}
		r.mu.Lock()
		to := r.to
		r.mu.Unlock()
		out, err := net.Dial("tcp", to.String())
		if err != nil {
			in.Close()
			continue
		}
		p := &pair{in: in, out: out}
		r.mu.Lock()
		r.pairs = append(r.pairs, p)
		r.mu.Unlock()
		go p.copy(in, out, func() { r.hold(false) })
		go p.copy(out, in, func() { r.hold(true) })
	}
}

// copy passes bytes on until an end closes. Once the pair is silent, it takes
// bytes and passes nothing on, closing included. hold waits while bytes are held back.
func (p *pair) copy(from, to net.Conn, hold func()) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		hold()
		if p.silent.Load() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			if err == io.EOF {
				to.Close()
			}
			return
		}
	}
}

// Blackhole loses track of all connections that are open now; it returns how many.
func (r *Relay) Blackhole() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pairs {
		p.silent.Store(true)
	}
	return len(r.pairs)
}

// Connections returns how many connections came so far.
func (r *Relay) Connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.pairs)
}

// Close closes everything.
func (r *Relay) Close() {
	r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pairs {
		p.in.Close()
		p.out.Close()
	}
}
