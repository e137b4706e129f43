package fleet

import (
	"context"
	"errors"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/lead"
	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/jobs/relay"
	"github.com/ebonyarch/ebonyarch/internal/jobs/table"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

const (
	jobsTopic    = "jobs"
	leaderWriter = "leader"
	// stepInterval is the time between two steps of a leader, and of the workers.
	stepInterval = 10 * time.Millisecond
	// retryDelay is the time after which a failed append, or an event at a frozen entry, is
	// tried again.
	retryDelay = 40 * time.Millisecond
	// storeTimeout is how long a leader may wait for the store before another entry claims the
	// leadership.
	storeTimeout = 700 * time.Millisecond
)

// Entry is an entry of the world.
type Entry struct {
	// Dead is set while the entry's process does not run, Frozen while the process is paused,
	// Cut while the entry cannot reach the store.
	Dead, Frozen, Cut bool
	// unnoticedUntil is until when the others do not notice that the process is paused.
	unnoticedUntil time.Time
	// pausedUntil is the end of the latest pause of which nobody was told.
	pausedUntil time.Time
	// MessagesLate is set while what the entry sends to leaders is late.
	MessagesLate bool
	world        *World
	name         string
	leader       *lead.Leader
	epoch, seq   uint64
	// agents holds the connected agents by connection.
	agents map[uint64]*Agent
	// followers holds the connected entries by connection, lost connections included.
	followers map[uint64]*Entry
	// requests holds the callers' requests; each process has its own.
	requests *relay.Requests
	// conn is the number of the connection to the leader followed, 0 if there is none.
	conn          uint64
	followed      *Entry
	followedEpoch uint64
	// waitingSince is the start of the append without a response, zero if there is none.
	waitingSince time.Time
	// kills counts the calls of Kill. If calls overlap, only the latest one restarts the
	// process.
	kills int
}

// canLead reports whether the entry runs and reaches the store.
func (e *Entry) canLead() bool {
	return !e.Dead && !e.Frozen && !e.Cut && (e.waitingSince.IsZero() || e.world.Now.Sub(e.waitingSince) < storeTimeout)
}

// Kill ends the entry's process and starts it again, without its state, after the downtime.
func (e *Entry) Kill(downtime time.Duration) {
	e.Dead = true
	e.stepDown()
	e.requests, e.conn = &relay.Requests{}, 0
	e.kills++
	kills := e.kills
	e.world.After(downtime, func() {
		if kills == e.kills {
			e.Dead = false
		}
	})
}

// Freeze pauses the entry's process for d. The process keeps its state.
func (e *Entry) Freeze(d time.Duration) {
	e.Frozen = true
	e.world.After(d, func() { e.Frozen = false })
}

// stepDown ends the entry's leadership and its agents' connections.
func (e *Entry) stepDown() {
	e.leader, e.waitingSince = nil, time.Time{}
	for id, a := range e.agents {
		if a.conn == id {
			a.clearConnection()
		}
	}
	e.agents, e.followers = nil, nil
}

// claim makes the entry the leader of a new epoch. It returns false if the store fails.
func (e *Entry) claim() bool {
	w := e.world
	e.stepDown()
	epoch, seq := w.epoch+1, w.rng.Uint64N(1<<30)+1
	write := port.Write{
		Topic: jobsTopic, Writer: leaderWriter, Epoch: epoch, Seq: seq, ExpectedEnd: -1,
		Records: []port.Record{{Key: "leader", Value: []byte(e.name)}},
	}
	if w.appendsLate(write) {
		w.epoch = epoch
		return false
	}
	if _, err := w.Store.Append(context.Background(), write); err != nil {
		if !errors.Is(err, port.ErrStoreRefused) {
			w.epoch = epoch // the append may have taken effect
		}
		return false
	}
	records, _, err := w.Store.Newest(context.Background(), jobsTopic)
	if err != nil {
		return false
	}
	jobTable, faults := table.Load(records)
	for _, f := range faults {
		w.Callers.addFault("%s", f)
	}
	w.epoch = epoch
	e.epoch, e.seq = epoch, seq+1
	e.agents, e.followers, e.conn = map[uint64]*Agent{}, map[uint64]*Entry{}, 0
	e.leader = lead.New(w.Now, epoch, jobTable, model.Config{}, w.log)
	if err := e.leader.RestoreEstimates(w.Now, records); err != nil {
		w.Callers.addFault("%s", err)
	}
	w.After(stepInterval, func() { e.step(e.leader) })
	e.requests.SendAll(epoch, e.sender())
	return true
}

// step makes the leader's decisions at each step interval, until l is no longer the entry's
// leader.
func (e *Entry) step(l *lead.Leader) {
	if l == nil || l != e.leader {
		return
	}
	w := e.world
	w.After(stepInterval, func() { e.step(l) })
	if e.Frozen {
		return
	}
	l.Tick(w.Now)
	if batch := l.NextBatch(w.Now); batch != nil {
		write := port.Write{Topic: jobsTopic, Writer: leaderWriter, Epoch: e.epoch, Seq: e.seq, ExpectedEnd: -1, Records: batch.Records}
		e.seq++
		e.waitingSince = w.Now
		w.After(storeDelay, func() { e.append(l, write) })
	}
	e.deliver()
}

// append appends a batch to the store, with retries. If the store fences the writer, the entry
// steps down.
func (e *Entry) append(l *lead.Leader, write port.Write) {
	w := e.world
	if l != e.leader {
		return
	}
	if e.Frozen {
		w.After(retryDelay, func() { e.append(l, write) })
		return
	}
	if !e.Cut && w.appendsLate(write) {
		w.After(storeTimeout, func() { e.append(l, write) })
		return
	}
	var err error = port.ErrStoreUnknown
	if !e.Cut {
		_, err = w.Store.Append(context.Background(), write)
	}
	switch err {
	case nil:
		w.After(storeDelay, func() { e.stored(l) })
	case port.ErrStoreFenced, port.ErrStoreSequence:
		e.stepDown()
	case port.ErrStoreRejected:
		w.Callers.addFault("entry %s: %s", e.name, err)
		e.stepDown()
	default:
		w.After(retryDelay, func() { e.append(l, write) })
	}
}

// stored passes the store's reply to an append to the leader.
func (e *Entry) stored(l *lead.Leader) {
	if l != e.leader {
		return
	}
	if e.Frozen {
		e.world.After(retryDelay, func() { e.stored(l) })
		return
	}
	e.waitingSince = time.Time{}
	l.Stored(e.world.Now)
	e.deliver()
}

// deliver sends the leader's messages to agents and callers.
func (e *Entry) deliver() {
	for _, out := range e.leader.TakeOutbound() {
		if resp := out.Message.JobResponse; resp != nil {
			if f := e.followers[out.Conn]; f != nil {
				e.world.After(messageDelay, func() { f.receive(out.Conn, *resp) })
			} else if out.Conn == 0 {
				e.requests.Respond(*resp)
			}
			continue
		}
		if a := e.agents[out.Conn]; a != nil && !a.Cut {
			e.world.After(messageDelay, func() { a.receive(out.Conn, out.Message) })
		}
	}
}

// appendsLate reports whether an append gets no response. It is then executed later.
func (w *World) appendsLate(write port.Write) bool {
	if w.LateAppendShare == 0 || w.callerRNG.Float64() >= w.LateAppendShare {
		return false
	}
	w.After(time.Second+time.Duration(w.callerRNG.Int64N(int64(5*time.Second))), func() {
		_, _ = w.Store.Append(context.Background(), write) // nobody receives the response
	})
	return true
}

// handle passes a message from a connection to the leader.
func (e *Entry) handle(conn uint64, m *msgs.Message) {
	if e.leader == nil || e.Dead {
		return
	}
	if e.Frozen {
		e.world.After(retryDelay, func() { e.handle(conn, m) })
		return
	}
	e.leader.Handle(e.world.Now, conn, m)
}
