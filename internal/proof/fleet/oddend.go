package fleet

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/fake/tasks"
)

// OddEnds lists faults in which workers list run ends that cannot be decoded.
var OddEnds = []Fault{
	{"their numbers are odd", func(w *World) { w.oddEnds(tasks.OddNumber) }},
	{"their outcomes are odd", func(w *World) { w.oddEnds(tasks.OddOutcome) }},
	{"their rows are odd", func(w *World) { w.oddEnds(tasks.OddRow) }},
	{"agents restart", func(w *World) {
		w.oddEnds(tasks.OddNumber, tasks.OddOutcome, tasks.OddRow)
		w.killAgents(6 * time.Second)
	}},
	{"leaders and agents restart and orders are late", func(w *World) {
		w.oddEnds(tasks.OddNumber, tasks.OddOutcome, tasks.OddRow)
		w.lateOrders(6 * time.Second)
		w.killAgents(6 * time.Second)
		for i := range 4 {
			w.After(time.Duration(i)*1300*time.Millisecond, func() { w.Leader().Kill(time.Second) })
		}
	}},
	{"agents are cut off and the store is slow", func(w *World) {
		w.oddEnds(tasks.OddNumber, tasks.OddOutcome, tasks.OddRow)
		w.slowStore()
		w.resetConnections()
	}},
}

// oddEnds makes half of the runs that end within 6 s have odd ends for good, each with one of the
// given oddities.
func (w *World) oddEnds(oddities ...tasks.Oddity) {
	for _, a := range w.Agents {
		a.Worker.Oddity = func() tasks.Oddity {
			if w.rng.IntN(2) == 0 {
				return tasks.NoOddity
			}
			return oddities[w.rng.IntN(len(oddities))]
		}
		w.After(6*time.Second, func() { a.Worker.Oddity = nil })
	}
}
