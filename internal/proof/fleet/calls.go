package fleet

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/exec"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

// maxWindow is the longest time from the start of a worker, or of the agent's process, to the first
// poll that reaches the worker.
const maxWindow = 10*time.Millisecond + 3*callDelay

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
	if a.deferred(func() { a.sendCall(incarnation, c) }) || a.Dead || incarnation != a.incarnations {
		return
	}
	if a.core.Sends(a.world.Now, c) {
		a.pauseAtStart(c)
		a.world.After(callDelay, func() { a.call(incarnation, c) })
	}
	a.act()
}

// call makes a call to the worker. A random part of the calls, by World.DelayedShare, gets no
// response and is executed late, and a part, by World.RefusedShare, is refused.
func (a *Agent) call(incarnation int, c exec.Call) {
	if a.deferred(func() { a.call(incarnation, c) }) {
		return // the process was paused as it sent the call
	}
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
		if c.Stop != nil {
			w.Witness.LateStop(w.Now, a.Worker, c.Stop.Task, c.Stop.Run)
		}
		life := a.Worker.Lives()
		w.After(2*time.Second+time.Duration(w.rng.Int64N(int64(10*time.Second))), func() { a.executeLate(life, execute) })
	case w.CopiedShare > 0 && c.Start != nil && c.After == 0 && w.rng.Float64() < w.CopiedShare:
		// The agent repeats the start once it is timed out.
		err, delay = errCallTimeout, callTimeout
		life := a.Worker.Lives()
		a.copies = append(a.copies, func() { a.executeLate(life, execute) })
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

// executeLate executes an order to the given incarnation of the worker late, perhaps at a later one.
// What that one starts is unpreventable only until a poll has reached it or could have done so.
func (a *Agent) executeLate(life int, execute func() error) {
	w := a.world
	other := life != a.Worker.Lives()
	if w.OrdersEndWithWorker && other {
		return
	}
	unreached := other && a.reached != a.Worker.Lives()
	w.Late.Orders++
	if other {
		w.Late.ToNext++
	}
	if unreached {
		w.Late.Unreached++
	}
	w.Witness.Unpreventable = unreached && !a.mayHavePolled()
	if w.Witness.Unpreventable {
		w.Late.Excused++
	}
	w.Witness.Late = true
	_ = execute()
	w.Witness.Unpreventable, w.Witness.Late = false, false
}

// mayHavePolled reports whether the agent's process can have polled the worker's present
// incarnation.
func (a *Agent) mayHavePolled() bool {
	since := min(a.world.Now.Sub(a.startedAt), a.Worker.Age(a.world.Now))
	return !a.Dead && since > maxWindow
}

// callEnded passes the result of a call to the agent.
func (a *Agent) callEnded(incarnation int, c exec.Call, err error) {
	if a.deferred(func() { a.callEnded(incarnation, c, err) }) || a.Dead || incarnation != a.incarnations {
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
