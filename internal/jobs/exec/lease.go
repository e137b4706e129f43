package exec

import (
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
)

const (
	// maxPendingRequests is the maximum number of lease requests that wait for a
	// response.
	maxPendingRequests = 64
	// requestAfterPoll is the minimum interval of lease requests that follow a poll and
	// thus carry recent measurements.
	requestAfterPoll = 330 * time.Millisecond
	// requestInterval is the minimum interval of lease requests that follow no poll.
	requestInterval = 600 * time.Millisecond
	// maxStartDelay is how long after the agent sent the latest lease request that the leader granted
	// a worker may start a run. What the leader has given up since then may not have arrived. It is
	// less than the 3 s within which no task of a cancelled job starts any more.
	maxStartDelay = 2800 * time.Millisecond
)

// LeaseRequest sends a lease request if the latest one was sent requestInterval ago. While
// no worker is known, the request only tells the leader that the agent is alive. It does
// nothing while no leader is connected.
func (a *Agent) LeaseRequest(now time.Time) {
	if a.connected && now.Sub(a.requestedAt) >= requestInterval {
		a.requestLease(now, false)
	}
}

// requestLease sends a lease request. If synced is set, it is the first one after a poll in
// the leader's epoch.
func (a *Agent) requestLease(now time.Time, synced bool) {
	if !a.present || !a.confirmed {
		a.sendLeaseRequest(now, &msgs.LeaseRequest{})
		return
	}
	req := &msgs.LeaseRequest{Synced: synced, RunsListed: a.synced || synced, VM: a.vm}
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

// sendLeaseRequest numbers and sends a request, and records when it was sent.
func (a *Agent) sendLeaseRequest(now time.Time, req *msgs.LeaseRequest) {
	if len(a.pendingRequests) >= maxPendingRequests {
		a.pendingRequests = map[uint64]time.Time{}
	}
	a.requestedAt = now
	a.seq++
	req.Seq = a.seq
	a.pendingRequests[req.Seq] = now
	if req.Synced {
		a.listSeq = req.Seq
	}
	m := &msgs.Message{LeaseRequest: req, Crashes: slices.Clone(a.crashes)}
	if req.RunsListed {
		m.Unproven = a.unproven()
	}
	a.send(m)
}

// Lease processes the leader's response to a lease request.
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
	if until := sent.Add(min(l.ValidFor, maxStartDelay)); until.After(a.startUntil) {
		a.startUntil = until
	}
}

// leaseDeadline returns the end of the lease on the worker's clock, or 0 if the leader
// grants none. An old reading of that clock makes the lease end early, never late, also if the
// clock has been slow since.
func (a *Agent) leaseDeadline(now time.Time) time.Duration { return a.onWorkerClock(now, a.leaseUntil) }

// startDeadline returns until when the worker may start runs, on its clock, or 0 if it may start
// none. The worker refuses a start that arrives later, however long a pause of this process held it.
func (a *Agent) startDeadline(now time.Time) time.Duration { return a.onWorkerClock(now, a.startUntil) }

// onWorkerClock returns what the worker's clock shows at a time, or earlier, and 0 if that time has
// passed or no reading of the clock is known.
func (a *Agent) onWorkerClock(now, t time.Time) time.Duration {
	if a.workerClockAt.IsZero() || !now.Before(t) {
		return 0
	}
	return a.workerClock + time.Duration(float64(t.Sub(a.workerClockAt))*(1-maxClockDrift))
}

// leaseLeft returns how long the lease that this process has extended goes on at the worker, 0 if
// it has extended none.
func (a *Agent) leaseLeft(now time.Time) time.Duration {
	if a.deadline == 0 {
		return 0
	}
	return a.deadline - a.workerClock - now.Sub(a.workerClockAt)
}

// leaseExpired reports whether the worker's lease has ended on the worker's clock, even if
// that clock is slow and an earlier process of the agent extended the lease.
func (a *Agent) leaseExpired(now time.Time) bool {
	passedSince := func(t time.Time) time.Duration {
		return time.Duration(float64(now.Sub(t)) * (1 - maxClockDrift))
	}
	return a.workerClock+passedSince(a.workerClockAt) > a.deadline+leaseEndSlack &&
		passedSince(a.knownSince) > maxEarlierLease+leaseEndSlack
}

// EndsStored processes the leader's message that it has stored run ends.
func (a *Agent) EndsStored(m *msgs.EndsStored) {
	if m.VM != a.vm.ID || m.Incarnation != a.vm.Incarnation || m.Number <= a.storedEnd {
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

// HasUnstoredEnds reports whether there are run ends that the leader has not stored.
func (a *Agent) HasUnstoredEnds() bool { return len(a.ends) > 0 }

const (
	// incarnationBits is the number of low bits of a fencing token that identify the
	// worker's incarnation.
	incarnationBits = 31
	// incarnationUnit is the unit of these bits, in milliseconds of the worker's start time.
	incarnationUnit = 128
	// maxFencedPolls bounds the polls in a row that raise the token, and so the bits that are
	// raised: they stay below the epoch's.
	maxFencedPolls = 24
)

// fencingToken returns the token for orders to the current incarnation of the worker. It
// increases with the epoch and, within an epoch, with the incarnation: a restarted worker
// has accepted no token yet, and must refuse orders to its earlier incarnation.
func (a *Agent) fencingToken() uint64 {
	return a.epoch<<incarnationBits | uint64(max(a.vm.Incarnation, a.tokenIncarnation)/incarnationUnit)&(1<<incarnationBits-1)
}

// fenceOrders makes the next poll's fencing token higher than those of all orders before it,
// also of an earlier process. Tokens stay close to the time, because the next process of the
// agent starts from there.
func (a *Agent) fenceOrders(now time.Time) {
	units := int64(0)
	if a.tokenUsed {
		units = 1
	}
	a.raiseToken(now, units)
}

// raiseToken makes the fencing tokens rise by the given number of units, and at least to the
// incarnation of a worker that starts now.
func (a *Agent) raiseToken(now time.Time, units int64) {
	a.tokenIncarnation = max(now.UnixMilli(), max(a.vm.Incarnation, a.tokenIncarnation)+units*incarnationUnit)
	a.tokenUsed = false
}

// exceedFence raises the token after the worker has refused it. Only an earlier process of the
// agent can have sent the higher one. If that one followed a later leader, polls are refused
// until this process follows one too.
func (a *Agent) exceedFence(now time.Time) {
	if a.fencedPolls >= maxFencedPolls {
		return
	}
	a.raiseToken(now, 1<<a.fencedPolls)
	a.fencedPolls++
	a.log.Info("raises its fencing token, as the worker has accepted a higher one", "vm", a.vm.ID, "life", a.vm.Incarnation, "polls", a.fencedPolls)
}
