package fleet

import (
	"context"
	"fmt"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/fake/tasks"
	"github.com/ebonyarch/ebonyarch/internal/jobs/exec"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

const (
	// heartbeatInterval is the time between two heartbeats of a worker.
	heartbeatInterval = 1100 * time.Millisecond
	// contactTime is the time within which a machine in touch takes note of what it is told.
	contactTime = 3 * time.Second
	// leaseRequestInterval is the time between two lease requests of an agent.
	leaseRequestInterval = 400 * time.Millisecond
	// pollInterval is the time between two polls of a worker.
	pollInterval = 50 * time.Millisecond
	// callTimeout is the time after which a call without a response fails.
	callTimeout = 500 * time.Millisecond
	// crashDowntime is the time from a crash of a worker, by a task, to its next start.
	crashDowntime = 2 * time.Second
)

var errCallTimeout = fmt.Errorf("worker did not respond: %w", context.DeadlineExceeded)

// Agent is an agent with its worker.
type Agent struct {
	// Cut is set while no messages pass between the agent and the entries, Dead while the
	// agent's process does not run, Silent while the worker does not respond, PollsFail while it
	// sends heartbeats and carries out orders but does not respond to polls.
	Cut, Dead, Silent, PollsFail bool
	Worker                       *tasks.Worker
	world                        *World
	node                         string
	core                         *exec.Agent
	// conn is the number of the connection to entry, 0 if there is none.
	conn         uint64
	entry        *Entry
	incarnations int
	// startedAt is when the present process started.
	startedAt time.Time
	// reached is the number of the worker's incarnation that the latest poll in time reached.
	reached int
	// copies holds the copies of starts that are executed once the worker has started again.
	copies []func()
	// pause decides the time to the next poll; polls numbers the polls, of which only the latest
	// one that was scheduled is made.
	pause exec.PollPause
	polls int
	pausing
	// disruptedAt is when the agent or its worker was last disrupted.
	disruptedAt time.Time
	// kills and crashes count the calls of Kill and Crash. If calls overlap, only the latest
	// one restarts the process.
	kills, crashes int
}

func newAgent(w *World, i int) *Agent {
	a := &Agent{world: w, node: fmt.Sprintf("node-%d", i)}
	a.Worker = tasks.New(w.Now, fmt.Sprintf("vm-%d", i), capacity, w.plan, &w.Witness)
	a.Worker.ShrinkNotice = contactTime + heartbeatInterval
	a.Worker.GuardsCapacity = i%2 == 1
	a.start()
	w.After(time.Duration(i)*heartbeatInterval/20, a.heartbeat)
	a.advance()
	return a
}

// start starts an incarnation of the agent's process.
func (a *Agent) start() {
	a.core = exec.New(a.node, a.world.log)
	a.Dead, a.pausing = false, pausing{}
	a.incarnations++
	a.startedAt = a.world.Now
	a.pause = exec.PollPause{}
	incarnation := a.incarnations
	a.world.After(0, func() { a.requestLease(incarnation) })
	a.schedulePoll(0)
}

// Kill ends the agent's process and starts it again after the downtime.
func (a *Agent) Kill(downtime time.Duration) {
	a.Dead = true
	a.disconnect()
	a.kills++
	kills := a.kills
	a.world.After(downtime, func() {
		if kills == a.kills {
			a.start()
		}
	})
}

// Crash ends the worker's incarnation and starts another after the downtime.
func (a *Agent) Crash(downtime time.Duration) {
	a.crash(downtime, func() { a.Worker.Restart(a.world.Now) })
}

// CrashResized ends the worker's incarnation. After the downtime, one with another capacity
// starts, under the same id if World.KeepIDs is set.
func (a *Agent) CrashResized(downtime time.Duration, capacity place.Resources) {
	a.crash(downtime, func() {
		a.Worker.Resize(a.world.Now, capacity)
		a.restartWorker()
	})
}

// crash ends the worker's incarnation and calls restart after the downtime.
func (a *Agent) crash(downtime time.Duration, restart func()) {
	a.Worker.Kill(a.world.Now)
	a.crashes++
	crashes := a.crashes
	if !a.Dead && !a.Silent && !a.PollsFail {
		a.schedulePoll(0) // the present one ends with its connection
	}
	a.world.After(downtime, func() {
		if crashes == a.crashes {
			restart()
			a.executeCopies()
			if a.world.HeartbeatAtStart {
				a.world.After(callDelay, a.sendHeartbeat)
			}
		}
	})
}

// crashByTask ends the worker's incarnation because of a task. Another worker takes its place,
// or the worker starts again under its id if World.KeepIDs is set.
func (a *Agent) crashByTask() {
	a.crash(crashDowntime, a.restartWorker)
}

// restartWorker starts the worker again, or another one in its place.
func (a *Agent) restartWorker() {
	if a.world.KeepIDs {
		a.Worker.Restart(a.world.Now)
		return
	}
	a.Worker.Replace(a.world.Now, fmt.Sprintf("vm-%s-%d", a.node, a.crashes))
}

// disconnect ends the connection to the leader on both sides.
func (a *Agent) disconnect() {
	if a.entry != nil && a.entry.leader != nil {
		a.entry.leader.Disconnected(a.world.Now, a.conn)
		delete(a.entry.agents, a.conn)
	}
	a.clearConnection()
}

// clearConnection ends the connection to the leader on the agent's side.
func (a *Agent) clearConnection() {
	a.conn, a.entry = 0, nil
	a.core.LeaderDisconnected()
}

// advance ends the worker's runs that are due, at each step.
func (a *Agent) advance() {
	a.Worker.Advance(a.world.Now)
	if !a.Worker.Dead && a.Worker.Crash(a.world.Now) {
		a.crashByTask()
	}
	a.world.After(stepInterval, a.advance)
}

// heartbeat passes a heartbeat of the worker to the agent at each interval.
func (a *Agent) heartbeat() {
	a.world.After(heartbeatInterval, a.heartbeat)
	a.sendHeartbeat()
}

// sendHeartbeat passes a heartbeat of the worker to the agent.
func (a *Agent) sendHeartbeat() {
	if a.Dead || a.Worker.Dead || a.Silent {
		return
	}
	a.receiveHeartbeat(a.Worker.Heartbeat(a.world.Now))
}

// receiveHeartbeat passes a heartbeat to the agent.
func (a *Agent) receiveHeartbeat(h port.Heartbeat) {
	if a.deferred(func() { a.receiveHeartbeat(h) }) {
		return
	}
	a.core.Heartbeat(a.world.Now, h)
	a.act()
}

// requestLease asks for a lease at each interval. If there is a new leader, it connects to it
// first.
func (a *Agent) requestLease(incarnation int) {
	if a.deferred(func() { a.requestLease(incarnation) }) || a.Dead || incarnation != a.incarnations {
		return
	}
	a.world.After(leaseRequestInterval, func() { a.requestLease(incarnation) })
	if a.Cut {
		if a.conn != 0 {
			a.disconnect()
		}
		return
	}
	if e := a.world.leading(); e != nil && e != a.entry && a.core.LeaderConnected(e.epoch) {
		a.world.conns++
		a.conn, a.entry = a.world.conns, e
		e.agents[a.conn] = a
		a.schedulePoll(0)
	}
	a.core.LeaseRequest(a.world.Now)
	a.act()
}

// schedulePoll makes the agent poll the worker after d, instead of the poll that is due now or
// under way.
func (a *Agent) schedulePoll(d time.Duration) {
	a.polls++
	incarnation, number := a.incarnations, a.polls
	a.world.After(d, func() {
		if !a.Dead && incarnation == a.incarnations && number == a.polls {
			a.poll(number)
		}
	})
}

// poll polls the worker if a poll is due.
func (a *Agent) poll(number int) {
	if a.deferred(func() { a.poll(number) }) {
		return
	}
	w, incarnation := a.world, a.incarnations
	p, ok := a.core.Poll(w.Now, false)
	if !ok {
		a.schedulePoll(pollInterval)
		return
	}
	ended := func(delay time.Duration, result port.PollResult, err error) {
		w.After(delay, func() {
			if !a.Dead && incarnation == a.incarnations && number == a.polls {
				a.polled(p, result, err)
			}
		})
	}
	if a.Silent || a.PollsFail {
		ended(callTimeout, port.PollResult{}, errCallTimeout)
		return
	}
	if w.DelayedPollShare > 0 && a.reached == a.Worker.Lives() && w.rng.Float64() < w.DelayedPollShare {
		w.After(time.Second+time.Duration(w.rng.Int64N(int64(4*time.Second))), func() { _, _ = a.Worker.Poll(w.Now, p) })
		ended(callTimeout, port.PollResult{}, errCallTimeout)
		return
	}
	w.After(callDelay, func() {
		result, err := a.Worker.Poll(w.Now, p)
		if err == nil {
			a.noteReached()
		}
		ended(callDelay, result, err)
	})
}

// polled passes the result of a poll to the agent and schedules the next poll.
func (a *Agent) polled(p port.Poll, result port.PollResult, err error) {
	if a.deferred(func() { a.polled(p, result, err) }) {
		return
	}
	now := a.world.Now
	a.core.Polled(now, p, result, err)
	a.act()
	if err == nil {
		a.schedulePoll(pollInterval)
		return
	}
	a.schedulePoll(a.pause.After(now, err, a.core.OrdersLate(now)))
}
