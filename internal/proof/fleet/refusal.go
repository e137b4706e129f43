package fleet

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/fake/topics"
)

// LateRefusals lists faults that act together with refusals of orders that arrive late.
var LateRefusals = []Fault{
	{"connections are reset", func(w *World) { w.refuseLate(); w.resetConnections() }},
	{"connections are reset and the store's answers are lost", func(w *World) {
		w.refuseLate()
		w.resetConnections()
		for i := range 6 {
			w.After(time.Duration(i)*time.Second, func() { w.After(300*time.Millisecond, w.Store.Disturb(topics.Faults{Refuse: true})) })
		}
	}},
	{"leaders restart", func(w *World) {
		w.refuseLate()
		for i := range 4 {
			w.After(time.Duration(i)*1300*time.Millisecond, func() { w.Leader().Kill(time.Second) })
		}
	}},
	{"workers refuse polls and the store is slow", func(w *World) {
		w.refuseLate()
		w.slowStore()
		for i, a := range w.Agents {
			w.After(time.Duration(i)*1100*time.Millisecond, func() { a.PollsFail = true })
			w.After(time.Duration(i)*1100*time.Millisecond+5*time.Second, func() { a.PollsFail = false })
		}
	}},
	{"leaders and agents restart and orders are late", func(w *World) {
		w.refuseLate()
		w.lateOrders(6 * time.Second)
		w.killAgents(6 * time.Second)
		for i := range 6 {
			w.After(time.Duration(i)*1100*time.Millisecond, func() { w.Leader().Kill(300 * time.Millisecond) })
		}
	}},
	{"everything restarts, orders are late, polls fail and the store is slow", func(w *World) {
		w.OrdersEndWithWorker = true
		w.refuseLate()
		w.slowStore()
		w.lateOrders(6 * time.Second)
		w.killAgents(6 * time.Second)
		w.resetConnections()
		for i := range 3 {
			w.After(time.Duration(i)*2100*time.Millisecond, func() { w.Leader().Kill(300 * time.Millisecond) })
		}
		for i, a := range w.Agents {
			w.After(time.Duration(i)*900*time.Millisecond, func() { a.PollsFail = true })
			w.After(time.Duration(i)*900*time.Millisecond+2*time.Second, func() { a.PollsFail = false })
			w.After(time.Duration(i)*1300*time.Millisecond, func() { a.Crash(400 * time.Millisecond) })
		}
	}},
}

// slowStore makes the store refuse for half of each second.
func (w *World) slowStore() {
	for i := range 6 {
		w.After(time.Duration(i)*time.Second, func() { w.After(500*time.Millisecond, w.Store.Disturb(topics.Faults{Refuse: true})) })
	}
}

// refuseLate makes workers refuse a part of the orders, with responses that arrive late, for 6 s.
func (w *World) refuseLate() {
	w.RefusedShare, w.RefusalDelay = 0.4, 400*time.Millisecond
	w.After(6*time.Second, func() { w.RefusedShare, w.RefusalDelay = 0, 0 })
}

// resetConnections ends the connections of one agent after the other, for 6 s.
func (w *World) resetConnections() {
	for i := range 30 {
		w.After(time.Duration(i)*200*time.Millisecond, func() { w.Agents[i%len(w.Agents)].disconnect() })
	}
}
