package fleet

import (
	"context"
	"errors"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/lead"
	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/jobs/table"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

const (
	topic    = "jobs"
	writer   = "leader"
	stepTime = 10 * time.Millisecond
	// storeRetry spaces the tries of an append.
	storeRetry = 40 * time.Millisecond
	// storePatience is how long an entry waits for the store before another claims.
	storePatience = 700 * time.Millisecond
)

// Entry is one entry of the world.
type Entry struct {
	// Dead entries do nothing and know nothing afterwards, Frozen ones stand still, Cut
	// ones do not reach the store.
	Dead, Frozen, Cut bool
	world             *World
	name              string
	leader            *lead.Leader
	epoch, seq        uint64
	agents            map[uint64]*Agent
	// asked is since when the store has not answered, the zero time if it has.
	asked time.Time
	kills int
}

// able reports whether the entry may lead.
func (e *Entry) able() bool {
	return !e.Dead && !e.Frozen && !e.Cut && (e.asked.IsZero() || e.world.Now.Sub(e.asked) < storePatience)
}

// Kill ends the entry's process and starts it again after a time.
func (e *Entry) Kill(back time.Duration) {
	e.Dead = true
	e.stop()
	e.kills++
	kills := e.kills
	e.world.After(back, func() { e.Dead = kills != e.kills })
}

// Freeze lets the entry stand still for a time. It wakes with all that it had.
func (e *Entry) Freeze(d time.Duration) {
	e.Frozen = true
	e.world.After(d, func() { e.Frozen = false })
}

func (e *Entry) stop() {
	e.leader, e.asked = nil, time.Time{}
	for id, a := range e.agents {
		if a.conn == id {
			a.leave()
		}
	}
	e.agents = nil
}

// claim makes the entry the leader; it returns false if the store does not allow it.
func (e *Entry) claim() bool {
	w := e.world
	e.stop()
	epoch, seq := w.epoch+1, w.rng.Uint64N(1<<30)+1
	write := port.Write{
		Topic: topic, Writer: writer, Epoch: epoch, Seq: seq, ExpectedEnd: -1,
		Records: []port.Record{{Key: "leader", Value: []byte(e.name)}},
	}
	if _, err := w.Store.Append(context.Background(), write); err != nil {
		if !errors.Is(err, port.ErrStoreRefused) {
			w.epoch = epoch // the claim may be in the store
		}
		return false
	}
	records, _, err := w.Store.Newest(context.Background(), topic)
	if err != nil {
		return false
	}
	b, faults := table.Load(records)
	for _, f := range faults {
		w.Callers.fault("%s", f)
	}
	w.epoch = epoch
	e.epoch, e.seq = epoch, seq+1
	e.agents = map[uint64]*Agent{}
	e.leader = lead.New(w.Now, epoch, b, model.Config{}, w.log)
	if err := e.leader.RestoreEstimates(w.Now, records); err != nil {
		w.Callers.fault("%s", err)
	}
	w.After(stepTime, func() { e.step(e.leader) })
	w.Callers.retry()
	return true
}

// step makes the decisions that are due, as long as l leads here.
func (e *Entry) step(l *lead.Leader) {
	if l == nil || l != e.leader {
		return
	}
	w := e.world
	w.After(stepTime, func() { e.step(l) })
	if e.Frozen {
		return
	}
	l.Tick(w.Now)
	batch, err := l.NextBatch(w.Now)
	if err != nil {
		w.Callers.fault("%s", err)
	}
	if batch != nil {
		write := port.Write{Topic: topic, Writer: writer, Epoch: e.epoch, Seq: e.seq, ExpectedEnd: -1, Records: batch.Records}
		e.seq++
		e.asked = w.Now
		w.After(storeTime, func() { e.append(l, write) })
	}
	e.deliver()
}

func (e *Entry) append(l *lead.Leader, write port.Write) {
	w := e.world
	if l != e.leader {
		return
	}
	if e.Frozen {
		w.After(storeRetry, func() { e.append(l, write) })
		return
	}
	var err error = port.ErrStoreUnknown
	if !e.Cut {
		_, err = w.Store.Append(context.Background(), write)
	}
	switch err {
	case nil:
		w.After(storeTime, func() { e.stored(l) })
	case port.ErrStoreFenced, port.ErrStoreSequence:
		e.stop()
	default:
		w.After(storeRetry, func() { e.append(l, write) })
	}
}

func (e *Entry) stored(l *lead.Leader) {
	if l != e.leader {
		return
	}
	if e.Frozen {
		e.world.After(storeRetry, func() { e.stored(l) })
		return
	}
	e.asked = time.Time{}
	l.Stored(e.world.Now)
	e.deliver()
}

// deliver carries the leader's messages to agents and callers.
func (e *Entry) deliver() {
	for _, f := range e.leader.TakeOutbound() {
		if f.Conn == 0 && f.Message.JobResponse == nil {
			continue // orders for a VM whose agent is not connected
		}
		if f.Conn == 0 {
			e.world.After(hop, func() { e.world.Callers.answered(f.Message.JobResponse) })
			continue
		}
		if a := e.agents[f.Conn]; a != nil && !a.Cut {
			e.world.After(hop, func() { a.receive(f.Conn, f.Message) })
		}
	}
}

// handle takes a message from a connection.
func (e *Entry) handle(conn uint64, m *msgs.Message) {
	if e.leader == nil || e.Dead {
		return
	}
	if e.Frozen {
		e.world.After(storeRetry, func() { e.handle(conn, m) })
		return
	}
	e.leader.Handle(e.world.Now, conn, m)
}
