// Package lead implements the leading entry: it responds to callers, assigns waiting
// tasks to VMs, and follows their runs until they end.
//
// A Leader changes its job table at once. The messages that result from a change, such as
// responses, orders and acknowledgements, are held back until the change is in the store,
// so that a later leader knows of every order that may exist. The store rejects the
// appends of an earlier leader, and agents reject its orders.
package lead

import (
	"log/slog"
	"maps"
	"math/bits"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/jobs/plan"
	"github.com/ebonyarch/ebonyarch/internal/jobs/table"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

const (
	// LeaseDuration is as in package msgs.
	LeaseDuration = msgs.LeaseDuration
	// clockDriftMargin is the fraction by which a worker's clock may run slow, including a
	// safety margin.
	clockDriftMargin = 0.04
	// leaseSlack is added to each wait until a lease has ended.
	leaseSlack = 200 * time.Millisecond
	// StoreTimeout is how long a leader grants leases after the store last confirmed its
	// leadership. An earlier leader may thus have granted a lease up to this long after it
	// was replaced, so a new leader adds StoreTimeout to the lease of each VM that has not
	// contacted it.
	StoreTimeout = 4 * time.Second
	// storeSlowAfter is how long an append may be unconfirmed before new jobs are refused.
	storeSlowAfter = 700 * time.Millisecond
	// endedRetention is how long the state of an ended job is kept.
	endedRetention = 150 * time.Second
)

// Leader holds the state of one leadership. Create it with New. It is not safe for
// concurrent use.
type Leader struct {
	epoch uint64
	// since is when the leadership began.
	since time.Time
	table *table.Table
	cfg   model.Config
	// vms holds the VMs by id.
	vms map[string]*vm
	// vmByConn holds the id of the VM of each agent's connection.
	vmByConn map[uint64]string
	// vmsByNode holds the VMs whose agent has a name, by that name: the one of the present
	// worker and those of earlier ones until they are removed.
	vmsByNode    map[string][]*vm
	durations    durationEstimates
	interference interference
	backoffs     backoffs
	onTimePlan   onTimePlan
	// idle holds, for each active job without a run, the time since which it has none. A run that
	// was placed but has not started changes nothing.
	idle map[model.ID]time.Time
	// suspectSince holds, for each waiting task that may have crashed a worker, since when it
	// could start.
	suspectSince map[model.TaskRef]time.Time
	latestCrash  latestCrash
	// advice holds the advisor's tickets for stages. adviceRequest is the request that is
	// due or in flight; adviceInFlight is set once AdviceRequest has returned it.
	advice         map[plan.StageKey]*stageAdvice
	adviceRequest  *AdviceRequest
	adviceInFlight bool
	// outbound holds the messages that may be sent now.
	outbound []OutboundMessage
	// heldForStore holds the messages that must wait until the changes before them are
	// stored, the oldest first.
	heldForStore []heldMessage
	// heldRequests holds the requests that the next batch confirms.
	heldRequests []heldRequest
	// inFlight is the batch that is being appended to the store, if any.
	inFlight *Batch
	// maxBatchJobs limits the jobs in a batch after the store has rejected one; 0 means unlimited.
	maxBatchJobs int
	// jobMemory limits what the jobs in the table may take, in bytes; 0 means unlimited.
	jobMemory int64
	// maxRuns limits the runs of each VM; 0 means unlimited.
	maxRuns int
	// pendingReplies holds the requests that get a response once their job is stored.
	pendingReplies map[model.ID][]pendingReply
	// storeConfirmedAt is when the latest append that the store confirmed was sent.
	storeConfirmedAt time.Time
	// flushedAt is when the latest batch was stored.
	flushedAt time.Time
	// prunedAt is when the state of ended jobs was last dropped.
	prunedAt time.Time
	// lastMoveSearch is when runs to move were last searched for.
	lastMoveSearch time.Time
	// estimatesSavedAt is when the estimates were last recorded.
	estimatesSavedAt time.Time
	// round is the present round of placement.
	round round
	// placementDue is set when waiting tasks might be placed now.
	placementDue bool
	// surplus holds the searches for runs that are no longer needed that are under way; stoppedWork is
	// their work in the present step.
	surplus     []surplusSearch
	stoppedWork uint64
	// work counts the runs, tasks, stages and VMs that were looked at, each as often as it was.
	work  uint64
	log   *slog.Logger
	stats Stats
}

// New returns the state of a leadership that begins at now with the jobs of the store.
func New(now time.Time, epoch uint64, t *table.Table, cfg model.Config, log *slog.Logger) *Leader {
	l := &Leader{
		epoch: epoch, since: now, table: t, cfg: cfg, storeConfirmedAt: now, flushedAt: now, prunedAt: now, estimatesSavedAt: now, placementDue: true, log: log,
		vms: map[string]*vm{}, vmByConn: map[uint64]string{}, vmsByNode: map[string][]*vm{}, pendingReplies: map[model.ID][]pendingReply{},
		advice: map[plan.StageKey]*stageAdvice{}, idle: map[model.ID]time.Time{},
		suspectSince: map[model.TaskRef]time.Time{},
	}
	l.restoreRuns(now)
	return l
}

// restoreRuns adds the runs that earlier leaders ordered to their VMs. The descriptions of
// these VMs are unknown until their agents connect.
func (l *Leader) restoreRuns(now time.Time) {
	var from checkpoints
	for _, e := range l.table.All() {
		for _, p := range e.Runs() {
			v := l.vms[p.Run.VM]
			if v == nil {
				v = newVM(msgs.VM{ID: p.Run.VM, Incarnation: p.Run.Incarnation, Node: p.Run.Node})
				v.leaseExpiry = now.Add(StoreTimeout + leaseWait(LeaseDuration))
				l.vms[p.Run.VM] = v
				if p.Run.Node != "" {
					l.vmsByNode[p.Run.Node] = append(l.vmsByNode[p.Run.Node], v)
				}
			}
			v.info.Incarnation = max(v.info.Incarnation, p.Run.Incarnation)
			r := v.add(e, p.Ref, p.Run, from.latest(e, p.Ref), now)
			r.restored, r.speedUnknown = true, r.step.BestEffort
			if e.Suspect(p.Ref, 0) {
				v.quarantine(r)
			}
		}
	}
}

// leaseWait returns how long to wait until a lease of d has ended even by the slowest
// allowed clock.
func leaseWait(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*clockDriftMargin) + leaseSlack
}

