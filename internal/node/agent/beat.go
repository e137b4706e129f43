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
	// heartbeatInterval is the time between two heartbeats.
	heartbeatInterval = 1500 * time.Millisecond
	// heartbeatTimeout is the timeout of one heartbeat.
	heartbeatTimeout = time.Second
	// workerTimeout is the timeout of one call of the worker.
	workerTimeout = 2 * time.Second
)

// heartbeatLoop calls heartbeatCycle every heartbeatInterval, and earlier when it is
// woken, until ctx ends.
func (a *Agent) heartbeatLoop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.wakeCh:
		case <-timer.C:
		}
		a.heartbeatCycle(ctx)
		timer.Reset(heartbeatInterval)
	}
}

// heartbeatCycle lists the worker's attempts, throttles batch attempts that slow
// services down, sends a heartbeat, and stops and starts attempts as its reply
// requires.
func (a *Agent) heartbeatCycle(ctx context.Context) {
	a.listAttempts(ctx)
	a.throttleAttempts(ctx)
	a.sendHeartbeat(ctx)
	if a.performActions(ctx) {
		// Report the changes to the leader without waiting for the next cycle.
		a.listAttempts(ctx)
		a.sendHeartbeat(ctx)
	}
}

// listAttempts passes the attempts that the worker lists to the host.
func (a *Agent) listAttempts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, workerTimeout)
	defer cancel()
	tasks, err := a.worker.List(ctx)
	if err != nil {
		a.log.Warn("cannot list the worker's attempts", "err", err)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.host.Listed(time.Now(), tasks)
}

// sendHeartbeat sends a heartbeat, handles the reply and renews the worker's
// lease. It wakes heartbeatLoop if the next heartbeat must follow soon: after a failure,
// because it then goes to another entry, or if the reply requires it.
func (a *Agent) sendHeartbeat(ctx context.Context) {
	a.mu.Lock()
	sentAt := time.Now()
	req, entry := a.host.NextHeartbeat(sentAt)
	a.mu.Unlock()
	if req == nil {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	reply, err := a.links.To(entry).Entry().Beat(callCtx, req)
	a.mu.Lock()
	if err != nil {
		a.log.Debug("heartbeat failed", "entry", entry, "err", err)
		delay := a.host.HeartbeatFailed(entry)
		a.mu.Unlock()
		time.AfterFunc(delay, a.wake)
		return
	}
	lease, sendNow := a.host.Replied(time.Now(), sentAt, reply)
	a.mu.Unlock()
	if sendNow {
		a.wake()
	}
	a.renewLease(ctx, lease)
}

// renewLease renews the worker's lease for the given duration; 0 means no renewal.
func (a *Agent) renewLease(ctx context.Context, lease time.Duration) {
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, workerTimeout)
	defer cancel()
	if err := a.worker.Renew(ctx, lease); err != nil {
		a.log.Warn("cannot renew the worker's lease", "err", err)
	}
}

// throttleAttempts throttles batch attempts that slow services down.
func (a *Agent) throttleAttempts(ctx context.Context) {
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

// performActions stops and starts attempts as the runner requests. It returns true if the
// leader should be told the outcome: of a stop or start, or of an attempt that the runner
// refused.
func (a *Agent) performActions(ctx context.Context) bool {
	a.mu.Lock()
	refused := a.host.Runner.Stats().Refused
	stops, starts := a.host.Runner.Actions(time.Now())
	refused = a.host.Runner.Stats().Refused - refused
	a.mu.Unlock()
	for _, s := range stops {
		a.stopAttempt(ctx, s)
	}
	for _, s := range starts {
		a.startAttempt(ctx, s)
	}
	return len(stops)+len(starts) > 0 || refused > 0
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
