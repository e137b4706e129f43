package fleet

import (
	"errors"
	"fmt"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/fake/tasks"
	"github.com/ebonyarch/ebonyarch/internal/jobs/exec"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

const (
	heartbeatEvery = 1100 * time.Millisecond
	beatEvery      = 400 * time.Millisecond
	lookEvery      = 50 * time.Millisecond
	// noAnswerAfter is when a call counts as not answered.
	noAnswerAfter = 500 * time.Millisecond
)

var errNoAnswer = errors.New("no answer")

// Agent is an agent with its worker.
type Agent struct {
	// Cut agents hear no entry, Dead ones have no process; Silent workers do not answer.
	Cut, Dead, Silent bool
	Worker            *tasks.Worker
	world             *World
	node              string
	core              *exec.Agent
	// conn is the connection to entry, 0 if there is none.
	conn  uint64
	entry *Entry
	lives int
	// kills and crashes count the ends of the agent and of the worker: only the latest is
	// followed by a start.
	kills, crashes int
}

func newAgent(w *World, i int) *Agent {
	a := &Agent{world: w, node: fmt.Sprintf("node-%d", i)}
	a.Worker = tasks.New(w.Now, fmt.Sprintf("vm-%d", i), capacity, w.plan, &w.Witness)
	a.start()
	w.After(time.Duration(i)*heartbeatEvery/20, a.heartbeat)
	a.advance()
	return a
}

// start begins a life of the agent's process.
func (a *Agent) start() {
	a.core = exec.New(a.node, a.world.log)
	a.Dead = false
	a.lives++
	life := a.lives
	a.world.After(0, func() { a.beat(life) })
	a.world.After(0, func() { a.look(life) })
}

// Kill ends the agent's process and starts it again after a time.
func (a *Agent) Kill(back time.Duration) {
	a.Dead = true
	a.hangUp()
	a.kills++
	kills := a.kills
	a.world.After(back, func() {
		if kills == a.kills {
			a.start()
		}
	})
}

// Crash ends the worker's life and starts another after a time.
func (a *Agent) Crash(back time.Duration) {
	a.Worker.Kill(a.world.Now)
	a.crashes++
	crashes := a.crashes
	a.world.After(back, func() {
		if crashes == a.crashes {
			a.Worker.Restart(a.world.Now)
		}
	})
}

func (a *Agent) hangUp() {
	if a.entry != nil && a.entry.leader != nil {
		a.entry.leader.Disconnected(a.world.Now, a.conn)
		delete(a.entry.agents, a.conn)
	}
	a.leave()
}

func (a *Agent) leave() {
	a.conn, a.entry = 0, nil
	a.core.LeaderDisconnected()
}

// advance lets the worker's runs end at their times.
func (a *Agent) advance() {
	a.Worker.Advance(a.world.Now)
	a.world.After(stepTime, a.advance)
}

func (a *Agent) heartbeat() {
	a.world.After(heartbeatEvery, a.heartbeat)
	if a.Dead || a.Worker.Dead || a.Silent {
		return
	}
	a.core.Heartbeat(a.world.Now, a.Worker.Heartbeat(a.world.Now))
	a.act()
}

// beat announces the VM, after joining the leader if there is a new one.
func (a *Agent) beat(life int) {
	if a.Dead || life != a.lives {
		return
	}
	a.world.After(beatEvery, func() { a.beat(life) })
	if a.Cut {
		if a.conn != 0 {
			a.hangUp()
		}
		return
	}
	if e := a.world.leading(); e != nil && e != a.entry && a.core.LeaderConnected(e.epoch) {
		a.world.conns++
		a.conn, a.entry = a.world.conns, e
		e.agents[a.conn] = a
	}
	a.core.LeaseRequest(a.world.Now)
	a.act()
}

func (a *Agent) look(life int) {
	if a.Dead || life != a.lives {
		return
	}
	w := a.world
	l, ok := a.core.Poll(w.Now, false)
	if !ok {
		w.After(lookEvery, func() { a.look(life) })
		return
	}
	if a.Silent {
		w.After(noAnswerAfter, func() { a.viewed(life, l, port.PollResult{}, errNoAnswer) })
		return
	}
	w.After(callTime, func() {
		v, err := a.Worker.Poll(w.Now, l)
		w.After(callTime, func() { a.viewed(life, l, v, err) })
	})
}

func (a *Agent) viewed(life int, l port.Poll, v port.PollResult, err error) {
	if a.Dead || life != a.lives {
		return
	}
	a.core.Polled(a.world.Now, l, v, err)
	a.act()
	a.world.After(lookEvery, func() { a.look(life) })
}

// act does what the agent decided.
func (a *Agent) act() {
	life := a.lives
	for _, c := range a.core.Calls() {
		a.world.After(c.After+callTime, func() { a.call(life, c) })
	}
	for _, m := range a.core.Messages() {
		conn, e := a.conn, a.entry
		if e == nil || a.Cut {
			continue
		}
		a.world.After(hop, func() { e.handle(conn, m) })
	}
}

// call makes a call to the worker. Some calls are not answered and carried out late.
func (a *Agent) call(life int, c exec.Call) {
	w := a.world
	carry := func() error {
		if c.Start != nil {
			return a.Worker.Start(w.Now, *c.Start)
		}
		if c.Stop != nil {
			return a.Worker.Stop(w.Now, *c.Stop)
		}
		return nil
	}
	var err error
	delay := callTime
	switch {
	case a.Silent:
		err, delay = errNoAnswer, noAnswerAfter
	case w.rng.Float64() < w.Late:
		err, delay = errNoAnswer, noAnswerAfter
		w.After(2*time.Second+time.Duration(w.rng.Int64N(int64(10*time.Second))), func() { _ = carry() })
	default:
		err = carry()
	}
	w.After(delay, func() { a.carried(life, c, err) })
}

func (a *Agent) carried(life int, c exec.Call, err error) {
	if a.Dead || life != a.lives {
		return
	}
	switch {
	case c.Start != nil:
		a.core.Started(a.world.Now, c, err)
	case c.Stop != nil:
		a.core.Stopped(a.world.Now, c, err)
	}
	a.act()
}

// receive takes the leader's message.
func (a *Agent) receive(conn uint64, m *msgs.Message) {
	if a.Dead || a.Cut || conn != a.conn {
		return
	}
	if m.Lease != nil {
		a.core.Lease(m.Lease)
	}
	if m.Orders != nil {
		a.core.Orders(a.world.Now, m.Orders)
	}
	if m.EndsStored != nil {
		a.core.EndsStored(m.EndsStored)
	}
	a.act()
}
