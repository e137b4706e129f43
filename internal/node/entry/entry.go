// Package entry is the process that callers and operators talk to. It routes
// requests to upstreams, accepts jobs and configuration through the log, and
// leads cells.
package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/ebonyarch/ebonyarch/internal/conf/proc"
	"github.com/ebonyarch/ebonyarch/internal/node/admin"
	"github.com/ebonyarch/ebonyarch/internal/node/core"
	"github.com/ebonyarch/ebonyarch/internal/node/link"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// Entry is a running entry. Make it with Start.
type Entry struct {
	cfg      proc.Entry
	platform port.Log
	log      *slog.Logger
	callers  *link.Server
	peers    *link.Server
	admin    *link.Server
	links    link.Set
	stop     context.CancelFunc
	ctx      context.Context
	done     sync.WaitGroup
	metrics  *metrics
	// inFlight counts callers' requests that are not answered.
	inFlight atomic.Int64
	leaving  atomic.Bool
	// routes holds the services that can be called now.
	routes atomic.Pointer[routes]
	// appends and ticks wake the loops of the same names.
	appends chan struct{}
	ticks   chan struct{}

	mu   sync.Mutex
	core *core.Core
	// waiters get the fate of records by id.
	waiters map[uint64]chan core.CommitResult
	// changed is closed and replaced when the table of members changes.
	changed chan struct{}
	// routedMembers and routedConfig are the versions that routes is made of.
	routedMembers, routedConfig uint64
}

// Start opens the entry's addresses and begins to follow the log.
func Start(cfg proc.Entry, platform port.Log, log *slog.Logger) (*Entry, error) {
	cfg.SetDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	e := &Entry{
		cfg: cfg, platform: platform, log: log, ctx: ctx, stop: cancel,
		appends: make(chan struct{}, 1), ticks: make(chan struct{}, 1),
		waiters: map[uint64]chan core.CommitResult{}, changed: make(chan struct{}),
	}
	registry := admin.NewRegistry()
	e.metrics = newMetrics(registry, e)
	e.routes.Store(&routes{})
	if err := e.listen(registry); err != nil {
		cancel()
		return nil, err
	}
	e.core = e.newCore(nil)
	for _, s := range []*link.Server{e.callers, e.peers, e.admin} {
		e.done.Go(func() {
			if err := s.Serve(); err != nil {
				e.log.Error("server failed", "err", err)
			}
		})
	}
	e.done.Go(func() { e.readLog(ctx) })
	e.done.Go(func() { e.appendLog(ctx) })
	e.done.Go(func() { e.tick(ctx) })
	e.done.Go(func() { e.syncPeers(ctx) })
	return e, nil
}

func (e *Entry) newCore(state *schema.State) *core.Core {
	return core.New(time.Now(), core.Config{
		Name: e.cfg.Name, Zone: e.cfg.Zone, WriterID: e.cfg.Name + "-" + ulid.Make().String(),
		AdvertiseAddr: e.PeerAddr(), Cells: e.cfg.Cells, Log: e.log,
	}, state)
}

// Addr returns the address for callers.
func (e *Entry) Addr() netip.AddrPort { return e.callers.Addr() }

// PeerAddr returns the address that agents and other entries connect to.
func (e *Entry) PeerAddr() netip.AddrPort {
	if e.cfg.Advertise.IsValid() {
		return e.cfg.Advertise
	}
	return e.peers.Addr()
}

// PeerBytes returns the bytes exchanged with agents and entries that called this
// one.
func (e *Entry) PeerBytes() int64 { return e.peers.Bytes() }

// AdminAddr returns the administrative address.
func (e *Entry) AdminAddr() netip.AddrPort { return e.admin.Addr() }

// Kill breaks everything off at once.
func (e *Entry) Kill() {
	e.stop()
	e.callers.Close()
	e.peers.Close()
	e.admin.Close()
	e.done.Wait()
}

// goodbyeTimeout bounds the wait for the log to take the farewell.
const goodbyeTimeout = 2 * time.Second

// Shutdown refuses new work, waits for requests in flight, leaves the list of
// entries and stops. The context bounds the wait.
func (e *Entry) Shutdown(ctx context.Context) error {
	e.leaving.Store(true)
	for e.inFlight.Load() > 0 && ctx.Err() == nil {
		time.Sleep(drainPoll)
	}
	err := e.callers.Shutdown(ctx)
	e.mu.Lock()
	e.core.Leave(time.Now())
	e.mu.Unlock()
	wake(e.appends)
	limit := time.Now().Add(goodbyeTimeout)
	for e.pending() > 0 && time.Now().Before(limit) {
		time.Sleep(drainPoll)
	}
	e.Kill()
	return err
}

const drainPoll = 10 * time.Millisecond

func (e *Entry) pending() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.Writer().Pending()
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// random implements route.Rand with the process's random source.
type random struct{}

// IntN returns a number below n.
func (random) IntN(n int) int { return rand.IntN(n) }
