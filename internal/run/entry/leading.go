package entry

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/clock"
	"github.com/ebonyarch/ebonyarch/internal/jobs/elect"
	"github.com/ebonyarch/ebonyarch/internal/jobs/lead"
	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/run/peer"
)

const (
	// appendTimeout bounds one try of an append. An append without a response is tried
	// again; its sequence number makes the store carry it out only once.
	appendTimeout = 700 * time.Millisecond
	// appendRetryDelay is the least delay between two tries. Random jitter of up to the
	// same length is added.
	appendRetryDelay = 40 * time.Millisecond
	// pingInterval is how often a leader sends pings to the other entries.
	pingInterval = 200 * time.Millisecond
)

// appendWithRetry repeats an append until its outcome is known or ctx is done. Repeating an append
// that the store rejects for what it holds cannot help.
func (e *Entry) appendWithRetry(ctx context.Context, w port.Write) error {
	for try := 1; ; try++ {
		tryCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err := e.store.Append(tryCtx, w)
		cancel()
		if err == nil || errors.Is(err, port.ErrStoreFenced) || errors.Is(err, port.ErrStoreSequence) || errors.Is(err, port.ErrStoreRejected) {
			return err
		}
		w.Repeated = w.Repeated || !errors.Is(err, port.ErrStoreRefused)
		if try == 1 {
			e.log.Warn("the store does not take an append", "epoch", w.Epoch, "seq", w.Seq, "err", err)
		}
		select {
		case <-ctx.Done():
			return errors.Join(err, ctx.Err())
		case <-time.After(appendRetryDelay + jitter(appendRetryDelay)):
		}
	}
}

// startLeading makes this entry the leader.
func (e *Entry) startLeading(won leadership) {
	if won.epoch < e.epoch {
		e.log.Warn("does not lead, as a later epoch is known", "epoch", won.epoch, "latest", e.epoch)
		return
	}
	now := time.Now()
	cfg := model.Config{}
	if p := e.config.Load(); p != nil {
		cfg = *p
	}
	e.stopAppends()
	e.leadCtx, e.stopAppends = context.WithCancel(e.ctx)
	e.suspended = won.suspended
	e.leader = lead.New(now, won.epoch, won.table, cfg, e.log)
	e.leader.SetConfirmed(won.confirmedAt)
	e.leader.SetLimits(e.cfg.StoreLimits())
	e.leader.SetJobMemory(int64(e.cfg.JobMemory) << 20)
	e.leader.SetMaxRuns(e.cfg.MaxRuns)
	if err := e.leader.RestoreEstimates(now, won.records); err != nil {
		e.log.Warn("cannot restore the estimates of the earlier leader", "err", err)
	}
	e.nextSeq, e.epoch, e.leaderAddr, e.leaderHeardAt = won.nextSeq, won.epoch, e.cfg.Peers, now
	e.lastPing, e.leadingSince = time.Time{}, now
	e.takeover.Cancel()
	e.closeLeaderConn()
	e.metrics.leading.Set(1)
	e.log.Info("leads", "epoch", won.epoch, "jobs", won.table.Len(), "active", len(won.table.Active()))
	e.forwardAll()
	entries, h := slices.Clone(e.entries), e.hello()
	e.wg.Go(func() { peer.Announce(e.ctx, entries, h) })
}

// minSuspended is the least time of a suspension that is noted.
const minSuspended = 5 * time.Millisecond

// noteSuspended tells the leader if the machine was suspended since the last call. Another entry
// may lead since then.
func (e *Entry) noteSuspended() {
	suspended := clock.Suspended()
	d := suspended - e.suspended
	if d < minSuspended {
		return
	}
	e.suspended = suspended
	e.log.Warn("the machine was suspended", "epoch", e.epoch, "suspended", d, "storeAge", e.leader.StoreAge(time.Now()))
	e.leader.Suspended(d)
}

// stopLeading gives up the leadership and closes all connections, so that agents and
// entries look for the next leader. It does nothing if this entry does not lead.
func (e *Entry) stopLeading(reason string) {
	if e.leader == nil {
		return
	}
	e.log.Warn("no longer leads", "epoch", e.epoch, "reason", reason, "storeAge", e.leader.StoreAge(time.Now()))
	e.leader = nil
	e.stopAppends()
	e.metrics.leading.Set(0)
	e.metrics.stats.Reset() // the counts belong to the leadership that ended
	e.leaderAddr, e.leaderHeardAt = netip.AddrPort{}, time.Time{}
	for _, c := range e.conns {
		c.conn.Close()
	}
}

