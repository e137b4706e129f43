// Package agent is the process beside an upstream: the sockets, goroutines and
// clock around the decisions of package host.
package agent

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/conf/proc"
	"github.com/ebonyarch/ebonyarch/internal/node/admin"
	"github.com/ebonyarch/ebonyarch/internal/node/host"
	"github.com/ebonyarch/ebonyarch/internal/node/link"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// Agent is a running agent. Make it with Start.
type Agent struct {
	cfg    proc.Agent
	worker port.Worker
	log    *slog.Logger
	peers  *link.Server
	admin  *link.Server
	links  link.Set
	poke   chan struct{}
	// queued wakes the loop that drops late requests.
	queued chan struct{}
	stop   context.CancelFunc
	done   sync.WaitGroup
	// inFlight counts the requests that were accepted and not answered.
	inFlight atomic.Int64
	metrics  *metrics

	mu   sync.Mutex
	host *host.Host
}

// Start opens the agent's addresses and begins to announce the VM.
func Start(cfg proc.Agent, worker port.Worker, log *slog.Logger) (*Agent, error) {
	cfg.SetDefaults()
	a := &Agent{cfg: cfg, worker: worker, log: log, poke: make(chan struct{}, 1), queued: make(chan struct{}, 1)}
	registry := admin.NewRegistry()
	a.metrics = newMetrics(registry, a)
	var err error
	if a.peers, err = link.Listen(cfg.Peers, schema.NewAgentServer(a), cfg.Connections); err != nil {
		return nil, err
	}
	if a.admin, err = link.Listen(cfg.Admin, admin.Handler(a, registry), 0); err != nil {
		a.peers.Close()
		return nil, err
	}
	a.host = host.New(time.Now(), host.Config{Entries: cfg.Entries, Member: &schema.Member{
		Vm: cfg.VM, Addr: a.advertised().String(), Cell: cfg.Cell, Zone: cfg.Zone, Rack: cfg.Rack,
		Region: cfg.Region, Capacity: cfg.Capacity(), Connections: uint32(cfg.Connections),
	}})
	ctx, cancel := context.WithCancel(context.Background())
	a.stop = cancel
	a.goServe(a.peers)
	a.goServe(a.admin)
	a.done.Go(func() { a.beats(ctx) })
	a.done.Go(func() { a.expire(ctx) })
	return a, nil
}

func (a *Agent) goServe(s *link.Server) {
	a.done.Go(func() {
		if err := s.Serve(); err != nil {
			a.log.Error("server failed", "err", err)
		}
	})
}

// Addr returns the address for entries.
func (a *Agent) Addr() netip.AddrPort { return a.peers.Addr() }

// advertised returns the address that entries connect to.
func (a *Agent) advertised() netip.AddrPort {
	if a.cfg.Advertise.IsValid() {
		return a.cfg.Advertise
	}
	return a.peers.Addr()
}

// AdminAddr returns the administrative address.
func (a *Agent) AdminAddr() netip.AddrPort { return a.admin.Addr() }

// Kill breaks everything off at once, as when the VM fails.
func (a *Agent) Kill() {
	a.stop()
	a.peers.Close()
	a.admin.Close()
	a.done.Wait()
}

// drainPoll spaces the looks at what is still to be drained.
const drainPoll = 20 * time.Millisecond

// Shutdown announces that the VM leaves, gives its batch attempts back, waits
// for requests in flight and stops. The context bounds the wait.
func (a *Agent) Shutdown(ctx context.Context) error {
	a.mu.Lock()
	a.host.Leave()
	a.mu.Unlock()
	a.wake()
	for !a.drained() {
		select {
		case <-ctx.Done():
			a.Kill()
			return ctx.Err()
		case <-time.After(drainPoll):
			a.wake()
		}
	}
	err := a.peers.Shutdown(ctx)
	a.Kill()
	return err
}

func (a *Agent) drained() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.host.Drained() && a.inFlight.Load() == 0
}

func (a *Agent) wake() {
	select {
	case a.poke <- struct{}{}:
	default:
	}
}
