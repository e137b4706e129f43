package exec

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
)

const (
	// maxBeats bounds the beats whose answers are awaited.
	maxBeats = 64
	// beatAfter spaces beats that follow a look, whose measurements are fresh, beatLate
	// those that follow none.
	beatAfter = 330 * time.Millisecond
	beatLate  = 600 * time.Millisecond
)

// LeaseRequest announces the VM to the leader, or only the agent while no worker is known. It
// does nothing while no leader is connected.
func (a *Agent) LeaseRequest(now time.Time) {
	if a.joined && now.Sub(a.beatAt) >= beatLate {
		a.beat(now, false)
	}
}

func (a *Agent) beat(now time.Time, synced bool) {
	b := &msgs.LeaseRequest{Synced: synced, RunsListed: a.synced || synced, VM: a.vm}
	if !a.present {
		a.sendBeat(now, b)
		return
	}
	if b.RunsListed {
		for k, r := range a.runs {
			row := r.row
			row.Task, row.Run = k.task, k.number
			b.Runs = append(b.Runs, row)
		}
		if synced {
			for _, e := range a.ends {
				b.Runs = append(b.Runs, msgs.RunStatus{Task: e.Task, Run: e.Run})
			}
		}
	}
	a.sendBeat(now, b)
}

func (a *Agent) sendBeat(now time.Time, b *msgs.LeaseRequest) {
	if len(a.beats) >= maxBeats {
		a.beats = map[uint64]time.Time{}
	}
	a.beatAt = now
	a.seq++
	b.Seq = a.seq
	a.beats[b.Seq] = now
	a.send(&msgs.Message{LeaseRequest: b})
}

// Lease takes the leader's answer to a beat.
func (a *Agent) Lease(l *msgs.Lease) {
	sent, ok := a.beats[l.Seq]
	if !ok {
		return
	}
	delete(a.beats, l.Seq)
	if l.Resync {
		a.synced = false
	}
	if until := sent.Add(l.ValidFor); until.After(a.permitted) {
		a.permitted = until
	}
}

// lease returns the end of the lease on the worker's clock, 0 if none is permitted.
// The clock's reading may be old, in which case the lease ends early.
func (a *Agent) lease(now time.Time) time.Duration {
	if a.clockAt.IsZero() || !now.Before(a.permitted) {
		return 0
	}
	return a.clock + a.permitted.Sub(a.clockAt)
}

// lapsed reports whether the worker's lease has ended by its own clock, even if that
// is slow.
func (a *Agent) lapsed(now time.Time) bool {
	passed := time.Duration(float64(now.Sub(a.clockAt)) * (1 - clockSlow))
	return a.clock+passed > a.deadline+lapseSlack
}

// EndsStored notes which ends the leader has stored.
func (a *Agent) EndsStored(m *msgs.EndsStored) {
	if m.VM != a.vm.ID || m.Life != a.vm.Life || m.Number <= a.seen {
		return
	}
	a.seen = m.Number
	kept := a.ends[:0]
	for _, e := range a.ends {
		if e.Number > a.seen {
			kept = append(kept, e)
		}
	}
	a.ends = kept
}

// HasUnstoredEnds reports whether the leader has still to store an end.
func (a *Agent) HasUnstoredEnds() bool { return len(a.ends) > 0 }

const (
	// lifeBits is how many bits of a fence tell the worker's life, lifeUnit what the
	// lowest one stands for.
	lifeBits = 31
	lifeUnit = 128 // milliseconds
)

// fence returns the token of orders to the worker in its present life. It grows with
// the epoch and, within one, with the worker's lives: a worker that was started again
// has seen no fence, and must refuse what was meant for its earlier life.
func (a *Agent) fence() uint64 {
	return a.epoch<<lifeBits | uint64(a.vm.Life/lifeUnit)&(1<<lifeBits-1)
}
