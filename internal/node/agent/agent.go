// Package agent implements the process that runs beside the upstreams on a VM. It
// provides the sockets, goroutines and clock for package host, which makes the
// decisions.
package agent

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/conf/proc"
	"github.com/ebonyarch/ebonyarch/internal/front/intake"
	"github.com/ebonyarch/ebonyarch/internal/node/admin"
	"github.com/ebonyarch/ebonyarch/internal/node/host"
	"github.com/ebonyarch/ebonyarch/internal/node/link"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// Agent is a running agent. Create it with Start.
type Agent struct {
	cfg    proc.Agent
	worker port.Worker
	log    *slog.Logger
	peers  *link.Server // for entries
	admin  *link.Server // for administration
	links  link.Set     // to entries
	// wakeCh wakes heartbeatLoop before its interval is over.
	wakeCh chan struct{}
	// wakeExpire wakes expireLoop when a request is queued.
	wakeExpire chan struct{}
	stop       context.CancelFunc
	wg         sync.WaitGroup
	// inFlight is the number of requests that were received and not yet answered.
	inFlight atomic.Int64
	metrics  *metrics

	mu   sync.Mutex
	host *host.Host
}

// Start opens the agent's addresses and starts to announce the VM.
func Start(cfg proc.Agent, worker port.Worker, log *slog.Logger) (*Agent, error) {
	cfg.SetDefaults()
	a := &Agent{cfg: cfg, worker: worker, log: log, wakeCh: make(chan struct{}, 1), wakeExpire: make(chan struct{}, 1)}
	registry := admin.NewRegistry()
	a.metrics = newMetrics(registry, a)
	var err error
	limits := cfg.Limits.Peers()
	limits.Connections, limits.KeepUsed = cfg.Connections, true
	peers, adminIntake := &intake.Intake{Limits: limits}, &intake.Intake{Limits: cfg.Limits.Admin()}
	peers.Register(registry, "peers")
	adminIntake.Register(registry, "admin")
	if a.peers, err = link.Listen(cfg.Peers, schema.NewAgentServer(a), peers); err != nil {
		return nil, err
	}
	if a.admin, err = link.Listen(cfg.Admin, admin.Handler(a, registry), adminIntake); err != nil {
		a.peers.Close()
		return nil, err
	}
	a.host = host.New(time.Now(), host.Config{Entries: cfg.Entries, Member: &schema.Member{
		Vm: cfg.VM, Addr: a.advertisedAddr().String(), Cell: cfg.Cell, Zone: cfg.Zone, Rack: cfg.Rack,
		Region: cfg.Region, Capacity: cfg.Capacity(), Connections: uint32(cfg.Connections),
	}})
	ctx, cancel := context.WithCancel(context.Background())
	a.stop = cancel
	a.startServer(a.peers)
	a.startServer(a.admin)
	a.wg.Go(func() { a.heartbeatLoop(ctx) })
	a.wg.Go(func() { a.expireLoop(ctx) })
	return a, nil
}

// startServer serves s in a goroutine.
func (a *Agent) startServer(s *link.Server) {
	a.wg.Go(func() {
		if err := s.Serve(); err != nil {
			a.log.Error("server failed", "err", err)
		}
	})
}

// Addr returns the address for entries.
func (a *Agent) Addr() netip.AddrPort { return a.peers.Addr() }

// advertisedAddr returns the address that entries connect to.
func (a *Agent) advertisedAddr() netip.AddrPort {
	if a.cfg.Advertise.IsValid() {
		return a.cfg.Advertise
	}
	return a.peers.Addr()
}

// AdminAddr returns the address for administration.
func (a *Agent) AdminAddr() netip.AddrPort { return a.admin.Addr() }

// Kill stops the agent at once, without waiting for requests, as if the VM failed.
func (a *Agent) Kill() {
	a.stop()
	a.peers.Close()
	a.admin.Close()
	a.wg.Wait()
}

// drainPollInterval is the time between two checks whether the VM is drained.
const drainPollInterval = 20 * time.Millisecond

// Shutdown announces that the VM is leaving, evicts its batch attempts, waits for
// requests in flight and stops. ctx limits the wait.
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
		case <-time.After(drainPollInterval):
			a.wake()
		}
	}
	err := a.peers.Shutdown(ctx)
	a.Kill()
	return err
}

// drained reports whether the VM has nothing left to finish.
func (a *Agent) drained() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.host.Drained() && a.inFlight.Load() == 0
}

// wake starts the next round of heartbeatLoop at once.
func (a *Agent) wake() {
	select {
	case a.wakeCh <- struct{}{}:
	default:
	}
}
