// Package serve runs the HTTP servers of simulated services at free loopback addresses.
package serve

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"
)

// headerTimeout limits the time for reading a request's headers.
const headerTimeout = time.Second

// Servers holds HTTP servers that run. The zero value has none and is ready for use. It is
// not safe for concurrent use.
type Servers struct {
	list []*http.Server
}

// ConnHandler is a handler that adds values to the context of each connection when it is
// accepted. The contexts of the connection's requests contain them.
type ConnHandler interface {
	http.Handler
	ConnContext(ctx context.Context, c net.Conn) context.Context
}

// Serve serves a handler, which may be a ConnHandler, at a free loopback address until Close.
func (s *Servers) Serve(h http.Handler, log *slog.Logger) (netip.AddrPort, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug)}
	if c, ok := h.(ConnHandler); ok {
		server.ConnContext = c.ConnContext
	}
	s.list = append(s.list, server)
	go func() {
		if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			log.Error("server stopped unexpectedly", "addr", ln.Addr().String(), "err", err)
		}
	}()
	return netip.MustParseAddrPort(ln.Addr().String()), nil
}

// Close stops all servers and closes their connections.
func (s *Servers) Close(log *slog.Logger) {
	for _, server := range s.list {
		if err := server.Close(); err != nil {
			log.Debug("cannot close server", "err", err)
		}
	}
}
