package link

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/front/intake"
)

// headerTimeout is the time within which the headers of a request must arrive.
const headerTimeout = 5 * time.Second

const (
	// serverIdleTimeout is the time without requests after which a server closes a connection. It
	// is longer than that of clients, so that no call meets a connection that is being closed.
	serverIdleTimeout = 2 * idleTimeout
	// frameSize is the size of the largest HTTP/2 frame that is read, in bytes.
	frameSize = 16 << 10
	// receiveBuffer is how much a peer may send on an HTTP/2 connection before it is read, in
	// bytes.
	receiveBuffer = 64 << 10
	// writeTimeout is the time after which an HTTP/2 connection is closed to which nothing can be
	// written.
	writeTimeout = 10 * time.Second
	// maxHeaderBytes limits the size of a request's headers.
	maxHeaderBytes = 16 << 10
)

// Server serves unencrypted HTTP/1 and HTTP/2 on one address. Create it with Listen.
type Server struct {
	server   *http.Server
	listener net.Listener
	intake   *intake.Intake
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

// Listen opens addr and returns a server for handler, whose clients in accounts for.
func Listen(addr netip.AddrPort, handler http.Handler, in *intake.Intake) (*Server, error) {
	listener, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, err
	}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s := &Server{listener: listener, intake: in}
	s.server = &http.Server{
		Handler: in.Handler(handler), ConnContext: in.ConnContext, Protocols: protocols,
		ReadHeaderTimeout: headerTimeout, IdleTimeout: serverIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: pingIdleTime, PingTimeout: pingTimeout, WriteByteTimeout: writeTimeout, MaxConcurrentStreams: 1000,
			MaxReadFrameSize: frameSize, MaxReceiveBufferPerConnection: receiveBuffer, MaxReceiveBufferPerStream: receiveBuffer,
		},
	}
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// OpenConnections returns the number of open connections.
func (s *Server) OpenConnections() int64 { return int64(s.intake.Connections()) }

// PeakConnections returns the largest number of connections that were open at the
// same time.
func (s *Server) PeakConnections() int64 { return int64(s.intake.PeakConnections()) }

// RefusedConnections returns the number of connections closed because of the limit.
func (s *Server) RefusedConnections() int64 { return int64(s.intake.RefusedConnections()) }

// Bytes returns the number of bytes received and sent on all connections so far.
func (s *Server) Bytes() int64 { return s.bytes.Load() }

// Serve serves requests until Shutdown or Close is called.
func (s *Server) Serve() error {
	err := s.server.Serve(s.intake.Listen(countingListener{s.listener, &s.bytes}))
	if err == http.ErrServerClosed {
		return nil
	}
	return err
}

// Drain gives up clients that make no progress until ctx ends.
func (s *Server) Drain(ctx context.Context) { s.intake.Drain(ctx) }

// Shutdown accepts no more connections and waits for requests in flight, or until
// ctx ends. It does not wait for clients that make no progress.
func (s *Server) Shutdown(ctx context.Context) error {
	go s.Drain(ctx)
	return s.server.Shutdown(ctx)
}

// Close closes the listener and all connections at once.
func (s *Server) Close() error { return s.server.Close() }
