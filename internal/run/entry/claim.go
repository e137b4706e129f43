package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codec"
	"github.com/ebonyarch/ebonyarch/internal/jobs/table"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

const (
	// jobsTopic holds the leader's claim and all jobs.
	jobsTopic = "jobs"
	// claimKey is the key of the latest claim.
	claimKey = "leader"
	// writer is the name under which leaders append.
	writer = "leader"
	// claimTimeout bounds the calls of a claim.
	claimTimeout = 1500 * time.Millisecond
	// announceWait is how long a new leader may take to tell the other entries.
	announceWait = 60 * time.Millisecond
)

// claim is the record of who leads.
type claim struct {
	_     struct{} `cbor:",toarray"`
	Epoch uint64
	Addr  netip.AddrPort
	Node  string
}

// record returns the claim as a record of the store.
func (c claim) record() (port.Record, error) {
	data, err := codec.Marshal(c)
	return port.Record{Key: claimKey, Value: data}, err
}

// findClaim returns the latest claim among records.
func findClaim(records []port.Record) (claim, error) {
	var c claim
	for _, r := range records {
		if r.Key != claimKey {
			continue
		}
		if err := codec.Unmarshal(r.Value, &c); err != nil {
			return c, fmt.Errorf("record of the leader: %w", err)
		}
	}
	return c, nil
}

// claimed is a leadership that was won.
type claimed struct {
	epoch uint64
	seq   uint64
	table *table.Table
	// records are all that the store holds of the jobs and of what leaders learned.
	records []port.Record
}

// claim claims the leadership after epoch and loads the state. The random first
// sequence number tells two entries apart that claim the same epoch.
func (e *Entry) claim(epoch uint64) (claimed, error) {
	ctx, cancel := context.WithTimeout(e.ctx, claimTimeout)
	defer cancel()
	c := claim{Epoch: epoch + 1, Addr: e.cfg.Peers, Node: e.cfg.Name}
	rec, err := c.record()
	if err != nil {
		return claimed{}, err
	}
	seq := uint64(rand.Uint32N(1<<30)) + 1
	w := port.Write{Topic: jobsTopic, Writer: writer, Epoch: c.Epoch, Seq: seq, ExpectedEnd: -1, Records: []port.Record{rec}}
	if err := e.appendUntil(ctx, w); err != nil {
		return claimed{}, err
	}
	records, _, err := e.store.Newest(ctx, jobsTopic)
	if err != nil {
		return claimed{}, err
	}
	latest, err := findClaim(records)
	if err != nil {
		return claimed{}, err
	}
	if latest.Epoch != c.Epoch || latest.Node != c.Node {
		return claimed{}, fmt.Errorf("%w: %s claimed epoch %d", port.ErrStoreFenced, latest.Node, latest.Epoch)
	}
	b, faults := table.Load(records)
	for _, fault := range faults {
		e.log.Error("left out a record of the store", "err", fault)
	}
	return claimed{c.Epoch, seq + 1, b, records}, nil
}

// tryClaim claims the leadership after epoch, and learns who has it if that fails.
func (e *Entry) tryClaim(epoch uint64, reason string) bool {
	if e.Config() == nil {
		return false
	}
	e.log.Info("claims the leadership", "epoch", epoch+1, "reason", reason)
	c, err := e.claim(epoch)
	e.metrics.claims.WithLabelValues(outcomeOf(err)).Inc()
	if err == nil {
		e.sync(func() { e.begin(c) })
		return true
	}
	e.log.Warn("claim failed", "epoch", epoch+1, "err", err)
	if !errors.Is(err, port.ErrStoreFenced) && !errors.Is(err, port.ErrStoreSequence) {
		return false
	}
	// Another entry has claimed. It tells all entries; the store is asked if it does not.
	e.pause(announceWait)
	latest := epoch
	e.sync(func() { latest = e.epoch })
	if latest <= epoch {
		e.learn()
	}
	return false
}

// learn reads from the store who leads.
func (e *Entry) learn() {
	ctx, cancel := context.WithTimeout(e.ctx, storeTimeout)
	defer cancel()
	records, _, err := e.store.Newest(ctx, jobsTopic)
	if err != nil {
		e.log.Warn("cannot read who leads", "err", err)
		return
	}
	c, err := findClaim(records)
	if err != nil {
		e.log.Error("cannot read who leads", "err", err)
		return
	}
	e.sync(func() {
		e.epoch = max(e.epoch, c.Epoch)
		if c.Addr.IsValid() && c.Addr != e.cfg.Peers && e.leader == nil {
			e.leaderAddr = c.Addr
		}
		e.log.Info("learned who led last", "epoch", c.Epoch, "leader", c.Addr.String())
	})
}
