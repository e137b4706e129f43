// Package entry implements the entry process, which serves callers on the users' platform
// and may lead. It holds the sockets, goroutines and timers; packages lead and elect make
// the decisions.
//
// A single goroutine, the event loop, owns all mutable state. Other goroutines post
// functions to it.
package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/conf/proc"
	"github.com/ebonyarch/ebonyarch/internal/jobs/elect"
	"github.com/ebonyarch/ebonyarch/internal/jobs/lead"
	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/relay"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/run/event"
	"github.com/ebonyarch/ebonyarch/internal/run/peer"
)

// eventQueueSize bounds the functions that wait for the event loop.
const eventQueueSize = 1024

// Watcher watches the operator's configuration.
type Watcher interface {
	// Watch calls changed with each new configuration until ctx is done.
	Watch(ctx context.Context, changed func(model.Config))
}

// Platform is the part of the platform that an entry uses.
type Platform interface {
	port.Store
	Watcher
}

// Entry is an entry process. Create it with New and start it with Run.
type Entry struct {
	cfg   proc.JobEntry
	store Platform
	// advisor may be nil if no queue needs advice.
	advisor port.Advisor
	log     *slog.Logger
	events  *event.Queue
	config  atomic.Pointer[model.Config]
	// metrics is safe for concurrent use.
	metrics *metrics
	// stopping is set by Shutdown.
	stopping atomic.Bool
	cancel   context.CancelFunc
	ctx      context.Context
	wg       sync.WaitGroup
	// laterLeader signals that a process reported a later leader.
	laterLeader chan struct{}
	// claimMu is held during a claim, so that this entry makes one at a time.
	claimMu sync.Mutex

	// The fields below belong to the event loop.

	// leader is non-nil while this entry leads; nextSeq is the sequence number of its
	// next append.
	leader  *lead.Leader
	nextSeq uint64
	// leadCtx is done once the latest leadership has ended, which stopAppends does.
	leadCtx     context.Context
	stopAppends context.CancelFunc
	// epoch is the highest epoch known. leaderAddr is the address of the leader, invalid
	// if it is unknown.
	epoch      uint64
	leaderAddr netip.AddrPort
	// loadingEpoch is the epoch that this entry has claimed while it loads the state, else 0.
	loadingEpoch uint64
	// leaderHeardAt is when the leader's latest message arrived, zero if none has.
	leaderHeardAt time.Time
	// leaderConn is the connection to the leader while this entry follows one, else nil. Messages
	// of other connections are not handled.
	leaderConn *peer.Conn
	// connectedAt is when leaderConn was opened.
	connectedAt time.Time
	// conns holds the connections of agents and other entries while this entry leads, by
	// connection id.
	conns map[uint64]*client
	// entries holds the addresses of the other entries, sorted.
	entries []netip.AddrPort
	// leaderSearches holds when agents last looked for a leader at this entry.
	leaderSearches elect.LeaderSearches
	// pending holds the callers' requests that wait for a response.
	pending relay.Requests
	// lastPing is when the leader last sent pings; zero makes pings due at once.
	lastPing time.Time
	// leadingSince is when this entry became the leader.
	leadingSince time.Time
	// suspended is the result of clock.Suspended that the leader knows of.
	suspended time.Duration
	// takeover is the plan to replace the leader that this entry follows; takingOver is set
	// while the claim that results is under way.
	takeover   elect.Takeover
	takingOver bool
	// storeFails is set if this entry did not reach the store in its latest test.
	// storeFailedAt is when that last happened, zero if it never has.
	storeFails    bool
	storeFailedAt time.Time
	// longestSteps holds the longest step of each kind, longStepLoggedAt is when a long step was last
	// logged.
	longestSteps     map[stepKind]time.Duration
	longStepLoggedAt time.Time
}

// client is an agent or another entry that is connected to this leading entry.
type client struct {
	conn  *peer.Conn
	node  string
	entry bool
	// processors is the number of processors of an entry, possibly a fraction; 0 if
	// unknown. leaving is set if the entry is about to stop.
	processors float64
	leaving    bool
	// config is the version of the configuration that was last sent to it, entries the number
	// of addresses of entries. Addresses are only added, so that the number tells whether
	// there are new ones.
	config  int64
	entries int
}

