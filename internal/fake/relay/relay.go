// Package relay simulates the network between two processes: it forwards TCP connections
// and can delay, hold back, reset or silently discard their data.
package relay

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/fake/stack"
)

// Relay forwards TCP connections to one target address. Create it with Listen.
type Relay struct {
	listener net.Listener

	// mu guards dial and pairs.
	mu sync.Mutex
	// dial connects to the target of new connections.
	dial func() (net.Conn, error)
	// pairs holds all connections accepted so far, closed ones included.
	pairs []*pair
	// impairments holds the impairments of all connections.
	impairments stack.Stack[Impairment]
}

// Impairment describes a network fault on all connections of a relay. The zero value is a
// network without faults.
type Impairment struct {
	// Cut holds back all bytes, CutReplies only those from the target. The bytes are forwarded
	// when the cut ends, as TCP does after a network partition.
	Cut, CutReplies bool
	// Refuse resets new connections at once.
	Refuse bool
	// Delay is added before each chunk of bytes that is forwarded.
	Delay time.Duration
}

// combine returns the impairment that two impairments are together.
func combine(x, y Impairment) Impairment {
	return Impairment{
		Cut: x.Cut || y.Cut, CutReplies: x.CutReplies || y.CutReplies, Refuse: x.Refuse || y.Refuse, Delay: max(x.Delay, y.Delay),
	}
}

// cutPollInterval is the time between two checks whether a cut has ended.
const cutPollInterval = 10 * time.Millisecond

// Impair adds an impairment to all connections, open ones included, until end is called. Others
// stay in effect.
func (r *Relay) Impair(impairment Impairment) (end func()) { return r.impairments.Add(impairment) }

// impairment returns the combination of all impairments.
func (r *Relay) impairment() Impairment { return r.impairments.Fold(combine) }

// waitWhileCut waits while a cut holds back the bytes of one direction, and then for the
// delay. The direction is from the target if replies is set, else to the target.
func (r *Relay) waitWhileCut(replies bool) {
	for {
		impairment := r.impairment()
		switch {
		case impairment.Cut || (replies && impairment.CutReplies):
			time.Sleep(cutPollInterval)
		default:
			time.Sleep(impairment.Delay)
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

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}

// pair is an accepted connection with the connection to the target.
type pair struct {
	in, out net.Conn
	// blackholed is set once all further bytes are discarded.
	blackholed atomic.Bool
}

// SetTarget sets the address that new connections are forwarded to.
func (r *Relay) SetTarget(to netip.AddrPort) {
	r.SetDial(func() (net.Conn, error) { return net.Dial("tcp", to.String()) })
}

// SetDial sets the function that connects to the target of a new connection.
func (r *Relay) SetDial(dial func() (net.Conn, error)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dial = dial
}

// Listen starts a relay from a free loopback address to a target, which SetTarget may set
// later.
func Listen(to netip.AddrPort) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: listener}
	r.SetTarget(to)
	go r.accept()
	return r, nil
}

// Addr returns the address at which the relay accepts connections.
func (r *Relay) Addr() netip.AddrPort { return r.listener.Addr().(*net.TCPAddr).AddrPort() }

func (r *Relay) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		if r.impairment().Refuse {
			reset(in)
			continue
		}
		r.mu.Lock()
		dial := r.dial
		r.mu.Unlock()
		out, err := dial()
		if err != nil {
			in.Close()
			continue
		}
		p := &pair{in: in, out: out}
		if !r.add(p) {
			reset(in)
			reset(out)
			continue
		}
		go p.copy(in, out, func() { r.waitWhileCut(false) })
		go p.copy(out, in, func() { r.waitWhileCut(true) })
	}
}

// add adds a pair, unless new connections are refused by now: Reset must leave no connection
// that was accepted before.
func (r *Relay) add(p *pair) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.impairment().Refuse {
		return false
	}
	r.pairs = append(r.pairs, p)
	return true
}

// copy forwards bytes until either connection closes. Once the pair is blackholed, it reads
// and discards the bytes and does not forward the close either. wait returns when the bytes
// read may be forwarded.
func (p *pair) copy(from, to net.Conn, wait func()) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		wait()
		if p.blackholed.Load() {
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

// Blackhole silently discards all further bytes of the connections accepted so far, as a
// network device does that lost its connection state. New connections work. It returns the
// number of connections accepted so far.
func (r *Relay) Blackhole() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pairs {
		p.blackholed.Store(true)
	}
	return len(r.pairs)
}

// Connections returns the number of connections accepted so far.
func (r *Relay) Connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.pairs)
}

// Close closes the listener and all connections.
func (r *Relay) Close() {
	r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pairs {
		p.in.Close()
		p.out.Close()
	}
}
