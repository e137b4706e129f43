package fleet

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/fake/topics"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

// PowerLoss describes what is lost at once right after a job was accepted.
type PowerLoss struct {
	// Workers is set if the workers are lost as well. Each one starts again with another capacity.
	Workers bool
	// Others is the number of agents and workers, from the last, that keep running.
	Others int
	// Downtime is the time until the first process starts again; the others follow one by one.
	Downtime time.Duration
}

// LosePower makes the world lose what p describes when the nth job has been accepted. From
// before then until after the restart, workers carry out a part of the orders late and refuse a
// part of the others, and the store does appends without a response. After it, some workers do
// not respond to polls for a while.
func (w *World) LosePower(n int, p PowerLoss) {
	const stagger = 70 * time.Millisecond
	accepted := 0
	w.OnAccepted = func() {
		if accepted++; accepted == max(1, n-4) {
			w.lateOrders(4 * time.Second)
			w.refuseLate()
			w.After(1200*time.Millisecond, w.Store.Disturb(topics.Faults{LoseReplies: true}))
		}
		if accepted != n {
			return
		}
		for i, e := range w.Entries {
			e.Kill(p.Downtime + time.Duration(i)*stagger)
		}
		for i, a := range w.Agents[:len(w.Agents)-p.Others] {
			downtime := p.Downtime + time.Duration(i)*stagger
			a.Kill(downtime)
			if i%2 == 1 {
				a.PollsFail = true
				w.After(downtime+2*time.Second, func() { a.PollsFail = false })
			}
			if p.Workers {
				a.CrashResized(downtime+stagger, otherCapacity(i+n))
			}
		}
	}
}

// otherCapacity returns a capacity that differs from that of the other VMs. Two tasks fit into
// the smallest.
func otherCapacity(i int) place.Resources {
	return []place.Resources{
		{CPU: capacity.CPU / 2, Memory: capacity.Memory},
		{CPU: 2 * capacity.CPU, Memory: 2 * capacity.Memory},
		{CPU: capacity.CPU, Memory: capacity.Memory / 4},
	}[i%3]
}

// RestartResized makes all workers start again at once, each with another capacity and so
// quickly that nobody sees them gone. They do so together, because a task that has started again
// elsewhere when that worker ends as well may be given up.
func (w *World) RestartResized() {
	for i, a := range w.Agents {
		a.CrashResized(30*time.Millisecond, otherCapacity(i))
	}
}
