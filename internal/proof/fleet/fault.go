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
