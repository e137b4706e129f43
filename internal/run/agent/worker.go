package agent

import (
	"context"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/clock"
	"github.com/ebonyarch/ebonyarch/internal/jobs/exec"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

const (
	// callTimeout bounds a call to the worker, in addition to the time that a poll asks
	// the worker to wait.
	callTimeout = 500 * time.Millisecond
	// endsStoredTimeout is how long the agent waits for the leader to store new run ends
	// before it polls the worker again.
	endsStoredTimeout = 60 * time.Millisecond
	// leaseCheckInterval is how often the agent checks whether a lease request is due.
	leaseCheckInterval = 300 * time.Millisecond
)

// call makes one call to the worker, if it still holds then, and reports the outcome to the core.
// Once the agent is closed it does neither, since the core would repeat the failed call at once.
func (a *Agent) call(c exec.Call) {
	if c.After > 0 {
		a.pause(c.After)
	}
	if a.ctx.Err() != nil || !a.sends(c) {
		return
	}
	ctx, cancel := context.WithTimeout(a.ctx, callTimeout)
	defer cancel()
	startedAt := time.Now()
	switch {
	case c.Start != nil:
		err := a.worker.Start(ctx, *c.Start)
		a.metrics.observeCall("start", startedAt, err)
		a.update(func(now time.Time) { a.core.Started(now, c, err) })
	case c.Stop != nil:
		err := a.worker.Stop(ctx, *c.Stop)
		a.metrics.observeCall("stop", startedAt, err)
		a.update(func(now time.Time) { a.core.Stopped(now, c, err) })
	case c.Throttle != nil:
		err := a.worker.Throttle(ctx, *c.Throttle, c.Percent)
		a.metrics.observeCall("pace", startedAt, err)
		if err != nil {
			a.log.Warn("cannot throttle a run", "task", c.Throttle.Task, "run", c.Throttle.Run, "percent", c.Percent, "err", err)
		}
		a.update(func(now time.Time) { a.core.Throttled(now, c, err) })
	}
}

// sends asks the core whether a call still holds.
func (a *Agent) sends(c exec.Call) bool {
	sends := false
	a.update(func(now time.Time) { sends = a.core.Sends(now, c) })
	return sends
}

// pollLoop polls the worker for running and ended runs until the agent is closed.
func (a *Agent) pollLoop() {
	var pause exec.PollPause
	for a.ctx.Err() == nil {
		poll, ctx, cancel, ok := a.nextPoll()
		if !ok {
			a.waitForPollRequest(time.Second)
			continue
		}
		result, err := a.worker.Poll(ctx, poll)
		if err != nil && ctx.Err() == context.Canceled {
			err = port.ErrNewConnection // the interrupted poll's connection is closed
		}
		cancel()
		unstoredEnds, ordersLate := false, false
		a.update(func(now time.Time) {
			a.core.Polled(now, poll, result, err)
			unstoredEnds, ordersLate = a.core.HasUnstoredEnds(), a.core.OrdersLate(now)
		})
		if d := pause.After(clock.Now(), err, ordersLate); d > 0 {
			a.waitForPollRequest(d)
		} else if err == nil && unstoredEnds {
			a.waitForEndsStored()
		}
	}
}

// nextPoll returns the next poll with a context for it, or false if there is nothing to poll.
func (a *Agent) nextPoll() (poll port.Poll, ctx context.Context, cancel context.CancelFunc, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if poll, ok = a.core.Poll(clock.Now(), true); !ok {
		return poll, nil, nil, false
	}
	ctx, cancel = context.WithTimeout(a.ctx, poll.Wait+callTimeout)
	a.cancelPoll = cancel
	return poll, ctx, cancel, true
}

// pollNow cancels the poll in flight so that the next one is made at once.
func (a *Agent) pollNow() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cancelPoll != nil {
		a.cancelPoll()
	}
	a.requestPoll()
}

// waitForPollRequest waits for requestPoll, at most for d.
func (a *Agent) waitForPollRequest(d time.Duration) {
	select {
	case <-a.ctx.Done():
	case <-a.pollRequested:
	case <-time.After(d):
	}
}

// waitForEndsStored waits until the leader has stored run ends, at most for
// endsStoredTimeout.
func (a *Agent) waitForEndsStored() {
	select {
	case <-a.ctx.Done():
	case <-a.endsStored:
	case <-time.After(endsStoredTimeout):
	}
}

// leaseLoop sends lease requests to the leader when they are due, until the agent is closed.
func (a *Agent) leaseLoop() {
	for a.ctx.Err() == nil {
		a.update(a.core.LeaseRequest)
		a.pause(leaseCheckInterval)
	}
}
