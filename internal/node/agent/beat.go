package agent

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/ebonyarch/ebonyarch/internal/base/ident"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/sched/runner"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

const (
	// beatEvery spaces the announcements.
	beatEvery = time.Second
	// beatTimeout bounds one announcement.
	beatTimeout = time.Second
	// workerTimeout bounds one call of the worker.
	workerTimeout = 2 * time.Second
	// workerSilence is how long the worker may be silent before the VM stops to
	// announce itself, so that its lease ends.
	workerSilence = 3 * time.Second
)

// beats runs the cycle of the agent until ctx ends: what the worker runs, the
// announcement, and what follows from its answer.
func (a *Agent) beats(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.poke:
		case <-timer.C:
		}
		a.cycle(ctx)
		timer.Reset(beatEvery)
	}
}

func (a *Agent) cycle(ctx context.Context) {
	a.list(ctx)
	if a.workerSilent() {
		return
	}
	a.beat(ctx)
	if a.act(ctx) {
		// What changed on the VM is announced at once.
		a.list(ctx)
		a.beat(ctx)
	}
}

func (a *Agent) list(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, workerTimeout)
	defer cancel()
	tasks, err := a.worker.List(ctx)
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		a.log.Warn("worker does not answer", "err", err)
		return
	}
	a.listedAt = time.Now()
	a.runner.Listed(a.listedAt, tasks)
	a.updateGates()
}

func (a *Agent) workerSilent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Since(a.listedAt) > workerSilence
}

func (a *Agent) beat(ctx context.Context) {
	req, to := a.announcement()
	sent := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	reply, err := a.links.To(to).Entry().Beat(callCtx, req)
	if err != nil {
		a.missed(to, err)
		return
	}
	lease := a.answered(sent, reply)
	if lease > 0 {
		renewCtx, cancel := context.WithTimeout(ctx, workerTimeout)
		defer cancel()
		if err := a.worker.Renew(renewCtx, lease); err != nil {
			a.log.Warn("cannot renew the worker's lease", "err", err)
		}
	}
}

// announcement returns the next beat and the entry that it goes to.
func (a *Agent) announcement() (*schema.BeatRequest, netip.AddrPort) {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := &schema.Member{
		Vm: a.cfg.VM, Addr: a.peers.Addr().String(), Cell: a.cfg.Cell, Zone: a.cfg.Zone, Rack: a.cfg.Rack,
		Region: a.cfg.Region, Capacity: a.cfg.Capacity(), Incarnation: a.incarnation.UnixNano(),
		Version: a.member.GetVersion(), Leaving: a.leaving, Replicas: a.runner.Replicas(),
		Connections: uint32(a.cfg.Connections),
	}
	if !proto.Equal(m, a.member) {
		m.Version++
		a.member = m
	}
	req := &schema.BeatRequest{Member: a.member, ConfigVersion: a.configVersion}
	a.runner.Fill(req)
	return req, a.entry
}

// missed moves on to another entry.
func (a *Agent) missed(to netip.AddrPort, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.misses++
	a.log.Debug("entry does not answer", "entry", to, "err", err)
	i := slices.Index(a.entries, to)
	a.moveTo(a.entries[(i+1)%len(a.entries)])
	a.wake()
}

// moveTo announces to another entry from now on. The announcement gets a new
// version, so that it outranks the silence noted by the former entry.
func (a *Agent) moveTo(entry netip.AddrPort) {
	if entry == a.entry {
		return
	}
	a.entry = entry
	if a.member != nil {
		m := proto.Clone(a.member).(*schema.Member)
		m.Version++
		a.member = m
	}
}

// answered takes the answer to a beat and returns the lease that remains.
func (a *Agent) answered(sent time.Time, reply *schema.BeatReply) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.runner.Replied(sent, reply)
	for _, text := range reply.GetEntries() {
		addr, err := netip.ParseAddrPort(text)
		if err == nil && !slices.Contains(a.entries, addr) {
			a.entries = append(a.entries, addr)
		}
	}
	if reply.GetLeader() {
		a.misses = 0
		a.configVersion, a.answeredAt = reply.GetConfigVersion(), now
		return a.runner.Lease(now)
	}
	if addr, err := netip.ParseAddrPort(reply.GetLeaderAddr()); err == nil && addr != a.entry && a.misses == 0 {
		a.moveTo(addr)
		a.wake()
	} else if a.misses > 0 {
		a.misses--
	}
	return 0
}

// act does what the runner asks for and reports whether anything changed.
func (a *Agent) act(ctx context.Context) bool {
	a.mu.Lock()
	stops, starts := a.runner.Actions(time.Now())
	a.mu.Unlock()
	for _, s := range stops {
		a.stopAttempt(ctx, s)
	}
	for _, s := range starts {
		a.startAttempt(ctx, s)
	}
	return len(stops)+len(starts) > 0
}

func (a *Agent) stopAttempt(ctx context.Context, s runner.Stop) {
	ctx, cancel := context.WithTimeout(ctx, workerTimeout)
	defer cancel()
	token, err := a.worker.Stop(ctx, s.Attempt.Ref(), s.Checkpoint)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.runner.Stopped(s.Attempt, token, err)
}

func (a *Agent) startAttempt(ctx context.Context, s runner.Start) {
	ctx, cancel := context.WithTimeout(ctx, workerTimeout)
	defer cancel()
	err := a.worker.Start(ctx, s.Assignment, s.Lease)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.runner.Started(ident.AttemptOf(s.Assignment.GetTask()), errors.Is(err, port.ErrRefused), err)
}
