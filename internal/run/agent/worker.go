package agent

import (
	"context"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/exec"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

const (
	// callTimeout bounds a call to the worker, beside the time that it was asked to
	// wait.
	callTimeout = 500 * time.Millisecond
	// blindRetry spaces looks that fail.
	blindRetry = 60 * time.Millisecond
	// storeWait is how long new ends may take to be stored before the worker is asked
	// again.
	storeWait = 60 * time.Millisecond
	// beatEvery spaces the looks whether an announcement to the leader is due.
	beatEvery = 300 * time.Millisecond
)

// call makes one call to the worker.
func (a *Agent) call(c exec.Call) {
	if c.After > 0 {
		a.pause(c.After)
	}
	ctx, cancel := context.WithTimeout(a.ctx, callTimeout)
	defer cancel()
	began := time.Now()
	switch {
	case c.Start != nil:
		err := a.worker.Start(ctx, *c.Start)
		a.metrics.called("start", began, err)
		a.with(func(now time.Time) { a.core.Started(now, c, err) })
	case c.Stop != nil:
		err := a.worker.Stop(ctx, *c.Stop)
		a.metrics.called("stop", began, err)
		a.with(func(now time.Time) { a.core.Stopped(now, c, err) })
	case c.Throttle != nil:
		err := a.worker.Throttle(ctx, *c.Throttle, c.Percent)
		a.metrics.called("pace", began, err)
		if err != nil {
			a.log.Warn("cannot pace a run", "task", c.Throttle.Task, "run", c.Throttle.Run, "percent", c.Percent, "err", err)
		}
	}
}

// looks keeps asking the worker what runs and what has ended.
func (a *Agent) looks() {
	for a.ctx.Err() == nil {
		l, ctx, cancel, ok := a.nextLook()
		if !ok {
			a.waitKick()
			continue
		}
		v, err := a.worker.Poll(ctx, l)
		interrupted := ctx.Err() == context.Canceled
		cancel()
		if interrupted {
			continue
		}
		unstored := false
		a.with(func(now time.Time) {
			a.core.Polled(now, l, v, err)
			unstored = a.core.HasUnstoredEnds()
		})
		switch {
		case err != nil:
			a.pause(blindRetry)
		case unstored:
			a.waitStored()
		}
	}
}

func (a *Agent) nextLook() (l port.Poll, ctx context.Context, cancel context.CancelFunc, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if l, ok = a.core.Poll(time.Now(), true); !ok {
		return l, nil, nil, false
	}
	ctx, cancel = context.WithTimeout(a.ctx, l.Wait+callTimeout)
	a.cancelLook = cancel
	return l, ctx, cancel, true
}

// lookNow ends the look under way so that the next is made at once.
func (a *Agent) lookNow() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cancelLook != nil {
		a.cancelLook()
	}
	a.kick()
}

func (a *Agent) waitKick() {
	select {
	case <-a.ctx.Done():
	case <-a.kicked:
	case <-time.After(time.Second):
	}
}

func (a *Agent) waitStored() {
	select {
	case <-a.ctx.Done():
	case <-a.stored:
	case <-time.After(storeWait):
	}
}

// beats keeps announcing the VM to the leader.
func (a *Agent) beats() {
	for a.ctx.Err() == nil {
		a.with(a.core.LeaseRequest)
		a.pause(beatEvery)
	}
}
