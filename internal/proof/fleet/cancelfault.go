package fleet

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/fake/topics"
)

// pauseTime is how long after the injection of a fault processes may be paused.
const pauseTime = 9 * time.Second

// Cancels lists faults beside which jobs are cancelled.
var Cancels = []Fault{
	{"nothing else happens", func(*World) {}},
	{"leaders are paused", func(w *World) { w.pauseLeaders(2300 * time.Millisecond) }},
	{"agents are paused", func(w *World) { w.pauseAgents() }},
	{"agents are paused as they send starts", func(w *World) {
		w.PauseAtStartShare = 0.03
		w.After(pauseTime, func() { w.PauseAtStartShare = 0 })
	}},
	{"leaders and agents are paused", func(w *World) {
		w.pauseLeaders(2300 * time.Millisecond)
		w.pauseAgents()
	}},
	{"the leader and all agents are paused together", func(w *World) {
		for i := range 3 {
			w.After(time.Duration(i)*3*time.Second, func() {
				w.Leader().Pause(w.pauseLength())
				for _, a := range w.Agents {
					a.Pause(w.pauseLength())
				}
			})
		}
	}},
	{"leaders restart and agents are paused", func(w *World) {
		w.pauseAgents()
		for i := range 4 {
			w.After(time.Duration(i)*2100*time.Millisecond, func() { w.Leader().Kill(time.Second) })
		}
	}},
	{"all entries are paused in turn", func(w *World) {
		for i := range 12 {
			w.After(time.Duration(i)*700*time.Millisecond, func() { w.Entries[i%len(w.Entries)].Pause(w.pauseLength()) })
		}
	}},
	{"leaders are paused and answers of the store are lost", func(w *World) {
		w.pauseLeaders(2300 * time.Millisecond)
		for i := range 6 {
			w.After(time.Duration(i)*1500*time.Millisecond, func() {
				w.disruptCore(300 * time.Millisecond)
				w.After(300*time.Millisecond, w.Store.Disturb(topics.Faults{LoseReplies: true}))
			})
		}
	}},
	{"leaders and agents are paused and orders are late", func(w *World) {
		w.DelayedShare = 0.1
		w.After(pauseTime, func() { w.DelayedShare = 0 })
		w.pauseLeaders(2300 * time.Millisecond)
		w.pauseAgents()
	}},
	{"entries lose their leader and agents restart", func(w *World) {
		w.killAgents(pauseTime)
		for i := range 40 {
			w.After(time.Duration(i)*200*time.Millisecond, w.Entries[i%len(w.Entries)].loseLeader)
		}
	}},
	{"workers start again under their ids and agents are paused", func(w *World) {
		w.KeepIDs = true
		w.pauseAgents()
		for i, a := range w.Agents {
			w.After(time.Duration(i)*1700*time.Millisecond, func() { a.Crash(100 * time.Millisecond) })
		}
	}},
}

// pauseLeaders pauses the leader after each interval.
func (w *World) pauseLeaders(interval time.Duration) {
	for i := range int(pauseTime / interval) {
		w.After(time.Duration(i)*interval, func() { w.Leader().Pause(w.pauseLength()) })
	}
}

// pauseAgents pauses one agent after the other. Each one runs for contactTime between two pauses.
func (w *World) pauseAgents() {
	interval := (maxPause + contactTime) / time.Duration(len(w.Agents))
	for i := range int(pauseTime / interval) {
		w.After(time.Duration(i)*interval, func() { w.Agents[i%len(w.Agents)].Pause(w.pauseLength()) })
	}
}

// DriftClocks makes the clocks of workers run up to 2% apart from the others'.
func (w *World) DriftClocks() {
	for i, a := range w.Agents {
		a.Worker.ClockDrift = []float64{-0.02, 0.02, 0}[i%3]
	}
}
