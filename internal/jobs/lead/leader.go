// Package lead is the leading entry's part: it answers callers, gives waiting work
// to VMs, and follows what becomes of it.
//
// A Leader changes its book at once. What a change causes outside the process, an
// answer, an order or an acknowledgement, is held back until the change is in the
// store, so a later leader knows of every order that can exist. The store refuses
// the appends of an earlier leader; agents refuse its orders.
package lead

import (
	"log/slog"
	"maps"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/book"
	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/jobs/plan"
)

const (
	// LeaseDuration is how long a VM's runs may go on after its agent sent a beat that
	// the leader answered. It outlasts a restart of the agent.
	LeaseDuration = 4 * time.Second
	// clockDriftMargin is the part by which a worker's clock may be slow, with room.
	clockDriftMargin = 0.04
	// leaseSlack is added to each wait for a lease to end.
	leaseSlack = 200 * time.Millisecond
	// StoreTimeout is how long a leader renews leases after the store last answered
	// it. A new leader waits as long for VMs that it does not hear.
	StoreTimeout = 4 * time.Second
	// storeSlowAfter is the age of an append from which new work is refused.
	storeSlowAfter = 700 * time.Millisecond
	// endedRetention is how long an ended job's state is kept.
	endedRetention = 150 * time.Second
)

// OutboundMessage is a message for a connection.
type OutboundMessage struct {
	Conn    uint64
	Message *msgs.Message
}

// Leader is one leadership. Make it with New. It is not safe for concurrent use.
type Leader struct {
	epoch uint64
	book  *book.Book
	cfg   model.Config
	vms   map[string]*vm
	// vmByConn names the VM that an agent's connection speaks for.
	vmByConn     map[uint64]string
	durations    durationEstimates
	interference interference
	backoffs     backoffs
	onTimePlan   onTimePlan
	// idle is since when nothing runs of jobs that have work to do.
	idle map[model.ID]time.Time
	// advice holds what the advisor said of steps, question what it is asked now.
	advice         map[plan.StageKey]*stageAdvice
	adviceRequest  *AdviceRequest
	adviceInFlight bool
	// outbound holds effects that may leave now, held those that wait for the next batch.
	outbound, heldForStore []OutboundMessage
	// inFlight is the batch on its way to the store.
	inFlight *Batch
	// pendingReplies holds those who wait for a job to be stored.
	pendingReplies map[model.ID][]pendingReply
	// storeConfirmedAt is when the store last confirmed this leadership.
	storeConfirmedAt time.Time
	flushedAt        time.Time
	prunedAt         time.Time
	lastMoveSearch   time.Time
	// estimatesSavedAt is when what was learned was recorded.
	estimatesSavedAt time.Time
	// placementDue is set when waiting work might find room.
	placementDue bool
	log          *slog.Logger
	stats        Stats
}

// New returns a leadership that begins at now with what the store holds.
func New(now time.Time, epoch uint64, b *book.Book, cfg model.Config, log *slog.Logger) *Leader {
	l := &Leader{
		epoch: epoch, book: b, cfg: cfg, storeConfirmedAt: now, flushedAt: now, prunedAt: now, estimatesSavedAt: now, placementDue: true, log: log,
		vms: map[string]*vm{}, vmByConn: map[uint64]string{}, pendingReplies: map[model.ID][]pendingReply{},
		advice: map[plan.StageKey]*stageAdvice{}, idle: map[model.ID]time.Time{},
	}
	l.restoreRuns(now)
	return l
}

// restoreRuns enters the runs that earlier leaders ordered. Their VMs are unknown until
// their agents speak.
func (l *Leader) restoreRuns(now time.Time) {
	for _, e := range l.book.All() {
		for _, p := range e.Runs() {
			v := l.vms[p.Run.VM]
			if v == nil {
				v = newVM(msgs.VM{ID: p.Run.VM, Life: p.Run.Life, Node: p.Run.Node})
				v.leaseExpiry = now.Add(StoreTimeout + leaseWait(LeaseDuration))
				l.vms[p.Run.VM] = v
			}
			v.info.Life = max(v.info.Life, p.Run.Life)
			v.add(e, p.Ref, p.Run, now)
		}
	}
}

// leaseWait returns how long to wait until a lease of d has ended by every clock.
func leaseWait(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*clockDriftMargin) + leaseSlack
}

// Epoch returns the number of the leadership.
func (l *Leader) Epoch() uint64 { return l.epoch }

// Configure sets the operator's configuration.
func (l *Leader) Configure(cfg model.Config) {
	if cfg.Version > l.cfg.Version {
		l.cfg, l.placementDue = cfg, true
	}
}

// Handle takes a message from a connection.
func (l *Leader) Handle(now time.Time, conn uint64, m *msgs.Message) {
	if m.Report != nil {
		l.handleReport(now, conn, m.Report)
	}
	if m.Beat != nil {
		l.handleLeaseRequest(now, conn, m.Beat)
	}
	if m.Ask != nil {
		l.handleRequest(now, conn, m.Ask)
	}
}

// Disconnected notes that a connection has ended.
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

// Tick makes the decisions that are due.
func (l *Leader) Tick(now time.Time) {
	l.expireLeases(now)
	if now.Sub(l.prunedAt) > time.Second {
		l.prunedAt = now
		l.book.Forget(now.Add(-endedRetention))
		maps.DeleteFunc(l.idle, func(id model.ID, _ time.Time) bool { e := l.book.Get(id); return e == nil || e.State.Ended() })
		maps.DeleteFunc(l.advice, func(k plan.StageKey, _ *stageAdvice) bool { e := l.book.Get(k.Job); return e == nil || e.State.Ended() })
		l.placementDue = true
	}
	if now.Sub(l.lastMoveSearch) > moveInterval {
		l.placementDue = true
	}
	if l.storeIsSlow(now) {
		l.refuseUnsent(now)
	}
}

// storeIsSlow reports whether the store keeps the leader waiting.
func (l *Leader) storeIsSlow(now time.Time) bool {
	return l.Waiting(now) > storeSlowAfter
}

// Waiting returns how long the store has not answered, 0 if nothing was asked.
func (l *Leader) Waiting(now time.Time) time.Duration {
	if l.inFlight == nil {
		return 0
	}
	return now.Sub(l.inFlight.sentAt)
}

// StoreAge returns how long ago the store last confirmed the leadership.
func (l *Leader) StoreAge(now time.Time) time.Duration { return now.Sub(l.storeConfirmedAt) }

// TakeOutbound returns the messages that may leave and forgets them.
func (l *Leader) TakeOutbound() []OutboundMessage {
	outbound := l.outbound
	l.outbound = nil
	return outbound
}

func (l *Leader) send(conn uint64, m *msgs.Message) {
	if m == nil {
		return
	}
	l.outbound = append(l.outbound, OutboundMessage{conn, m})
}

// sendWhenStored sends a message once all changes so far are stored.
func (l *Leader) sendWhenStored(conn uint64, m *msgs.Message) {
	l.heldForStore = append(l.heldForStore, OutboundMessage{conn, m})
}
