// Package link holds the connections from one process to another.
//
// A connection that let a call time out is never used again: whatever stands
// between the two ends may have lost track of it. The next call opens a new one.
package link

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// Times and bounds of connections.
const (
	dialTimeout = time.Second
	// pingAfter is the idle time after which a connection is tested.
	pingAfter = time.Second
	// pingTimeout is how long the answer to a test may take.
	pingTimeout = time.Second
	keepIdle    = 90 * time.Second
)

// Link is the way to one peer. Make it with New. It is safe for concurrent use.
type Link struct {
	addr netip.AddrPort

	mu        sync.Mutex
	transport *http.Transport
	discarded int
	// answered is when a call was last answered.
	answered time.Time
}

// New returns a link to the process at addr; nothing is dialled yet.
func New(addr netip.AddrPort) *Link {
	return &Link{addr: addr, transport: newTransport()}
}

func newTransport() *http.Transport {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		Protocols:       protocols,
		DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
		IdleConnTimeout: keepIdle,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: pingAfter, PingTimeout: pingTimeout,
		},
	}
}

// Addr returns the peer's address.
func (l *Link) Addr() netip.AddrPort { return l.addr }

// Do sends a request on the current connections. It makes Link a client for the
// generated code.
func (l *Link) Do(req *http.Request) (*http.Response, error) {
	l.mu.Lock()
	transport := l.transport
	l.mu.Unlock()
	resp, err := transport.RoundTrip(req)
	if err == nil {
		l.mu.Lock()
		l.answered = time.Now()
		l.mu.Unlock()
	}
	if err != nil && errors.Is(req.Context().Err(), context.DeadlineExceeded) {
		l.discard(transport)
	}
	return resp, err
}

// DiscardIfStale gives the connections up if no call was answered on them of late. A
// call that replaces a failed one should not meet the same fault: what lost track
// of one connection may have lost track of all.
func (l *Link) DiscardIfStale() {
	l.mu.Lock()
	transport, quiet := l.transport, time.Since(l.answered) > pingAfter
	l.mu.Unlock()
	if quiet {
		l.discard(transport)
	}
}

// discard leaves the connections of a transport to the calls under way.
func (l *Link) discard(transport *http.Transport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.transport != transport {
		return
	}
	l.transport = newTransport()
	l.discarded++
	transport.CloseIdleConnections()
}

// Discarded returns how often the connections were given up.
func (l *Link) Discarded() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.discarded
}

// Close closes idle connections.
func (l *Link) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.transport.CloseIdleConnections()
}

// Agent returns a client for the agent at the other end.
func (l *Link) Agent() schema.Agent {
	return schema.NewAgentProtobufClient("http://"+l.addr.String(), l)
}

// Entry returns a client for the entry at the other end.
func (l *Link) Entry() schema.Entry {
	return schema.NewEntryProtobufClient("http://"+l.addr.String(), l)
}
