package fleet

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/exec"
)

const (
	// leaderTimeout is how long a paused leader may send nothing before another entry claims the
	// leadership.
	leaderTimeout = 900 * time.Millisecond
	// minPause and maxPause bound the length of pauses. A process that was paused for longer is not
	// in touch.
	minPause, maxPause = 500 * time.Millisecond, contactTime - 50*time.Millisecond
)

// pausing is the state of a process that may be paused. Its clocks run on meanwhile.
type pausing struct {
	until time.Time
	// waiting holds what happens at the process once it runs again, in the order of arrival.
	waiting []func()
}

// Pause pauses the agent's process for d. What arrives meanwhile waits. Nobody is told of a pause, so
// it is no disruption that excuses anything.
func (a *Agent) Pause(d time.Duration) {
	until := a.world.Now.Add(d)
	if a.Dead || !until.After(a.until) {
		return
	}
	a.until = until
	incarnation := a.incarnations
	a.world.After(d, func() {
		if incarnation == a.incarnations && !a.paused() {
			a.wake()
		}
	})
}

// paused reports whether the agent's process is paused.
func (a *Agent) paused() bool { return a.world.Now.Before(a.until) }

// wake handles what has waited while the process was paused.
func (a *Agent) wake() {
	waiting := a.waiting
	a.waiting = nil
	for _, f := range waiting {
		f()
	}
}

// deferred keeps f until the agent's process runs again, and reports whether it is paused.
func (a *Agent) deferred(f func()) bool {
	if !a.paused() {
		return false
	}
	a.waiting = append(a.waiting, f)
	return true
}

// pauseAtStart pauses the agent's process as it sends a call, by World.PauseAtStartShare.
func (a *Agent) pauseAtStart(c exec.Call) {
	if w := a.world; c.Start != nil && w.PauseAtStartShare > 0 && w.rng.Float64() < w.PauseAtStartShare {
		a.Pause(w.pauseLength())
	}
}

// Pause pauses the entry's process for d, as Freeze does, but nobody is told of it: other entries
// notice only after leaderTimeout that it does not lead.
func (e *Entry) Pause(d time.Duration) {
	if e.Dead || e.Frozen {
		return
	}
	e.unnoticedUntil, e.pausedUntil = e.world.Now.Add(min(d, leaderTimeout)), e.world.Now.Add(d)
	e.Freeze(d)
}

// unnoticed reports whether the entry is paused and others have not noticed it.
func (e *Entry) unnoticed() bool {
	return e.Frozen && !e.Dead && e.world.Now.Before(e.unnoticedUntil)
}

// pauseLength returns the length of the next pause.
func (w *World) pauseLength() time.Duration {
	return minPause + time.Duration(w.rng.Int64N(int64(maxPause-minPause)))
}
