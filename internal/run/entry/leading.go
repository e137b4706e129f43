package entry

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/elect"
	"github.com/ebonyarch/ebonyarch/internal/jobs/lead"
	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/run/peer"
)

const (
	// appendTimeout bounds one try of an append; an append that was not answered is
	// tried again and done once.
	appendTimeout = 700 * time.Millisecond
	// appendRetry spaces the tries.
	appendRetry = 40 * time.Millisecond
	// pingEvery is how often a leader tells the entries that it lives.
	pingEvery = 200 * time.Millisecond
)

// appendUntil tries an append until its fate is known or ctx is done.
func (e *Entry) appendUntil(ctx context.Context, w port.Write) error {
	for try := 1; ; try++ {
		tryCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err := e.store.Append(tryCtx, w)
		cancel()
		if err == nil || errors.Is(err, port.ErrStoreFenced) || errors.Is(err, port.ErrStoreSequence) {
			return err
		}
		if try == 1 {
			e.log.Warn("the store does not take an append", "epoch", w.Epoch, "seq", w.Seq, "err", err)
		}
		select {
		case <-ctx.Done():
			return errors.Join(err, ctx.Err())
		case <-time.After(appendRetry + jitter(appendRetry)):
		}
	}
}

// begin starts to lead.
func (e *Entry) begin(c claimed) {
	now := time.Now()
	cfg := model.Config{}
	if p := e.config.Load(); p != nil {
		cfg = *p
	}
	e.leader = lead.New(now, c.epoch, c.table, cfg, e.log)
	if err := e.leader.RestoreEstimates(now, c.records); err != nil {
		e.log.Warn("left out what was learned", "err", err)
	}
	e.seq, e.epoch, e.leaderAddr, e.heardAt = c.seq, c.epoch, e.cfg.Peers, now
	e.pingAt, e.ledSince = time.Time{}, now
	e.metrics.leading.Set(1)
	e.log.Info("leads", "epoch", c.epoch, "jobs", c.table.Len(), "active", len(c.table.Active()))
	e.passAll()
	entries, h := slices.Clone(e.entries), e.greeting()
	e.done.Go(func() { peer.Announce(e.ctx, entries, h) })
}

// end stops leading. Agents and entries look for the next leader.
func (e *Entry) end(reason string) {
	if e.leader == nil {
		return
	}
	e.log.Warn("no longer leads", "epoch", e.epoch, "reason", reason, "storeAge", e.leader.StoreAge(time.Now()))
	e.leader = nil
	e.metrics.leading.Set(0)
	e.leaderAddr, e.heardAt = netip.AddrPort{}, time.Time{}
	for _, c := range e.conns {
		c.conn.Close()
	}
}

// append sends a batch to the store, however often it must.
func (e *Entry) append(b *lead.Batch) {
	records := b.Records
	if len(records) == 0 {
		rec, err := claim{Epoch: e.epoch, Addr: e.cfg.Peers, Node: e.cfg.Name}.record()
		if err != nil {
			e.log.Error("cannot encode the claim", "err", err)
			return
		}
		records = []port.Record{rec}
	}
	w := port.Write{Topic: jobsTopic, Writer: writer, Epoch: e.epoch, Seq: e.seq, ExpectedEnd: -1, Records: records}
	e.seq++
	l := e.leader
	e.done.Go(func() {
		began := time.Now()
		err := e.appendUntil(e.ctx, w)
		e.metrics.appends.WithLabelValues(outcomeOf(err)).Observe(time.Since(began).Seconds())
		e.post(func() { e.appended(l, err) })
	})
}

func (e *Entry) appended(l *lead.Leader, err error) {
	switch {
	case l != e.leader:
	case err != nil:
		e.end(err.Error())
	default:
		l.Stored(time.Now())
	}
}

// deliver sends what the leader has to say.
func (e *Entry) deliver() {
	for _, f := range e.leader.TakeOutbound() {
		if f.Conn == local {
			if f.Message.JobResponse != nil {
				e.answered(f.Message.JobResponse)
			}
			continue
		}
		if c := e.conns[f.Conn]; c != nil {
			c.conn.Send(f.Message)
		}
	}
}

// ping tells the other entries that this one leads, and reports whether it was due.
func (e *Entry) ping(now time.Time) bool {
	if now.Sub(e.pingAt) < pingEvery {
		return false
	}
	e.pingAt = now
	cfg := e.config.Load()
	agents := e.agents()
	best := e.strongest()
	for _, c := range e.conns {
		if !c.entry {
			continue
		}
		p := &msgs.Ping{Epoch: e.epoch, Agents: agents, StoreWait: e.leader.StoreWait(now), Entries: e.entries}
		if cfg != nil && cfg.Version > c.config {
			p.Config, c.config = cfg, cfg.Version
		}
		if c == best && elect.ShouldYield(e.cfg.Processors, c.processors, now.Sub(e.ledSince), e.leader.StoreWait(now)) {
			p.Yield = true
			e.log.Info("lets a stronger entry lead", "peer", c.node, "processors", e.cfg.Processors, "peerProcessors", c.processors, "epoch", e.epoch)
		}
		c.conn.Send(&msgs.Message{Ping: p})
	}
	return true
}

// strongest returns the connected entry with the most processors, nil if there is none.
func (e *Entry) strongest() *client {
	var best *client
	for _, c := range e.conns {
		if c.entry && (best == nil || c.processors > best.processors) {
			best = c
		}
	}
	return best
}

// agents returns the number of agents that are connected.
func (e *Entry) agents() int {
	n := 0
	for _, c := range e.conns {
		if !c.entry {
			n++
		}
	}
	return n
}

// adviceTimeout bounds a question to the advisor.
const adviceTimeout = 5 * time.Second

// askAdvice asks the advisor what the leader wants to know.
func (e *Entry) askAdvice() {
	if e.advisor == nil {
		return
	}
	l := e.leader
	q := l.AdviceRequest()
	if q == nil {
		return
	}
	e.done.Go(func() {
		ctx, cancel := context.WithTimeout(e.ctx, adviceTimeout)
		defer cancel()
		advice, err := e.advisor.Advise(ctx, q.Step, q.VMs)
		e.post(func() { l.Advised(time.Now(), q, advice, err) })
	})
}
