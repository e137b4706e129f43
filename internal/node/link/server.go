package link

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"
)

// headerTimeout is the time within which the headers of a request must arrive.
const headerTimeout = 5 * time.Second

// Server serves unencrypted HTTP/1 and HTTP/2 on one address. Create it with Listen.
type Server struct {
	server   *http.Server
	listener net.Listener
	open     atomic.Int64 // open connections
	peakOpen atomic.Int64 // most connections open at the same time
	refused  atomic.Int64 // connections closed because of limit
	limit    int64        // most open connections, 0 for no limit
	bytes    atomic.Int64 // received and sent on all connections
}

// countedConn is a connection that counts its bytes.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// countingListener is a listener whose connections count their bytes.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{c, l.bytes}, nil
}

// Listen opens addr and returns a server for handler. limit is the largest number of
// open connections, 0 means no limit.
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
		Handler: handler, Protocols: protocols, ReadHeaderTimeout: headerTimeout, ConnState: s.trackConnection,
		HTTP2: &http.HTTP2Config{SendPingTimeout: pingIdleTime, PingTimeout: pingTimeout, MaxConcurrentStreams: 1000},
	}
	return s, nil
}

// trackConnection counts the open connections and closes new ones beyond the limit.
// The HTTP server calls it at each change of a connection's state.
func (s *Server) trackConnection(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		n := s.open.Add(1)
		if s.limit > 0 && n > s.limit {
			s.refused.Add(1)
			c.Close()
			return
		}
		s.peakOpen.Store(max(s.peakOpen.Load(), n))
	case http.StateClosed, http.StateHijacked:
		s.open.Add(-1)
	}
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// OpenConnections returns the number of open connections.
func (s *Server) OpenConnections() int64 { return s.open.Load() }

// PeakConnections returns the largest number of connections that were open at the
// same time.
func (s *Server) PeakConnections() int64 { return s.peakOpen.Load() }

// RefusedConnections returns the number of connections closed because of the limit.
func (s *Server) RefusedConnections() int64 { return s.refused.Load() }

// Bytes returns the number of bytes received and sent on all connections so far.
func (s *Server) Bytes() int64 { return s.bytes.Load() }

// Serve serves requests until Shutdown or Close is called.
func (s *Server) Serve() error {
	err := s.server.Serve(countingListener{s.listener, &s.bytes})
	if err == http.ErrServerClosed {
		return nil
	}
	return err
}

// Shutdown accepts no more connections and waits for requests in flight, or until
// ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.server.Shutdown(ctx) }

// Close closes the listener and all connections at once.
func (s *Server) Close() error { return s.server.Close() }
