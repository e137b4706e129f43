// Package agent implements the agent process, which runs on the VM of a worker of the users'
// platform. It holds the sockets, goroutines and timers; package exec makes the decisions.
package agent

import (
	"context"
	"log/slog"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/clock"
	"github.com/ebonyarch/ebonyarch/internal/conf/proc"
	"github.com/ebonyarch/ebonyarch/internal/jobs/elect"
	"github.com/ebonyarch/ebonyarch/internal/jobs/exec"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/run/peer"
)

// Agent is an agent process. Create it with New and start it with Run.
type Agent struct {
	cfg    proc.JobAgent
	worker port.Executor
	store  port.Store
	log    *slog.Logger
	// metrics is safe for concurrent use.
	metrics *metrics
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	// endsStored is signalled when the leader has stored run ends, pollRequested when
	// pollLoop should poll the worker without waiting further.
	endsStored, pollRequested chan struct{}

	// mu guards the fields below.
	mu   sync.Mutex
	core *exec.Agent
	// conn is the connection to the leader, or nil.
	conn *peer.Conn
	// entries holds the addresses of all known entries, sorted.
	entries []netip.AddrPort
	// cancelPoll cancels the poll in flight. It is nil before the first poll.
	cancelPoll context.CancelFunc
}

// New returns an agent that is not running yet.
func New(cfg proc.JobAgent, worker port.Executor, store port.Store, log *slog.Logger) *Agent {
	ctx, cancel := context.WithCancel(context.Background())
	return &Agent{
		cfg: cfg, worker: worker, store: store, log: log, metrics: newMetrics(), ctx: ctx, cancel: cancel,
		endsStored: make(chan struct{}, 1), pollRequested: make(chan struct{}, 1), core: exec.New(cfg.Name, log),
		entries: elect.MergeAddrs(nil, netip.AddrPort{}, cfg.Seeds.WithPort(cfg.PeerPort)...),
	}
}

// Run runs the agent until Close. It does not wait for calls in flight when Close is called.
func (a *Agent) Run() {
	a.wg.Go(a.findAndFollow)
	a.wg.Go(a.pollLoop)
	a.wg.Go(a.leaseLoop)
	<-a.ctx.Done()
}

// Wait waits, after Run, until all goroutines of the agent have ended.
func (a *Agent) Wait() { a.wg.Wait() }

// Close stops the agent at once. Runs continue at the worker until its lease ends.
func (a *Agent) Close() { a.cancel() }

// Heartbeat implements port.Registry.
func (a *Agent) Heartbeat(h port.Heartbeat) {
	a.update(func(now time.Time) { a.core.Heartbeat(now, h) })
	a.requestPoll()
}

// Leave implements port.Registry. It only marks the VM as draining: the incarnation is over
// when no process listens at the worker's address any more.
func (a *Agent) Leave(id string, incarnation int64) {
	a.log.Info("worker deregistered", "vm", id, "life", incarnation)
	a.update(func(now time.Time) { a.core.Leave(now, id, incarnation) })
}

// update calls fn, which may change the core, and carries out the core's decisions: it starts
// the calls to the worker and sends the messages to the leader. Messages are dropped while no
// leader is connected.
func (a *Agent) update(fn func(now time.Time)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	fn(clock.Now())
	for _, c := range a.core.Calls() {
		a.wg.Go(func() { a.call(c) })
	}
	outbound := a.core.Messages()
	if a.conn == nil {
		return
	}
	for _, m := range outbound {
		a.conn.Send(m)
	}
}

// requestPoll makes pollLoop poll the worker soon if it is waiting for a reason to poll.
func (a *Agent) requestPoll() {
	select {
	case a.pollRequested <- struct{}{}:
	default:
	}
}

func (a *Agent) pause(d time.Duration) {
	select {
	case <-a.ctx.Done():
	case <-time.After(d):
	}
}

// AddSeeds adds the addresses of further entries.
func (a *Agent) AddSeeds(seeds proc.Seeds) { a.addEntries(seeds.WithPort(a.cfg.PeerPort)...) }

// addEntries adds addresses to the known entries.
func (a *Agent) addEntries(addrs ...netip.AddrPort) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.entries = elect.MergeAddrs(a.entries, netip.AddrPort{}, addrs...)
}

// knownEntries returns the addresses of all known entries.
func (a *Agent) knownEntries() []netip.AddrPort {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.entries)
}
