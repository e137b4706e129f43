// Package agent is the process beside a worker on the users' platform: the sockets,
// goroutines and clock around the decisions of package exec.
package agent

import (
	"context"
	"log/slog"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/conf/proc"
	"github.com/ebonyarch/ebonyarch/internal/jobs/elect"
	"github.com/ebonyarch/ebonyarch/internal/jobs/exec"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/run/peer"
)

// Agent is a running agent. Make it with New.
type Agent struct {
	cfg    proc.JobAgent
	worker port.Executor
	store  port.Store
	log    *slog.Logger
	// metrics may be used by all goroutines.
	metrics *metrics
	ctx     context.Context
	cancel  context.CancelFunc
	done    sync.WaitGroup
	// stored is signalled when the leader has stored ends, kicked when a look should
	// be made at once.
	stored, kicked chan struct{}

	mu   sync.Mutex
	core *exec.Agent
	// conn is the connection to the leader, nil if there is none.
	conn *peer.Conn
	// entries are the addresses of all entries known, sorted.
	entries []netip.AddrPort
	// cancelLook ends the look that is under way.
	cancelLook context.CancelFunc
}

// New returns an agent that is not running yet.
func New(cfg proc.JobAgent, worker port.Executor, store port.Store, log *slog.Logger) *Agent {
	ctx, cancel := context.WithCancel(context.Background())
	return &Agent{
		cfg: cfg, worker: worker, store: store, log: log, metrics: newMetrics(), ctx: ctx, cancel: cancel,
		stored: make(chan struct{}, 1), kicked: make(chan struct{}, 1), core: exec.New(cfg.Name, log),
		entries: elect.MergeAddrs(nil, netip.AddrPort{}, cfg.Seeds.WithPort(cfg.PeerPort)...),
	}
}

// Run runs the agent until Close. Calls that are under way then are not waited for.
func (a *Agent) Run() {
	a.done.Go(a.connect)
	a.done.Go(a.looks)
	a.done.Go(a.beats)
	<-a.ctx.Done()
}

// Wait waits, after Run, until all that the agent started has ended.
func (a *Agent) Wait() { a.done.Wait() }

// Close ends the agent at once. What runs goes on until its lease ends.
func (a *Agent) Close() { a.cancel() }

// Heartbeat implements port.Registry.
func (a *Agent) Heartbeat(h port.Heartbeat) {
	a.with(func(now time.Time) { a.core.Heartbeat(now, h) })
	a.kick()
}

// Leave implements port.Registry. The worker's end shows when nothing listens at its
// address any more.
func (a *Agent) Leave(id string, life int64) {
	a.log.Info("the worker says that it ends", "vm", id, "life", life)
	a.with(func(now time.Time) {
		vm := a.core.VM()
		if vm.ID == id && (life == 0 || life == vm.Life) {
			vm.Draining = true
			a.core.Heartbeat(now, port.Heartbeat{VM: vm})
		}
	})
}

// with runs f on the core and does what it decided.
func (a *Agent) with(f func(now time.Time)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f(time.Now())
	for _, c := range a.core.Calls() {
		a.done.Go(func() { a.call(c) })
	}
	out := a.core.Messages()
	if a.conn == nil {
		return
	}
	for _, m := range out {
		a.conn.Send(m)
	}
}

func (a *Agent) kick() {
	select {
	case a.kicked <- struct{}{}:
	default:
	}
}

func (a *Agent) pause(d time.Duration) {
	select {
	case <-a.ctx.Done():
	case <-time.After(d):
	}
}

// AddSeeds learns of entries at further addresses.
func (a *Agent) AddSeeds(seeds proc.Seeds) { a.meet(seeds.WithPort(a.cfg.PeerPort)...) }

// meet notes the addresses of entries.
func (a *Agent) meet(addrs ...netip.AddrPort) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.entries = elect.MergeAddrs(a.entries, netip.AddrPort{}, addrs...)
}

// known returns the addresses of all entries known.
func (a *Agent) known() []netip.AddrPort {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.entries)
}