// SetJobMemory sets what the jobs that are kept may take, in bytes; 0 means unlimited. New ones
// beyond it are refused.
func (l *Leader) SetJobMemory(n int64) { l.jobMemory = n }

// SetMaxRuns sets the number of runs that each VM may have; 0 means unlimited.
func (l *Leader) SetMaxRuns(n int) {
	l.maxRuns = n
	for _, v := range l.vms {
		v.placement.MaxRuns = n
	}
}

// SetLimits sets the sizes up to which the store accepts records.
func (l *Leader) SetLimits(limits port.Limits) { l.table.Limits = limits }

// Epoch returns the epoch of the leadership.
func (l *Leader) Epoch() uint64 { return l.epoch }

// Configure sets the operator's configuration, unless the present one is as new or
// newer.
func (l *Leader) Configure(cfg model.Config) {
	if cfg.Version > l.cfg.Version {
		l.cfg, l.placementDue = cfg, true
	}
}

// Handle processes a message from a connection.
func (l *Leader) Handle(now time.Time, conn uint64, m *msgs.Message) {
	if len(m.Crashes) > 0 {
		l.handleCrashes(now, conn, m.Crashes)
	}
	if m.Report != nil {
		l.handleReport(now, conn, m.Report)
	}
	if m.LeaseRequest != nil {
		l.handleLeaseRequest(now, conn, m.LeaseRequest)
		l.noteListed(now, m.LeaseRequest, m.Unproven)
	}
	if m.JobRequest != nil {
		l.handleRequest(now, conn, m.JobRequest)
	}
}

// Work returns a count of the work done so far: how many runs, tasks, stages and VMs were looked at,
// each as often as it was. It tells what a step costs on any machine.
func (l *Leader) Work() uint64 { return l.work + l.interference.work }

// sortWork returns the work of sorting n elements.
func sortWork(n int) uint64 { return uint64(n * bits.Len(uint(n))) }

// Disconnected must be called when a connection has ended.
func (l *Leader) Disconnected(now time.Time, conn uint64) {
	id, ok := l.vmByConn[conn]
	if !ok {
		return
	}
	delete(l.vmByConn, conn)
	if v := l.vms[id]; v != nil && v.conn == conn {
		v.synced = false
		l.log.Info("lost the connection to a VM", "vm", id, "runs", len(v.runs), "leaseLeft", v.leaseExpiry.Sub(now))
	}
}

// Tick does the periodic work: it expires leases, drops the state of jobs that ended long
// ago and, if the store is slow, refuses the jobs that are in no batch yet and the requests whose
// answer waits for the store.
func (l *Leader) Tick(now time.Time) {
	l.stoppedWork = 0
	l.continueStops(now)
	l.expireLeases(now)
	if now.Sub(l.prunedAt) > time.Second {
		l.prunedAt = now
		l.table.Purge(now.Add(-endedRetention))
		l.table.StoreBegun()
		maps.DeleteFunc(l.idle, func(id model.ID, _ time.Time) bool { e := l.table.Get(id); return e == nil || e.State.Ended() })
		maps.DeleteFunc(l.suspectSince, func(ref model.TaskRef, _ time.Time) bool {
			e := l.table.Get(ref.Job)
			return e == nil || e.State.Ended()
		})
		maps.DeleteFunc(l.advice, func(k plan.StageKey, _ *stageAdvice) bool {
			e := l.table.Get(k.Job)
			return e == nil || e.State.Ended()
		})
		l.placementDue = true
	}
	if now.Sub(l.lastMoveSearch) > moveInterval {
		l.placementDue = true
	}
	if l.storeIsSlow(now) {
		l.refuseUnrecorded(now)
		l.refuseHeld(now)
	}
}

// storeIsSlow reports whether an append has been unconfirmed for too long to accept jobs.
func (l *Leader) storeIsSlow(now time.Time) bool {
	return l.StoreWait(now) > storeSlowAfter
}

// StoreWait returns how long the append in flight has been unconfirmed, 0 if there is none.
func (l *Leader) StoreWait(now time.Time) time.Duration {
	if l.inFlight == nil {
		return 0
	}
	return now.Sub(l.inFlight.sentAt)
}

// SetConfirmed sets when the store last confirmed the leadership, if that was before New was
// called: another entry may have claimed since.
func (l *Leader) SetConfirmed(at time.Time) { l.storeConfirmedAt = at }

// Suspended must be called when the machine was suspended for d, which the caller's clock does
// not count: what the store confirmed is older by that time.
func (l *Leader) Suspended(d time.Duration) {
	l.storeConfirmedAt = l.storeConfirmedAt.Add(-d)
	if l.inFlight != nil {
		l.inFlight.sentAt = l.inFlight.sentAt.Add(-d)
	}
}

// StoreAge returns the time since the latest append that the store confirmed was sent.
func (l *Leader) StoreAge(now time.Time) time.Duration { return now.Sub(l.storeConfirmedAt) }
