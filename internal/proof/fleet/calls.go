package fleet

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/exec"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

// act makes the calls and sends the messages that the agent's core has queued.
func (a *Agent) act() {
	incarnation := a.incarnations
	for _, c := range a.core.Calls() {
		a.world.After(c.After, func() { a.sendCall(incarnation, c) })
	}
	for _, m := range a.core.Messages() {
		conn, e := a.conn, a.entry
		if e == nil || a.Cut {
			continue
		}
		a.world.After(messageDelay, func() { e.handle(conn, m) })
	}
}

// sendCall makes a call to the worker if the agent's process still runs and the call still holds.
func (a *Agent) sendCall(incarnation int, c exec.Call) {
	if a.Dead || incarnation != a.incarnations {
		return
	}
	if a.core.Sends(a.world.Now, c) {
		a.world.After(callDelay, func() { a.call(incarnation, c) })
	}
	a.act()
}

// call makes a call to the worker. A random part of the calls, by World.DelayedShare, gets no
// response and is executed late, and a part, by World.RefusedShare, is refused.
func (a *Agent) call(incarnation int, c exec.Call) {
	w := a.world
	execute := func() error {
		if c.Start != nil {
			return a.Worker.Start(w.Now, *c.Start)
		}
		if c.Stop != nil {
			return a.Worker.Stop(w.Now, *c.Stop)
		}
		return nil
	}
	var err error
	delay := callDelay
	switch {
	case a.Silent:
		err, delay = errCallTimeout, callTimeout
	case w.rng.Float64() < w.DelayedShare:
		err, delay = errCallTimeout, callTimeout
		worker := a.Worker.Incarnation()
		w.After(2*time.Second+time.Duration(w.rng.Int64N(int64(10*time.Second))), func() {
			if !w.OrdersEndWithWorker || worker == a.Worker.Incarnation() {
				w.Witness.Unpreventable = worker != a.Worker.Incarnation() && !a.mayHavePolled()
				_ = execute()
				w.Witness.Unpreventable = false
			}
		})
	case w.RefusedShare > 0 && w.rng.Float64() < w.RefusedShare:
		err = port.ErrWorkerUnhealthy
		if w.RefusalDelay > 0 {
			delay = time.Duration(w.rng.Int64N(int64(w.RefusalDelay)))
		}
	default:
		err = execute()
	}
	w.After(delay, func() { a.callEnded(incarnation, c, err) })
}

// mayHavePolled reports whether the agent's process can have polled the worker's present
// incarnation.
func (a *Agent) mayHavePolled() bool {
	since := min(a.world.Now.Sub(a.startedAt), a.Worker.Age(a.world.Now))
	return !a.Dead && since > pollInterval+3*callDelay
}

// callEnded passes the result of a call to the agent.
func (a *Agent) callEnded(incarnation int, c exec.Call, err error) {
	if a.Dead || incarnation != a.incarnations {
		return
	}
	switch {
	case c.Start != nil:
		a.core.Started(a.world.Now, c, err)
	case c.Stop != nil:
		a.core.Stopped(a.world.Now, c, err)
	case c.Throttle != nil:
		a.core.Throttled(a.world.Now, c, err)
	}
	a.act()
}