// append appends a batch to the store in the background, with retries while this entry leads. A batch without
// records writes the claim again, which confirms that this entry still leads.
func (e *Entry) append(batch *lead.Batch) {
	records := batch.Records
	if len(records) == 0 {
		rec, err := claim{Epoch: e.epoch, Addr: e.cfg.Peers, Node: e.cfg.Name}.record()
		if err != nil {
			e.log.Error("cannot encode the claim", "err", err)
			return
		}
		records = []port.Record{rec}
	}
	w := port.Write{Topic: jobsTopic, Writer: leaderWriter, Epoch: e.epoch, Seq: e.nextSeq, ExpectedEnd: -1, Records: records}
	e.nextSeq++
	l, ctx := e.leader, e.leadCtx
	e.wg.Go(func() {
		startedAt := time.Now()
		err := e.appendWithRetry(ctx, w)
		e.metrics.appends.WithLabelValues(outcomeOf(err)).Observe(time.Since(startedAt).Seconds())
		// A leader that seems to wait for the store is replaced, so that the outcome must not wait itself.
		e.events.PostFirst(e.ctx, func() { e.batchAppended(l, err) })
	})
}

// batchAppended handles the outcome of an append by the leader l, which may have stopped
// leading since.
func (e *Entry) batchAppended(l *lead.Leader, err error) {
	switch {
	case l != e.leader:
	case errors.Is(err, port.ErrStoreRejected) && l.Rejected(time.Now(), err):
		e.nextSeq-- // a rejected append has no effect
	case err != nil:
		e.stopLeading(err.Error())
	default:
		e.timeStep(stepStored, func() { l.Stored(time.Now()) })
	}
}

// sendOutbound sends the leader's outbound messages.
func (e *Entry) sendOutbound() {
	for _, out := range e.leader.TakeOutbound() {
		if out.Conn == localConn {
			if out.Message.JobResponse != nil {
				e.respond(out.Message.JobResponse)
			}
			continue
		}
		if c := e.conns[out.Conn]; c != nil {
			c.conn.Send(out.Message)
		}
	}
}

// sendPings sends a ping to each connected entry if pings are due, and reports whether they
// were.
func (e *Entry) sendPings(now time.Time) bool {
	if now.Sub(e.lastPing) < pingInterval {
		return false
	}
	e.lastPing = now
	cfg := e.config.Load()
	agentCount := e.agentCount()
	best := e.mostProcessors()
	for _, c := range e.conns {
		if !c.entry {
			continue
		}
		p := &msgs.Ping{Epoch: e.epoch, Agents: agentCount, StoreWait: e.leader.StoreWait(now), Leaving: e.stopping.Load()}
		if c.entries != len(e.entries) {
			p.Entries, c.entries = e.entries, len(e.entries)
		}
		if cfg != nil && cfg.Version > c.config {
			p.Config, c.config = cfg, cfg.Version
		}
		if c == best && (p.Leaving || elect.ShouldYield(e.cfg.Processors, c.processors, now.Sub(e.leadingSince), e.leader.StoreWait(now))) {
			p.Yield = true
			e.log.Info("asked another entry to lead", "peer", c.node, "leaving", p.Leaving, "processors", e.cfg.Processors, "peerProcessors", c.processors, "epoch", e.epoch)
		}
		c.conn.Send(&msgs.Message{Ping: p})
	}
	return true
}

// mostProcessors returns the connected entry with the most processors that is not about to
// stop, nil if there is none. Of several it is the one whose name sorts first, so that
// successive pings ask the same one.
func (e *Entry) mostProcessors() *client {
	var best *client
	for _, c := range e.conns {
		if c.entry && !c.leaving && (best == nil || c.betterLeader(best)) {
			best = c
		}
	}
	return best
}

// betterLeader reports whether c has more processors than another entry, or the same number
// and a name that sorts before.
func (c *client) betterLeader(other *client) bool {
	if c.processors != other.processors {
		return c.processors > other.processors
	}
	return c.node < other.node
}

// agentCount returns the number of connected agents.
func (e *Entry) agentCount() int {
	n := 0
	for _, c := range e.conns {
		if !c.entry {
			n++
		}
	}
	return n
}

// adviceTimeout bounds a request to the advisor.
const adviceTimeout = 5 * time.Second

// requestAdvice sends the leader's advice request, if it has one, to the advisor.
func (e *Entry) requestAdvice() {
	if e.advisor == nil {
		return
	}
	l := e.leader
	req := l.AdviceRequest()
	if req == nil {
		return
	}
	e.wg.Go(func() {
		ctx, cancel := context.WithTimeout(e.ctx, adviceTimeout)
		defer cancel()
		advice, err := e.advisor.Advise(ctx, req.Step, req.VMs)
		e.post(func() { l.Advised(time.Now(), req, advice, err) })
	})
}
