package fleet

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/fake/topics"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

// Fault is a fault that can be injected into a world.
type Fault struct {
	Name string
	// Inject starts the fault and schedules its end.
	Inject func(w *World)
}

// storeFault returns a function that gives the store faults for d.
func storeFault(f topics.Faults, d time.Duration) func(*World) {
	return func(w *World) {
		w.After(d, w.Store.Disturb(f))
	}
}

// shrink lets all VMs but one shrink for d, to nothing or to a part of their capacity, and grow
// again. The VM that keeps its capacity can run any task.
func shrink(d time.Duration) func(*World) {
	return func(w *World) {
		for i, a := range w.Agents[1:] {
			a.Worker.Resize(w.Now, []place.Resources{{}, {CPU: capacity.CPU / 3, Memory: capacity.Memory}, {CPU: capacity.CPU, Memory: capacity.Memory / 6}}[i%3])
			w.After(d, func() { a.Worker.Resize(w.Now, capacity) })
		}
	}
}

// Faults lists all faults. Tests select by index from a seed, so the order must not change.
var Faults = []Fault{
	{"leader killed", func(w *World) { w.Leader().Kill(time.Second) }},
	{"leader frozen", func(w *World) { w.Leader().Freeze(4 * time.Second) }},
	{"leader cut from the store", func(w *World) {
		e := w.Leader()
		e.Cut = true
		w.After(5*time.Second, func() { e.Cut = false })
	}},
	{"all entries killed", func(w *World) {
		for _, e := range w.Entries {
			e.Kill(time.Second)
		}
	}},
	{"everything loses power", func(w *World) {
		for _, e := range w.Entries {
			e.Kill(time.Second)
		}
		for _, a := range w.Agents {
			a.Kill(time.Second)
			a.Crash(time.Second)
		}
	}},
	{"store refuses", storeFault(topics.Faults{Refuse: true}, 4*time.Second)},
	{"store silent", storeFault(topics.Faults{Silent: true}, 9*time.Second)},
	{"store's answers lost", storeFault(topics.Faults{LoseReplies: true}, 2*time.Second)},
	{"agent killed", func(w *World) { w.Agents[0].Kill(time.Second) }},
	{"agent gone for long", func(w *World) { w.Agents[1].Kill(8 * time.Second) }},
	{"agent cut off", func(w *World) {
		w.Agents[0].Cut = true
		w.After(7*time.Second, func() { w.Agents[0].Cut = false })
	}},
	{"worker crashes", func(w *World) { w.Agents[0].Crash(500 * time.Millisecond) }},
	{"worker crashes for long", func(w *World) { w.Agents[2].Crash(6 * time.Second) }},
	{"worker silent", func(w *World) {
		w.Agents[1].Silent = true
		w.After(7*time.Second, func() { w.Agents[1].Silent = false })
	}},
	{"orders carried out late", func(w *World) {
		w.DelayedShare = 0.2
		w.After(5*time.Second, func() { w.DelayedShare = 0 })
	}},
	{"workers shrink and grow again", shrink(8 * time.Second)},
	{"a task crashes its workers", func(w *World) {
		for range 3 {
			w.Callers.SubmitDeadly()
		}
	}},
}

