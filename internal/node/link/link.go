// Package link manages the connections between processes, for clients and servers.
//
// A connection on which a call timed out gets no further calls: a device between the
// two ends, such as a firewall, may have lost its state. The next call opens a new
// connection.
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

// Durations of connections.
const (
	// dialTimeout is the time within which a connection must be established.
	dialTimeout = time.Second
	// pingIdleTime is the time without a received frame after which an HTTP/2
	// connection is tested with a ping.
	pingIdleTime = time.Second
	// pingTimeout is the time within which the reply to a ping must arrive.
	pingTimeout = time.Second
	// idleTimeout is the time without calls after which a connection is closed.
	idleTimeout = 90 * time.Second
)

// Link is a client's connections to one peer. Create it with New. It is safe for
// concurrent use.
type Link struct {
	addr netip.AddrPort

	mu sync.Mutex
	// transport holds the current connections.
	transport *http.Transport
	// discarded is how often transport was replaced.
	discarded int
	// answeredAt is when a call was last answered.
	answeredAt time.Time
}

// New returns a link to the process at addr. It does not connect yet.
func New(addr netip.AddrPort) *Link {
	return &Link{addr: addr, transport: newTransport()}
}

func newTransport() *http.Transport {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		Protocols:       protocols,
		DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
		IdleConnTimeout: idleTimeout,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: pingIdleTime, PingTimeout: pingTimeout,
		},
	}
}

// Addr returns the peer's address.
func (l *Link) Addr() netip.AddrPort { return l.addr }

// Do sends a request on the current connections. It implements the HTTP client
// interface of the generated code. If the request's deadline passes, Do discards
// the connections.
func (l *Link) Do(req *http.Request) (*http.Response, error) {
	l.mu.Lock()
	transport := l.transport
	l.mu.Unlock()
	resp, err := transport.RoundTrip(req)
	if err == nil {
		l.mu.Lock()
		l.answeredAt = time.Now()
		l.mu.Unlock()
	}
	if err != nil && errors.Is(req.Context().Err(), context.DeadlineExceeded) {
		l.discard(transport)
	}
	return resp, err
}

// DiscardIfStale discards the current connections unless a call was answered within
// pingIdleTime. It should be called before a call is repeated: a device that lost the
// state of one connection may have lost that of all, and the second call would fail
// in the same way.
func (l *Link) DiscardIfStale() {
	l.mu.Lock()
	transport, stale := l.transport, time.Since(l.answeredAt) > pingIdleTime
	l.mu.Unlock()
	if stale {
		l.discard(transport)
	}
}

// discard replaces the transport, so that further calls use new connections. Calls
// in flight keep the old ones. It does nothing if the transport was replaced before.
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

// Discarded returns how often the connections were discarded.
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
