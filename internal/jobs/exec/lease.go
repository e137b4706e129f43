package exec

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
)

const (
	// maxPendingRequests bounds the beats whose answers are awaited.
	maxPendingRequests = 64
	// requestAfterPoll spaces beats that follow a look, whose measurements are fresh, beatLate
	// those that follow none.
	requestAfterPoll = 330 * time.Millisecond
	requestInterval  = 600 * time.Millisecond
)

// LeaseRequest announces the VM to the leader, or only the agent while no worker is known. It
// does nothing while no leader is connected.
func (a *Agent) LeaseRequest(now time.Time) {
	if a.connected && now.Sub(a.requestedAt) >= requestInterval {
		a.requestLease(now, false)
	}
}

func (a *Agent) requestLease(now time.Time, synced bool) {
	req := &msgs.LeaseRequest{Synced: synced, RunsListed: a.synced || synced, VM: a.vm}
	if !a.present {
		a.sendLeaseRequest(now, req)
		return
	}
	if req.RunsListed {
		for k, r := range a.runs {
			status := r.status
			status.Task, status.Run = k.task, k.number
			req.Runs = append(req.Runs, status)
		}
		if synced {
			for _, e := range a.ends {
				req.Runs = append(req.Runs, msgs.RunStatus{Task: e.Task, Run: e.Run})
			}
		}
	}
	a.sendLeaseRequest(now, req)
}

func (a *Agent) sendLeaseRequest(now time.Time, b *msgs.LeaseRequest) {
	if len(a.pendingRequests) >= maxPendingRequests {
		a.pendingRequests = map[uint64]time.Time{}
	}
	a.requestedAt = now
	a.seq++
	b.Seq = a.seq
	a.pendingRequests[b.Seq] = now
	a.send(&msgs.Message{LeaseRequest: b})
}

// Lease takes the leader's answer to a beat.
func (a *Agent) Lease(l *msgs.Lease) {
	sent, ok := a.pendingRequests[l.Seq]
	if !ok {
		return
	}
	delete(a.pendingRequests, l.Seq)
	if l.Resync {
		a.synced = false
	}
	if until := sent.Add(l.ValidFor); until.After(a.leaseUntil) {
		a.leaseUntil = until
	}
}

// leaseDeadline returns the end of the lease on the worker's clock, 0 if none is permitted.
// The clock's reading may be old, in which case the lease ends early.
func (a *Agent) leaseDeadline(now time.Time) time.Duration {
	if a.workerClockAt.IsZero() || !now.Before(a.leaseUntil) {
		return 0
	}
	return a.workerClock + a.leaseUntil.Sub(a.workerClockAt)
}

// leaseExpired reports whether the worker's lease has ended by its own clock, even if that
// is slow.
func (a *Agent) leaseExpired(now time.Time) bool {
	passed := time.Duration(float64(now.Sub(a.workerClockAt)) * (1 - maxClockDrift))
	return a.workerClock+passed > a.deadline+leaseEndSlack
}

// EndsStored notes which ends the leader has stored.
func (a *Agent) EndsStored(m *msgs.EndsStored) {
	if m.VM != a.vm.ID || m.Life != a.vm.Life || m.Number <= a.storedEnd {
		return
	}
	a.storedEnd = m.Number
	kept := a.ends[:0]
	for _, e := range a.ends {
		if e.Number > a.storedEnd {
			kept = append(kept, e)
		}
	}
	a.ends = kept
}

// HasUnstoredEnds reports whether the leader has still to store an end.
func (a *Agent) HasUnstoredEnds() bool { return len(a.ends) > 0 }

const (
	// incarnationBits is how many bits of a fence tell the worker's life, lifeUnit what the
	// lowest one stands for.
	incarnationBits = 31
	incarnationUnit = 128 // milliseconds
)

// fencingToken returns the token of orders to the worker in its present life. It grows with
// the epoch and, within one, with the worker's lives: a worker that was started again
// has seen no fence, and must refuse what was meant for its earlier life.
func (a *Agent) fencingToken() uint64 {
	return a.epoch<<incarnationBits | uint64(a.vm.Life/incarnationUnit)&(1<<incarnationBits-1)
}
