package fleet

import "time"

// Late counts orders that were executed late.
type Late struct {
	// Orders is their number, ToNext that of those that reached a later incarnation than the one
	// meant, Unreached that of those that did so before any poll, and Excused that of those that
	// came before a poll could have reached it.
	Orders, ToNext, Unreached, Excused int
	// Windows holds the times from each start of a worker to the first poll that reached it.
	Windows []time.Duration
}

// maxCopyDelay bounds the time from the start of a worker to the execution of a copy there.
const maxCopyDelay = 120 * time.Millisecond

// maxCopies bounds the copies that an incarnation of a worker executes, so that they do not exceed
// its capacity.
const maxCopies = 3

// executeCopies executes some of the copies of earlier starts soon, the latest ones.
func (a *Agent) executeCopies() {
	w := a.world
	for _, execute := range a.copies[max(0, len(a.copies)-maxCopies):] {
		w.After(time.Duration(w.rng.Int64N(int64(maxCopyDelay))), execute)
	}
	a.copies = nil
}

// noteReached records that a poll has reached the worker's present incarnation.
func (a *Agent) noteReached() {
	if a.reached == a.Worker.Lives() {
		return
	}
	if a.reached > 0 {
		a.world.Late.Windows = append(a.world.Late.Windows, a.Worker.Age(a.world.Now))
	}
	a.reached = a.Worker.Lives()
}

// Restart is a fault in which workers start again. AgentsRun is set if the agents run meanwhile.
type Restart struct {
	Fault
	AgentsRun bool
}

// Restarts lists faults in which workers start again under their ids, while copies of starts that
// were repeated arrive.
var Restarts = []Restart{
	{AgentsRun: true, Fault: Fault{"agents run", func(w *World) { w.copyStarts(); w.crashInTurn(nil) }}},
	{Fault: Fault{"agents restart too", func(w *World) {
		w.copyStarts()
		w.crashInTurn(func(a *Agent, i int) { a.Kill(time.Duration(i%5) * 60 * time.Millisecond) })
	}}},
	{AgentsRun: true, Fault: Fault{"no entry leads", func(w *World) {
		w.copyStarts()
		w.crashInTurn(nil)
		for i := range 4 {
			w.After(time.Duration(i)*2*time.Second, func() {
				for _, e := range w.Entries {
					e.Kill(700 * time.Millisecond)
				}
			})
		}
	}}},
	{AgentsRun: true, Fault: Fault{"polls are executed late", func(w *World) {
		w.copyStarts()
		w.crashInTurn(nil)
		w.DelayedPollShare = 0.05
		w.After(6*time.Second, func() { w.DelayedPollShare = 0 })
	}}},
	{AgentsRun: true, Fault: Fault{"their first heartbeats are late", func(w *World) {
		w.copyStarts()
		w.HeartbeatAtStart = false
		w.crashInTurn(func(a *Agent, i int) { a.Crash(time.Duration(170+20*i) * time.Millisecond) })
	}}},
	{Fault: Fault{"leaders and agents restart", func(w *World) {
		w.copyStarts()
		w.crashInTurn(nil)
		w.killAgents(6 * time.Second)
		for i := range 4 {
			w.After(time.Duration(i)*1300*time.Millisecond, func() { w.Leader().Kill(time.Second) })
		}
	}}},
}

// copyStarts copies a part of the starts, and lets workers list ends twice, for 8 s. Tasks are
// short, so that many runs have ended and are acknowledged when their copies arrive.
func (w *World) copyStarts() {
	w.HeartbeatAtStart = true
	w.CopiedShare, w.TaskTime = 0.5, 300*time.Millisecond
	w.After(8*time.Second, func() { w.CopiedShare = 0 })
	for _, a := range w.Agents {
		a.Worker.RepeatsEnds = true
	}
}

// crashInTurn crashes one worker after the other, for so short a time that the leader learns of it by the next
// incarnation only: if it had the tasks run elsewhere as soon as the worker is gone, such an order
// could be under way when a copy starts one of them. The crashes are so far apart that few tasks are
// under two of them, for which they would be given up. If beside is set, it is called at each crash.
func (w *World) crashInTurn(beside func(a *Agent, i int)) {
	for i, a := range w.Agents {
		w.After(time.Duration(i)*1700*time.Millisecond, func() {
			a.Crash(time.Duration(20+35*(i%4)) * time.Millisecond)
			if beside != nil {
				beside(a, i)
			}
		})
	}
}
