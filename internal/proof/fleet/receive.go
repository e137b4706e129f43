package fleet

import "github.com/ebonyarch/ebonyarch/internal/jobs/msgs"

// receive handles a message from the leader that arrives over a connection. A process that is paused
// handles it when it wakes, also if the connection has ended by then.
func (a *Agent) receive(conn uint64, m *msgs.Message) {
	if !a.Dead && !a.Cut && conn == a.conn {
		a.handle(a.incarnations, m)
	}
}

// handle handles a message that an incarnation of the agent's process has received.
func (a *Agent) handle(incarnation int, m *msgs.Message) {
	if a.deferred(func() { a.handle(incarnation, m) }) || a.Dead || incarnation != a.incarnations {
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
	if m.CrashesStored != nil {
		a.core.CrashesStored(m.CrashesStored)
	}
	a.act()
}
