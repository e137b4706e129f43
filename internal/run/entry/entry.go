// Package entry is the process that answers callers on the users' platform: the
// sockets, goroutines and clock around the decisions of packages lead and elect.
//
// One goroutine, the loop, owns all state. Others hand it functions to run.
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
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/run/peer"
)

// eventQueue bounds the functions that wait for the loop.
const eventQueue = 1024

// Watcher reports changes of the operator's configuration until ctx is done.
type Watcher interface {
	Watch(ctx context.Context, changed func(model.Config))
}

// Platform is what an entry needs of the platform.
type Platform interface {
	port.Store
	Watcher
}

// Entry is a running entry. Make it with Start.
type Entry struct {
	cfg   proc.JobEntry
	store Platform
	// advisor may be nil if no queue needs advice.
	advisor port.Advisor
	log     *slog.Logger
	events  chan func()
	config  atomic.Pointer[model.Config]
	// metrics may be used by all goroutines.
	metrics *metrics
	// stopping is set once the entry is to end.
	stopping atomic.Bool
	cancel   context.CancelFunc
	ctx      context.Context
	done     sync.WaitGroup

	// What follows belongs to the loop.

	// leader is set while this entry leads, at seq with its next append.
	leader *lead.Leader
	seq    uint64
	// epoch is the highest leadership known, at leaderAddr.
	epoch      uint64
	leaderAddr netip.AddrPort
	// heardAt is when the leader was heard last.
	heardAt time.Time
	// upstream is the connection to the leader while this entry follows.
	upstream *peer.Conn
	// joinedAt is when that connection was made, in joinedEpoch.
	joinedAt    time.Time
	joinedEpoch uint64
	// conns are the connections of agents and entries to this leading entry.
	conns map[uint64]*client
	// entries are the addresses of the other entries, sorted.
	entries    []netip.AddrPort
	complaints elect.LeaderSearches
	// asks are the callers' requests that are not answered.
	asks    map[uint64]*request
	lastAsk uint64
	pingAt  time.Time
	// ledSince is when this entry began to lead, yielded is set if the leader asked it to.
	ledSince time.Time
	yielded  bool
	// claiming is set while a claim is under way.
	claiming bool
}

// client is a connection of an agent or another entry.
type client struct {
	conn  *peer.Conn
	node  string
	entry bool
	// processors is how much of a processor an entry has, 0 if it is unknown.
	processors float64
	// config is the version of the configuration that was sent last.
	config int64
}

// New returns an entry that is not running yet. advisor may be nil.
func New(cfg proc.JobEntry, store Platform, advisor port.Advisor, log *slog.Logger) *Entry {
	ctx, cancel := context.WithCancel(context.Background())
	return &Entry{
		cfg: cfg, store: store, advisor: advisor, log: log, metrics: newMetrics(), events: make(chan func(), eventQueue), ctx: ctx, cancel: cancel,
		conns: map[uint64]*client{}, asks: map[uint64]*request{},
		entries: elect.MergeAddrs(nil, cfg.Peers, cfg.Seeds.WithPort(cfg.Peers.Port())...),
	}
}

// Run runs the entry's loop and all that feeds it until Close. Calls that are under
// way then are not waited for: a process that ends should not hold up its successor.
func (e *Entry) Run() {
	e.done.Go(func() { e.store.Watch(e.ctx, e.configured) })
	e.done.Go(e.follow)
	e.done.Go(e.register)
	e.loop()
}

// Wait waits, after Run, until all that the entry started has ended.
func (e *Entry) Wait() { e.done.Wait() }

// Config returns the configuration in force, nil if none is known yet.
func (e *Entry) Config() *model.Config { return e.config.Load() }

// configured takes a configuration from the store or the leader.
func (e *Entry) configured(cfg model.Config) {
	e.post(func() {
		if old := e.config.Load(); old != nil && old.Version >= cfg.Version {
			return
		}
		e.config.Store(&cfg)
		e.log.Info("configuration in force", "version", cfg.Version, "queues", len(cfg.Queues))
		if e.leader != nil {
			e.leader.Configure(cfg)
			e.pingAt = time.Time{}
		}
	})
}

// post hands the loop a function to run.
func (e *Entry) post(f func()) {
	select {
	case e.events <- f:
	case <-e.ctx.Done():
	}
}

// sync hands the loop a function and waits until it has run.
func (e *Entry) sync(f func()) {
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

// loop runs what is handed in and makes the decisions that are due.
func (e *Entry) loop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case f := <-e.events:
			f()
			e.drain()
		case <-timer.C:
		}
		timer.Reset(max(time.Millisecond, time.Until(e.step(time.Now()))))
	}
}

// drain runs what else was handed in, so that one pass serves all of it.
func (e *Entry) drain() {
	for range eventQueue {
		select {
		case f := <-e.events:
			f()
		default:
			return
		}
	}
}

// idleStep is how often an entry that does not lead looks at its requests.
const idleStep = 500 * time.Millisecond

// step makes the decisions that are due and returns when the next are.
func (e *Entry) step(now time.Time) time.Time {
	if e.leader == nil {
		e.refuseUnled(now)
		return now.Add(idleStep)
	}
	e.leader.Tick(now)
	batch, err := e.leader.NextBatch(now)
	if err != nil {
		e.log.Error("cannot encode the state", "err", err)
	}
	if batch != nil {
		e.append(batch)
	}
	e.askAdvice()
	e.deliver()
	if e.ping(now) {
		e.metrics.count(e.leader.Stats())
	}
	return e.leader.NextWakeup(now)
}

// Close ends the entry at once.
func (e *Entry) Close() { e.cancel() }

// jitter returns a random time up to d.
func jitter(d time.Duration) time.Duration { return rand.N(d) }

// AddSeeds learns of entries at further addresses.
func (e *Entry) AddSeeds(seeds proc.Seeds) {
	e.post(func() { e.entries = elect.MergeAddrs(e.entries, e.cfg.Peers, seeds.WithPort(e.cfg.Peers.Port())...) })
}