// New returns an entry that is not running yet. The advisor may be nil.
func New(cfg proc.JobEntry, store Platform, advisor port.Advisor, log *slog.Logger) *Entry {
	ctx, cancel := context.WithCancel(context.Background())
	return &Entry{
		cfg: cfg, store: store, advisor: advisor, log: log, metrics: newMetrics(), events: event.New(eventQueueSize), ctx: ctx, cancel: cancel,
		laterLeader: make(chan struct{}, 1), stopAppends: func() {}, conns: map[uint64]*client{},
		entries: elect.MergeAddrs(nil, cfg.Peers, cfg.Seeds.WithPort(cfg.Peers.Port())...),
	}
}

// Run runs the entry until Close. It does not wait for calls in flight when Close is called,
// so that a process that exits does not delay its successor.
func (e *Entry) Run() {
	e.wg.Go(func() { e.store.Watch(e.ctx, e.applyConfig) })
	e.wg.Go(e.findAndFollow)
	e.wg.Go(e.publishAddress)
	e.loop()
}

// Wait waits, after Run, until all goroutines of the entry have ended.
func (e *Entry) Wait() { e.wg.Wait() }

// Config returns the current configuration, nil if none is known yet.
func (e *Entry) Config() *model.Config { return e.config.Load() }

// applyConfig applies a configuration from the store or the leader unless the current one has
// the same or a later version.
func (e *Entry) applyConfig(cfg model.Config) {
	e.post(func() {
		if old := e.config.Load(); old != nil && old.Version >= cfg.Version {
			return
		}
		e.config.Store(&cfg)
		e.log.Info("configuration in force", "version", cfg.Version, "queues", len(cfg.Queues))
		if e.leader != nil {
			e.leader.Configure(cfg)
			e.lastPing = time.Time{}
		}
	})
}

// post queues a function for the event loop.
func (e *Entry) post(f func()) { e.events.Post(e.ctx, f) }

// postAndWait queues a function for the event loop and waits until it has run or the entry is
// closed. It must not be called in the event loop, which would wait for itself.
func (e *Entry) postAndWait(f func()) {
	ran := make(chan struct{})
	e.post(func() {
		f()
		close(ran)
	})
	select {
	case <-ran:
	case <-e.ctx.Done():
	}
}

// loop is the event loop: it runs posted functions and calls step when it is due.
func (e *Entry) loop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		f, ok := e.events.Wait(e.ctx, timer.C)
		if !ok {
			return
		}
		if f != nil {
			f()
			e.runQueued()
		}
		timer.Reset(max(time.Millisecond, time.Until(e.step(time.Now()))))
	}
}

// maxQueuedTime is the time after which a step follows although more functions are queued, so that
// leases, responses and pings leave in time.
const maxQueuedTime = pingInterval / 4

// runQueued runs the functions that are already queued, so that one step covers all of them, but no more
// after maxQueuedTime.
func (e *Entry) runQueued() {
	startedAt := time.Now()
	for time.Since(startedAt) <= maxQueuedTime {
		f := e.events.Next()
		if f == nil {
			return
		}
		f()
	}
}

// idleInterval is how often an entry that does not lead checks its pending requests.
const idleInterval = 500 * time.Millisecond

// step does what is due and returns when to call it again.
func (e *Entry) step(now time.Time) time.Time {
	if e.leader == nil {
		e.refuseWithoutLeader(now)
		if reason, due := e.takeover.Due(now); due && !e.stopping.Load() {
			e.takeOver(reason)
		}
		return e.takeover.NextWakeup(now.Add(idleInterval))
	}
	e.noteSuspended()
	e.timeStep(stepTick, func() { e.leader.Tick(now) })
	// What others wait for leaves before tasks are placed, which may take long.
	e.timeStep(stepSend, e.sendOutbound)
	if e.sendPings(now) {
		e.metrics.setStats(e.leader.Stats())
	}
	e.timeStep(stepBatch, func() {
		if batch := e.leader.NextBatch(now); batch != nil {
			e.append(batch)
		}
	})
	e.requestAdvice()
	e.timeStep(stepSend, e.sendOutbound)
	return e.leader.NextWakeup(now)
}

// Close stops the entry at once.
func (e *Entry) Close() { e.cancel() }

// jitter returns a random duration in [0, d).
func jitter(d time.Duration) time.Duration { return rand.N(d) }

// AddSeeds adds the addresses of further entries.
func (e *Entry) AddSeeds(seeds proc.Seeds) {
	e.post(func() { e.entries = elect.MergeAddrs(e.entries, e.cfg.Peers, seeds.WithPort(e.cfg.Peers.Port())...) })
}
