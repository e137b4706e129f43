package agent

import (
	"context"
	"errors"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/ident"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/sched/runner"
)

const (
	// beatEvery spaces the announcements.
	beatEvery = 1500 * time.Millisecond
	// beatTimeout bounds one announcement.
	beatTimeout = time.Second
	// workerTimeout bounds one call of the worker.
	workerTimeout = 2 * time.Second
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
	a.protect(ctx)
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
	if err != nil {
		a.log.Warn("worker does not answer", "err", err)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.host.Listed(time.Now(), tasks)
}

func (a *Agent) beat(ctx context.Context) {
	a.mu.Lock()
	sent := time.Now()
	req, to := a.host.NextHeartbeat(sent)
	a.mu.Unlock()
	if req == nil {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	reply, err := a.links.To(to).Entry().Beat(callCtx, req)
	a.mu.Lock()
	if err != nil {
		a.log.Debug("entry does not answer", "entry", to, "err", err)
		a.host.HeartbeatFailed(to)
		a.mu.Unlock()
		a.wake()
		return
	}
	lease, again := a.host.Replied(time.Now(), sent, reply)
	a.mu.Unlock()
	if again {
		a.wake()
	}
	a.renew(ctx, lease)
}

func (a *Agent) renew(ctx context.Context, lease time.Duration) {
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, workerTimeout)
	defer cancel()
	if err := a.worker.Renew(ctx, lease); err != nil {
		a.log.Warn("cannot renew the worker's lease", "err", err)
	}
}

// protect throttles batch attempts beside services that answer late.
func (a *Agent) protect(ctx context.Context) {
	a.mu.Lock()
	throttles := a.host.ProtectServices(time.Now())
	a.mu.Unlock()
	for _, t := range throttles {
		callCtx, cancel := context.WithTimeout(ctx, workerTimeout)
		err := a.worker.Throttle(callCtx, t.Attempt.Ref(), t.Percent)
		cancel()
		a.log.Info("throttles", "attempt", t.Attempt, "percent", t.Percent, "err", err)
	}
}

// act does what the runner asks for and reports whether anything changed.
func (a *Agent) act(ctx context.Context) bool {
	a.mu.Lock()
	stops, starts := a.host.Runner.Actions(time.Now())
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
	token, err := a.worker.Stop(ctx, s.Attempt.Ref(), s.Mode)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.host.Runner.Stopped(s.Attempt, token, err)
}

func (a *Agent) startAttempt(ctx context.Context, s runner.Start) {
	ctx, cancel := context.WithTimeout(ctx, workerTimeout)
	defer cancel()
	err := a.worker.Start(ctx, s.Assignment, s.Lease)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.host.Runner.Started(ident.AttemptOf(s.Assignment.GetTask()), errors.Is(err, port.ErrRefused), err)
}