// LateOrders lists faults that act together with orders that workers carry out late. They are
// kept apart from Faults because each is a combination by itself.
var LateOrders = []Fault{
	{"workers refuse orders", func(w *World) {
		w.lateOrders(6 * time.Second)
		w.RefusedShare = 0.4
		w.After(6*time.Second, func() { w.RefusedShare = 0 })
	}},
	{"agents restart", func(w *World) {
		w.lateOrders(6 * time.Second)
		w.killAgents(6 * time.Second)
	}},
	{"agents restart and workers refuse orders", func(w *World) {
		w.lateOrders(6 * time.Second)
		w.killAgents(6 * time.Second)
		w.RefusedShare = 0.4
		w.After(6*time.Second, func() { w.RefusedShare = 0 })
	}},
	{"agents and leaders restart and polls fail", func(w *World) {
		w.TaskTime = 2500 * time.Millisecond
		for i := range 10 {
			a := w.Agents[i%len(w.Agents)]
			w.After(time.Duration(i)*900*time.Millisecond, func() { a.PollsFail = true; a.Kill(100 * time.Millisecond) })
			w.After(time.Duration(i)*900*time.Millisecond+1800*time.Millisecond, func() { a.PollsFail = false })
		}
		w.After(3*time.Second, func() {
			for _, e := range w.Entries {
				e.Kill(1500 * time.Millisecond)
			}
			for _, a := range w.Agents {
				a.PollsFail = true
				a.Kill(100 * time.Millisecond)
				w.After(2500*time.Millisecond, func() { a.PollsFail = false })
			}
		})
	}},
	{"agents restart and are cut off as they see their workers", func(w *World) {
		w.lateOrders(6 * time.Second)
		w.TaskTime = 6 * time.Second
		w.After(1500*time.Millisecond, func() { w.TaskTime = 0 })
		for i := range 10 {
			a := w.Agents[i%len(w.Agents)]
			restart := 4*time.Second + time.Duration(i)*1300*time.Millisecond
			w.After(restart, func() { a.Kill(time.Second) })
			w.After(restart+time.Second+time.Duration(i)*110*time.Millisecond, func() { a.Cut = true })
			w.After(restart+6*time.Second, func() { a.Cut = false })
		}
	}},
	{"leaders and agents restart", func(w *World) {
		w.lateOrders(6 * time.Second)
		w.killAgents(6 * time.Second)
		for i := range 4 {
			w.After(time.Duration(i)*1300*time.Millisecond, func() { w.Leader().Kill(time.Second) })
		}
	}},
	{"workers crash and agents restart", func(w *World) {
		w.OrdersEndWithWorker = true
		w.crashWorkersInTurn()
	}},
	{"workers start again under their ids and agents restart", (*World).crashWorkersInTurn},
	{"workers start again under their ids", func(w *World) {
		w.lateOrders(6 * time.Second)
		for i, a := range w.Agents {
			w.After(time.Duration(i)*900*time.Millisecond, func() { a.Crash(100 * time.Millisecond) })
		}
	}},
	{"workers start again under their ids after the time of day was set back", func(w *World) {
		w.lateOrders(6 * time.Second)
		for i, a := range w.Agents {
			w.After(time.Duration(i)*900*time.Millisecond, func() { a.Worker.SetBack = 20 * time.Second; a.Crash(50 * time.Millisecond) })
		}
	}},
}

// crashWorkersInTurn crashes each worker, while agents restart and orders are carried out late.
func (w *World) crashWorkersInTurn() {
	w.lateOrders(6 * time.Second)
	w.killAgents(6 * time.Second)
	for i, a := range w.Agents {
		w.After(time.Duration(i)*900*time.Millisecond, func() { a.Crash(400 * time.Millisecond) })
	}
}

// lateOrders makes a part of the orders go without response and be carried out late, for d.
func (w *World) lateOrders(d time.Duration) {
	w.DelayedShare = 0.3
	w.After(d, func() { w.DelayedShare = 0 })
}

// killAgents kills one agent after the other for a short time each, for d.
func (w *World) killAgents(d time.Duration) {
	const interval, downtime = 310 * time.Millisecond, 200 * time.Millisecond
	for i := range int(d / interval) {
		w.After(time.Duration(i)*interval, func() { w.Agents[i%len(w.Agents)].Kill(downtime) })
	}
}

// ScheduleWorkload schedules the jobs of a world. Together they need more than the VMs'
// capacity, and some are cancelled.
func (w *World) ScheduleWorkload() {
	for n := range 40 {
		cancelAfter := time.Duration(0)
		if n%9 == 4 {
			cancelAfter = 900 * time.Millisecond
		}
		w.After(500*time.Millisecond+time.Duration(n)*150*time.Millisecond, func() { w.Callers.Submit(n, cancelAfter) })
	}
}

// LateAppends lists faults that act together with appends that get no response and are executed
// late.
var LateAppends = []Fault{
	{"leaders are frozen", func(w *World) {
		w.lateAppends(6 * time.Second)
		for i := range 4 {
			w.After(time.Duration(i)*1700*time.Millisecond, func() { w.Leader().Freeze(1500 * time.Millisecond) })
		}
	}},
	{"leaders restart", func(w *World) {
		w.lateAppends(6 * time.Second)
		for i := range 4 {
			w.After(time.Duration(i)*1300*time.Millisecond, func() { w.Leader().Kill(time.Second) })
		}
	}},
	{"everything loses power", func(w *World) {
		w.lateAppends(6 * time.Second)
		w.After(2*time.Second, func() {
			for i, e := range w.Entries {
				e.Kill(time.Duration(i+1) * 500 * time.Millisecond)
			}
			for _, a := range w.Agents {
				a.Kill(time.Second)
				a.Crash(time.Second)
			}
		})
	}},
	{"entries lose their leader and their messages are late", func(w *World) {
		w.lateAppends(6 * time.Second)
		for i := range 40 {
			w.After(time.Duration(i)*150*time.Millisecond, w.Entries[i%len(w.Entries)].loseLeader)
		}
		for _, e := range w.Entries {
			e.MessagesLate = true
			w.After(6*time.Second, func() { e.MessagesLate = false })
		}
	}},
}

// lateAppends makes a part of the appends go without response and be executed late, for d.
func (w *World) lateAppends(d time.Duration) {
	w.LateAppendShare = 0.4
	w.After(d, func() { w.LateAppendShare = 0 })
}
