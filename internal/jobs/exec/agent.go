// Package exec implements the decisions of an agent. The agent carries out the leader's
// orders at the worker on its VM, extends the lease of the runs there while a leader
// permits it, and reports the end of each run until the leader has stored it.
//
// The package makes no calls. The process around it makes the Calls that the Agent
// returns and passes their results back.
package exec

import (
	"log/slog"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

const (
	// maxClockDrift is the fraction by which the worker's clock may be slow, including a
	// safety margin.
	maxClockDrift = 0.03
	// leaseEndSlack is the time after the end of the worker's lease at which the worker
	// has certainly stopped all runs.
	leaseEndSlack = 100 * time.Millisecond
	// maxEarlierLease is how long after an agent's first knowledge of a worker's incarnation a
	// lease may go on that an earlier process of the agent extended.
	maxEarlierLease = msgs.LeaseDuration
	// noWorkerTimeout is how long connections to the worker's address must have been
	// refused before the worker's incarnation counts as over.
	noWorkerTimeout = 150 * time.Millisecond
	// maxStartTries is the number of tries of a start before the agent stops the run.
	maxStartTries = 3
	// maxOrderDelay is how long after an order got no response a worker may still carry it out.
	maxOrderDelay = 30 * time.Second
	// maxLost bounds the number of lost runs that the agent remembers. Orders to start them are
	// on their way for much less time than it takes to reach it.
	maxLost = 4096
)

// Agent is the state of an agent. Create it with New. It is not safe for concurrent use.
type Agent struct {
	log *slog.Logger
	// node is the agent's name.
	node string
	// vm is what the leader is told of the worker. Its incarnation is startTime, or a higher
	// number if an earlier process under the worker's id had a later start time.
	vm msgs.VM
	// startTime is when the worker's process started, in Unix milliseconds by its own account.
	// It is lower than that of an earlier process if the time of day was set back in between.
	startTime int64
	// answeredAt is when the worker last answered a poll.
	answeredAt time.Time
	// present is set while the agent knows of a worker that is not gone, confirmed once that
	// worker has answered a poll. The leader is told nothing of a worker that is not confirmed.
	present, confirmed bool
	// announced is the latest heartbeat of another worker, or of a later incarnation. Its VM
	// has no ID if there is none. The first one of that incarnation arrived at announcedAt.
	announced   port.Heartbeat
	announcedAt time.Time
	// tokenIncarnation is the least incarnation from which fencing tokens are derived. It never
	// falls, so that no process at the worker's address accepts an order sent before its raise.
	tokenIncarnation int64
	// tokenUsed is set once the present fencing token was used for an order.
	tokenUsed bool
	// fencedPolls is the number of consecutive polls that the worker refused for their fencing
	// tokens.
	fencedPolls int
	// searchUntil is until when the agent polls the worker's address while it knows of no
	// worker, zero before the first such poll of this process.
	searchUntil time.Time
	// gone is the latest confirmed worker that is gone. Its next process may start under its id.
	gone msgs.VM
	// lateUntil is until when the worker may carry out a start that got no response.
	lateUntil time.Time
	// epoch is the highest epoch known. connected is set while the agent is connected to
	// the leader of that epoch, and synced once that leader has been sent all runs.
	epoch             uint64
	connected, synced bool
	// leaseUntil is the end of the lease that the leader granted, startUntil until when the worker
	// may start runs under it.
	leaseUntil, startUntil time.Time
	// workerClock is a reading of the worker's clock. It was taken at workerClockAt or
	// before.
	workerClock   time.Duration
	workerClockAt time.Time
	// heartbeat is the number and the clock reading of the latest heartbeat of the worker's
	// incarnation. The clock reading is no later than the worker's clock was.
	heartbeat heartbeat
	// knownSince is when this process learned of the worker's incarnation.
	knownSince time.Time
	// deadline is the latest end of the lease that this process sent to the worker, on the
	// worker's clock.
	deadline time.Duration
	runs     map[runKey]*run
	// ends holds the run ends that the leader has not stored. storedEnd is the highest
	// number of an end that it has.
	ends      []msgs.RunEnd
	storedEnd int64
	// unnumbered holds the runs of which the worker has listed an end without a number.
	unnumbered map[runKey]bool
	// crashes holds the crashes of workers that the leader has not stored, lastCrash the
	// number of the latest one. Neither belongs to an incarnation of the worker.
	crashes   []msgs.Crash
	lastCrash uint64
	// pendingRequests holds the send times of lease requests without a response, by
	// sequence number.
	pendingRequests map[uint64]time.Time
	// seq is the sequence number of the latest lease request, requestedAt the time when
	// it was sent.
	seq         uint64
	requestedAt time.Time
	// listSeq is the sequence number of the latest Synced lease request.
	listSeq uint64
	// noWorkerSince is when connections to the worker's address began to be refused,
	// zero if they are not.
	noWorkerSince time.Time
	// pollFailed is set if the latest poll failed. The worker may then have restarted and
	// numbered its run ends from the start again.
	pollFailed bool
	// silentSince is when the first of the latest consecutive failed polls failed, zero if the
	// latest poll did not fail.
	silentSince time.Time
	// lost holds the runs that were reported as lost to the connected leader. An order to start
	// one may still be on its way.
	lost map[runKey]bool
	// calls holds the calls to make, out the messages to send to the leader.
	calls []Call
	out   []*msgs.Message
}

// Call is a call to the worker that the process must make. Exactly one of Start, Stop and
// Throttle is set.
type Call struct {
	Start    *port.StartOrder
	Stop     *port.Order
	Throttle *port.Order
	// Percent is the speed limit that belongs to Throttle.
	Percent int
	// Incarnation identifies the worker's incarnation that the call is meant for.
	Incarnation int64
	// After is the delay before the call.
	After time.Duration
}

// New returns an agent with the given name that knows of no worker yet.
func New(node string, log *slog.Logger) *Agent {
	return &Agent{node: node, log: log, runs: map[runKey]*run{}, unnumbered: map[runKey]bool{}, pendingRequests: map[uint64]time.Time{}}
}

// Epoch returns the highest epoch known.
func (a *Agent) Epoch() uint64 { return a.epoch }

// VM returns the description of the VM. Its ID is empty if no worker is known.
func (a *Agent) VM() msgs.VM { return a.vm }

// Calls returns the calls to make and removes them from the agent.
func (a *Agent) Calls() []Call {
	calls := a.calls
	a.calls = nil
	return calls
}

// Messages returns the messages to the leader and removes them from the agent.
func (a *Agent) Messages() []*msgs.Message {
	out := a.out
	a.out = nil
	return out
}

// send adds a message to the leader. It drops the message if no leader is connected.
func (a *Agent) send(m *msgs.Message) {
	if a.connected {
		a.out = append(a.out, m)
	}
}

// LeaderConnected must be called when a connection to the leader of an epoch is open. It
// returns false if a later leader is known; the agent then ignores the connection.
func (a *Agent) LeaderConnected(epoch uint64) bool {
	if epoch < a.epoch {
		return false
	}
	a.epoch, a.connected, a.synced = epoch, true, false
	a.requestedAt = time.Time{}
	a.pendingRequests = map[uint64]time.Time{}
	a.lost = map[runKey]bool{}
	return true
}

// LeaderDisconnected must be called when the connection to the leader has ended.
func (a *Agent) LeaderDisconnected() {
	a.connected, a.synced = false, false
	a.out = nil
}

// Heartbeat processes a heartbeat of the worker.
func (a *Agent) Heartbeat(now time.Time, h port.Heartbeat) {
	known, started := a.vm.ID != "", h.VM.Incarnation
	if a.isKnown(h.VM) {
		h.VM.Incarnation = a.vm.Incarnation
	}
	other := known && !sameIncarnation(h.VM, a.vm)
	switch {
	case known && a.confirmed && started < a.startTime:
		a.log.Info("ignored a heartbeat of an earlier incarnation", "vm", h.VM.ID, "life", started, "latest", a.startTime)
		return
	case known && !other && a.heartbeat.after(h):
		a.log.Info("ignored an earlier heartbeat", "vm", h.VM.ID, "life", h.VM.Incarnation, "seq", h.Seq, "latest", a.heartbeat.seq)
		return
	case other && a.confirmed:
		a.announce(now, h)
		return
	case other:
		a.workerGone(now, "another worker sent a heartbeat before it was confirmed")
	case known && !a.present:
		a.log.Info("the worker has sent a heartbeat again", "vm", h.VM.ID, "life", h.VM.Incarnation)
		a.synced = false
	}
	changed := !known || !a.present || h.VM.Draining != a.vm.Draining || h.VM.Capacity != a.vm.Capacity
	if changed {
		a.log.Info("worker seen", "vm", h.VM.ID, "life", h.VM.Incarnation, "service", h.VM.Service, "draining", h.VM.Draining,
			"remaining", h.VM.Remaining, "capacity", h.VM.Capacity, "before", a.vm.Capacity, "seq", h.Seq)
	}
	a.noteHeartbeat(now, h)
	if !a.present {
		a.present = true
		a.noWorkerSince = time.Time{}
		a.workerClock, a.workerClockAt, a.knownSince = 0, time.Time{}, now // the first poll reads the clock
	}
	if a.vm.Draining && h.VM.Incarnation == a.vm.Incarnation {
		h.VM.Draining = true // draining is final for an incarnation
	}
	a.vm, a.startTime = h.VM, started
	a.vm.Node = a.node
	if changed && a.synced {
		a.requestLease(now, false)
	}
}

// newIncarnation discards the state of the worker's previous incarnation, of which
// nothing runs any more. startTime is that of the next one.
func (a *Agent) newIncarnation(now time.Time, startTime int64) {
	a.noteCrash(now)
	incarnation := max(startTime, a.vm.Incarnation+1)
	a.log.Info("the worker has restarted", "vm", a.vm.ID, "life", incarnation, "before", a.vm.Incarnation, "start", startTime, "startBefore", a.startTime, "runs", len(a.runs))
	a.reset()
	a.raiseToken(now, 1)
	a.vm.Incarnation, a.startTime = incarnation, startTime
	a.vm.Draining = false
	a.vm.Capacity = place.Resources{} // until a heartbeat tells that of the new incarnation
	a.workerClock, a.workerClockAt, a.knownSince = 0, now, now
	a.synced = false
}

// reset discards the state of the worker's incarnation.
func (a *Agent) reset() {
	a.runs, a.unnumbered = map[runKey]*run{}, map[runKey]bool{}
	a.ends, a.storedEnd, a.deadline = nil, 0, 0
	a.heartbeat = heartbeat{}
	a.workerClock, a.workerClockAt = 0, time.Time{}
	a.noWorkerSince, a.silentSince = time.Time{}, time.Time{}
}

// workerGone reports the worker's incarnation as over and discards its state. The caller
// has made sure that none of its runs is left.
func (a *Agent) workerGone(now time.Time, reason string) {
	a.log.Info("the worker is gone", "vm", a.vm.ID, "life", a.vm.Incarnation, "runs", len(a.runs), "unstoredEnds", len(a.ends), "reason", reason,
		"leaseLeft", a.leaseLeft(now))
	if a.confirmed {
		a.gone = a.vm
		down := a.vm
		down.Down = true
		a.reportEnds()
		a.sendLeaseRequest(now, &msgs.LeaseRequest{VM: down})
	}
	a.reset()
	a.fenceOrders(now)
	a.searchUntil = now.Add(maxOrderDelay)
	a.vm = msgs.VM{}
	a.present, a.confirmed, a.synced = false, false, false
	a.adoptAnnounced(now)
}
