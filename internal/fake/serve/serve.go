// Package serve serves stand-ins at free loopback addresses.
package serve

import (
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"
)

// headerTimeout bounds the reading of a request's head.
const headerTimeout = time.Second

// Servers are the servers that were started. Its zero value has none.
type Servers struct {
	list []*http.Server
}

// Serve serves a handler at a free loopback address until Close.
func (s *Servers) Serve(h http.Handler, log *slog.Logger) (netip.AddrPort, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug)}
	s.list = append(s.list, server)
	go func() {
		if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			log.Error("no longer serves", "addr", ln.Addr().String(), "err", err)
		}
	}()
	return netip.MustParseAddrPort(ln.Addr().String()), nil
}

// Close ends all servers and their connections.
func (s *Servers) Close(log *slog.Logger) {
	for _, server := range s.list {
		if err := server.Close(); err != nil {
			log.Debug("server not closed", "err", err)
		}
	}
}
