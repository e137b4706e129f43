// Package entry implements the process that callers and operators connect to. An
// entry routes requests to upstreams, commits jobs and configuration to the
// platform's log, and may lead cells.
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

// Entry is a running entry. Create it with Start.
type Entry struct {
	cfg         proc.Entry
	platformLog port.Log
	log         *slog.Logger
	// callers, peers and admin serve callers and operators, agents and other entries,
	// and the administrative endpoints.
	callers *link.Server
	peers   *link.Server
	admin   *link.Server
	links   link.Set
	stop    context.CancelFunc
	ctx     context.Context
	wg      sync.WaitGroup
	metrics *metrics
	// inFlight is the number of callers' requests that are not yet answered.
	inFlight atomic.Int64
	// leaving is set once Shutdown was called; new work is refused from then on.
	leaving atomic.Bool
	// routes holds the services that can be called now.
	routes atomic.Pointer[routes]
	// wakeAppend wakes appendLog, wakeTick wakes tickLoop, and wakeBarrier wakes
	// readForBarriers.
	wakeAppend  chan struct{}
	wakeTick    chan struct{}
	wakeBarrier chan struct{}

	mu   sync.Mutex
	core *core.Core
	// pendingCommits holds, by record id, the channels on which commit waits for
	// the results of records.
	pendingCommits map[uint64]chan core.CommitResult
	// pendingBarriers holds, by barrier id, the channels on which readBarrier waits.
	pendingBarriers map[uint64]chan error
	// membersChanged is closed and replaced when the table of members changes.
	membersChanged chan struct{}
	// routedMembers and routedConfig are the versions of the members and of the
	// configuration from which routes was built.
	routedMembers, routedConfig uint64
}

// Start opens the entry's addresses and starts to read the platform's log.
func Start(cfg proc.Entry, platformLog port.Log, log *slog.Logger) (*Entry, error) {
	cfg.SetDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	e := &Entry{
		cfg: cfg, platformLog: platformLog, log: log, ctx: ctx, stop: cancel,
		wakeAppend: make(chan struct{}, 1), wakeTick: make(chan struct{}, 1), wakeBarrier: make(chan struct{}, 1),
		pendingCommits: map[uint64]chan core.CommitResult{}, pendingBarriers: map[uint64]chan error{},
		membersChanged: make(chan struct{}),
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
		e.wg.Go(func() {
			if err := s.Serve(); err != nil {
				e.log.Error("server failed", "err", err)
			}
		})
	}
	e.wg.Go(func() { e.readLog(ctx) })
	e.wg.Go(func() { e.readForBarriers(ctx) })
	e.wg.Go(func() { e.appendLog(ctx) })
	e.wg.Go(func() { e.tickLoop(ctx) })
	e.wg.Go(func() { e.syncPeers(ctx) })
	return e, nil
}

// newCore returns a core with a new writer id. state is nil for an empty state.
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

// PeerBytes returns the number of bytes sent and received on connections that
// agents and other entries opened to this entry.
func (e *Entry) PeerBytes() int64 { return e.peers.Bytes() }

// AdminAddr returns the address for administration.
func (e *Entry) AdminAddr() netip.AddrPort { return e.admin.Addr() }

// Kill stops the entry at once, without waiting for requests in flight.
func (e *Entry) Kill() {
	e.stop()
	e.callers.Close()
	e.peers.Close()
	e.admin.Close()
	e.wg.Wait()
}

// goodbyeTimeout limits how long Shutdown waits until the record that removes the
// entry from the list of entries is in the log.
const goodbyeTimeout = 2 * time.Second

// Shutdown refuses new work, waits for requests in flight, removes the entry from
// the list of entries and stops. ctx limits the wait for requests.
func (e *Entry) Shutdown(ctx context.Context) error {
	e.leaving.Store(true)
	drainCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go e.callers.Drain(drainCtx)
	for e.inFlight.Load() > 0 && ctx.Err() == nil {
		time.Sleep(drainPollInterval)
	}
	err := e.callers.Shutdown(ctx)
	e.mu.Lock()
	e.core.Leave(time.Now())
	e.mu.Unlock()
	wake(e.wakeAppend)
	deadline := time.Now().Add(goodbyeTimeout)
	for e.pendingRecords() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
	}
	e.Kill()
	return err
}

// drainPollInterval is the time between two checks of what Shutdown waits for.
const drainPollInterval = 10 * time.Millisecond

// pendingRecords returns the number of this entry's records whose outcome is not
// yet known.
func (e *Entry) pendingRecords() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.Writer().Pending()
}

// wake signals the loop that waits on c. The channel has a buffer of one, so a
// signal is kept until the loop is ready for it.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// random implements route.Rand with the random source of the process.
type random struct{}

// IntN returns a random number in [0, n).
func (random) IntN(n int) int { return rand.IntN(n) }
