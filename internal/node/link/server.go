package link

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"
)

const headerTimeout = 5 * time.Second

// Server serves one address with HTTP/1 and HTTP/2 without encryption. Make it
// with Listen.
type Server struct {
	server   *http.Server
	listener net.Listener
	open     atomic.Int64
	most     atomic.Int64
	refused  atomic.Int64
	limit    int64
	bytes    atomic.Int64
}

// counted is a connection whose bytes are counted.
type counted struct {
	net.Conn
	bytes *atomic.Int64
}

// Read reads and counts.
func (c counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write writes and counts.
func (c counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// counting accepts connections whose bytes are counted.
type counting struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept waits for the next connection.
func (l counting) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return counted{c, l.bytes}, nil
}

// Listen opens addr and returns a server for handler; limit bounds the open
// connections, 0 means no bound.
func Listen(addr netip.AddrPort, handler http.Handler, limit int) (*Server, error) {
	listener, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, err
	}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s := &Server{listener: listener, limit: int64(limit)}
	s.server = &http.Server{
		Handler: handler, Protocols: protocols, ReadHeaderTimeout: headerTimeout, ConnState: s.count,
		HTTP2: &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout, MaxConcurrentStreams: 1000},
	}
	return s, nil
}

// count closes connections beyond the limit.
func (s *Server) count(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		n := s.open.Add(1)
		if s.limit > 0 && n > s.limit {
			s.refused.Add(1)
			c.Close()
			return
		}
		s.most.Store(max(s.most.Load(), n))
	case http.StateClosed, http.StateHijacked:
		s.open.Add(-1)
	}
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// OpenConnections returns the open connections, Most the most at a time, and Refused those
// closed because of the limit.
func (s *Server) OpenConnections() int64 { return s.open.Load() }

// PeakConnections returns the most connections that were open at a time.
func (s *Server) PeakConnections() int64 { return s.most.Load() }

// RefusedConnections returns the connections closed because of the limit.
func (s *Server) RefusedConnections() int64 { return s.refused.Load() }

// Bytes returns the bytes of all connections so far, both ways.
func (s *Server) Bytes() int64 { return s.bytes.Load() }

// Serve answers requests until Shutdown or Close.
func (s *Server) Serve() error {
	err := s.server.Serve(counting{s.listener, &s.bytes})
	if err == http.ErrServerClosed {
		return nil
	}
	return err
}

// Shutdown takes no more connections and waits for requests in flight.
func (s *Server) Shutdown(ctx context.Context) error { return s.server.Shutdown(ctx) }

// Close breaks all connections.
func (s *Server) Close() error { return s.server.Close() }
