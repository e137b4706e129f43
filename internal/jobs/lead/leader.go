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

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/jobs/plan"
	"github.com/ebonyarch/ebonyarch/internal/jobs/table"
)

const (
	// LeaseDuration is how long a VM's runs may go on after its agent sent a beat that
	// the leader answered. It outlasts a restart of the agent.
	LeaseDuration = 4 * time.Second
	// clockMargin is the part by which a worker's clock may be slow, with room.
	clockMargin = 0.04
	// leaseSlack is added to each wait for a lease to end.
	leaseSlack = 200 * time.Millisecond
	// StoreTimeout is how long a leader renews leases after the store last answered
	// it. A new leader waits as long for VMs that it does not hear.
	StoreTimeout = 4 * time.Second
	// storeSlow is the age of an append from which new work is refused.
	storeSlow = 700 * time.Millisecond
	// keepEnded is how long an ended job's state is kept.
	keepEnded = 150 * time.Second
)

// OutboundMessage is a message for a connection.
type OutboundMessage struct {
	Conn    uint64
	Message *msgs.Message
}

// Leader is one leadership. Make it with New. It is not safe for concurrent use.
type Leader struct {
	epoch uint64
	table *table.Table
	cfg   model.Config
	vms   map[string]*vm
	// agents names the VM that an agent's connection speaks for.
	agents map[uint64]string
	learn  durations
	harm   harm
	waits  waits
	timely timely
	// idle is since when nothing runs of jobs that have work to do.
	idle map[model.ID]time.Time
	// advice holds what the advisor said of steps, question what it is asked now.
	advice   map[plan.StageKey]*advised
	question *AdviceRequest
	asking   bool
	// out holds effects that may leave now, held those that wait for the next batch.
	out, held []OutboundMessage
	// flight is the batch on its way to the store.
	flight *Batch
	// answers holds those who wait for a job to be stored.
	answers map[model.ID][]waiter
	// storeAt is when the store last confirmed this leadership.
	storeAt   time.Time
	flushedAt time.Time
	forgotAt  time.Time
	movedAt   time.Time
	// rememberedAt is when what was learned was recorded.
	rememberedAt time.Time
	// changed is set when waiting work might find room.
	changed bool
	log     *slog.Logger
	stats   Stats
}

// New returns a leadership that begins at now with what the store holds.
func New(now time.Time, epoch uint64, b *table.Table, cfg model.Config, log *slog.Logger) *Leader {
	l := &Leader{
		epoch: epoch, table: b, cfg: cfg, storeAt: now, flushedAt: now, forgotAt: now, rememberedAt: now, changed: true, log: log,
		vms: map[string]*vm{}, agents: map[uint64]string{}, answers: map[model.ID][]waiter{},
		advice: map[plan.StageKey]*advised{}, idle: map[model.ID]time.Time{},
	}
	l.adopt(now)
	return l
}

// adopt enters the runs that earlier leaders ordered. Their VMs are unknown until
// their agents speak.
func (l *Leader) adopt(now time.Time) {
	for _, e := range l.table.All() {
		for _, p := range e.Runs() {
			v := l.vms[p.Run.VM]
			if v == nil {
				v = newVM(msgs.VM{ID: p.Run.VM, Incarnation: p.Run.Incarnation, Node: p.Run.Node})
				v.until = now.Add(StoreTimeout + leaseEnd(LeaseDuration))
				l.vms[p.Run.VM] = v
			}
			v.info.Incarnation = max(v.info.Incarnation, p.Run.Incarnation)
			v.add(e, p.Ref, p.Run, now)
		}
	}
}

// leaseEnd returns how long to wait until a lease of d has ended by every clock.
func leaseEnd(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*clockMargin) + leaseSlack
}

// Epoch returns the number of the leadership.
func (l *Leader) Epoch() uint64 { return l.epoch }

// Configure sets the operator's configuration.
func (l *Leader) Configure(cfg model.Config) {
	if cfg.Version > l.cfg.Version {
		l.cfg, l.changed = cfg, true
	}
}

// Handle takes a message from a connection.
func (l *Leader) Handle(now time.Time, conn uint64, m *msgs.Message) {
	if m.Report != nil {
		l.report(now, conn, m.Report)
	}
	if m.LeaseRequest != nil {
		l.beat(now, conn, m.LeaseRequest)
	}
	if m.JobRequest != nil {
		l.ask(now, conn, m.JobRequest)
	}
}

// Disconnected notes that a connection has ended.
func (l *Leader) Disconnected(now time.Time, conn uint64) {
	id, ok := l.agents[conn]
	if !ok {
		return
	}
	delete(l.agents, conn)
	if v := l.vms[id]; v != nil && v.conn == conn {
		v.synced = false
		l.log.Info("lost the connection to a VM", "vm", id, "runs", len(v.runs), "leaseLeft", v.until.Sub(now))
	}
}

// Tick makes the decisions that are due.
func (l *Leader) Tick(now time.Time) {
	l.expire(now)
	if now.Sub(l.forgotAt) > time.Second {
		l.forgotAt = now
		l.table.Purge(now.Add(-keepEnded))
		maps.DeleteFunc(l.idle, func(id model.ID, _ time.Time) bool { e := l.table.Get(id); return e == nil || e.State.Ended() })
		maps.DeleteFunc(l.advice, func(k plan.StageKey, _ *advised) bool { e := l.table.Get(k.Job); return e == nil || e.State.Ended() })
		l.changed = true
	}
	if now.Sub(l.movedAt) > moveEvery {
		l.changed = true
	}
	if l.slow(now) {
		l.refuseStaged(now)
	}
}

// slow reports whether the store keeps the leader waiting.
func (l *Leader) slow(now time.Time) bool {
	return l.StoreWait(now) > storeSlow
}

// StoreWait returns how long the store has not answered, 0 if nothing was asked.
func (l *Leader) StoreWait(now time.Time) time.Duration {
	if l.flight == nil {
		return 0
	}
	return now.Sub(l.flight.sentAt)
}

// StoreAge returns how long ago the store last confirmed the leadership.
func (l *Leader) StoreAge(now time.Time) time.Duration { return now.Sub(l.storeAt) }

// TakeOutbound returns the messages that may leave and forgets them.
func (l *Leader) TakeOutbound() []OutboundMessage {
	out := l.out
	l.out = nil
	return out
}

func (l *Leader) send(conn uint64, m *msgs.Message) {
	if m == nil {
		return
	}
	l.out = append(l.out, OutboundMessage{conn, m})
}

// hold sends a message once all changes so far are stored.
func (l *Leader) hold(conn uint64, m *msgs.Message) {
	l.held = append(l.held, OutboundMessage{conn, m})
}
