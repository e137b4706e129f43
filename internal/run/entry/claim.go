package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/clock"
	"github.com/ebonyarch/ebonyarch/internal/base/codec"
	"github.com/ebonyarch/ebonyarch/internal/jobs/table"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

const (
	// jobsTopic holds the leader's claim, all jobs and the leader's estimates.
	jobsTopic = "jobs"
	// claimKey is the key of the record with the latest claim.
	claimKey = "leader"
	// leaderWriter is the writer name of all leaders' appends; the epoch tells them apart.
	leaderWriter = "leader"
	// claimTimeout bounds the append of a claim, tries after refusals included.
	claimTimeout = 1500 * time.Millisecond
	// loadTimeout bounds the reading of all records of jobsTopic, which are megabytes in a
	// large fleet. The store's client ends it earlier if it makes no progress.
	loadTimeout = 20 * time.Second
	// announceWait is how long an entry whose claim lost waits for the new leader's
	// announcement before it asks the store.
	announceWait = 60 * time.Millisecond
)

// claim is the stored record that names the leader of an epoch.
type claim struct {
	_     struct{} `cbor:",toarray"`
	Epoch uint64
	Addr  netip.AddrPort
	Node  string
}

// record encodes the claim as a record for the store.
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
			return c, fmt.Errorf("decode the leader's claim: %w", err)
		}
	}
	return c, nil
}

// leadership is the result of a successful claim.
type leadership struct {
	epoch uint64
	// nextSeq is the sequence number of the next append.
	nextSeq uint64
	table   *table.Table
	// records are the newest records of jobsTopic, with the jobs and the estimates of
	// earlier leaders.
	records []port.Record
	// confirmedAt is a time before the store was asked for the records, which show that no
	// later leader had claimed.
	confirmedAt time.Time
	// suspended is the result of clock.Suspended at confirmedAt.
	suspended time.Duration
}

// claim claims the leadership in the epoch after the given one and loads the state. The
// first sequence number is random so that the store accepts only one of two entries that
// claim the same epoch.
func (e *Entry) claim(epoch uint64) (leadership, error) {
	ctx, cancel := context.WithTimeout(e.ctx, claimTimeout)
	defer cancel()
	c := claim{Epoch: epoch + 1, Addr: e.cfg.Peers, Node: e.cfg.Name}
	rec, err := c.record()
	if err != nil {
		return leadership{}, err
	}
	seq := uint64(rand.Uint32N(1<<30)) + 1
	w := port.Write{Topic: jobsTopic, Writer: leaderWriter, Epoch: c.Epoch, Seq: seq, ExpectedEnd: -1, Records: []port.Record{rec}}
	if err := e.appendWithRetry(ctx, w); err != nil {
		return leadership{}, err
	}
	e.postAndWait(func() { e.loadingEpoch = c.Epoch })
	defer e.postAndWait(func() { e.loadingEpoch = 0 })
	return e.load(c, seq+1)
}

// load reads the state that the leader of a claim starts with. nextSeq is the sequence number
// of its next append.
func (e *Entry) load(c claim, nextSeq uint64) (leadership, error) {
	ctx, cancel := context.WithTimeout(e.ctx, loadTimeout)
	defer cancel()
	suspended, confirmedAt := clock.Suspended(), time.Now()
	records, _, err := e.store.Newest(ctx, jobsTopic)
	if err != nil {
		return leadership{}, err
	}
	latest, err := findClaim(records)
	if err != nil {
		return leadership{}, err
	}
	if latest.Epoch != c.Epoch || latest.Node != c.Node {
		return leadership{}, fmt.Errorf("%w: %s claimed epoch %d", port.ErrStoreFenced, latest.Node, latest.Epoch)
	}
	jobs, faults := table.Load(records)
	for _, fault := range faults {
		e.log.Error("skipped a stored record that cannot be decoded", "err", fault)
	}
	return leadership{c.Epoch, nextSeq, jobs, records, confirmedAt, suspended}, nil
}

// tryClaim claims the leadership in the epoch after the given one and reports whether that
// succeeded. If another entry won, it finds out which.
func (e *Entry) tryClaim(epoch uint64, reason string) bool {
	e.claimMu.Lock()
	defer e.claimMu.Unlock()
	latest := epoch
	e.postAndWait(func() { latest = e.epoch })
	if e.Config() == nil || latest > epoch {
		return false
	}
	e.log.Info("claims the leadership", "epoch", epoch+1, "reason", reason)
	c, err := e.claim(epoch)
	e.metrics.claims.WithLabelValues(outcomeOf(err)).Inc()
	if err == nil {
		e.postAndWait(func() { e.timeStep(stepLead, func() { e.startLeading(c) }) })
		return true
	}
	e.log.Warn("claim failed", "epoch", epoch+1, "err", err)
	if !errors.Is(err, port.ErrStoreFenced) && !errors.Is(err, port.ErrStoreSequence) {
		return false
	}
	// Another entry has claimed the leadership. It announces itself to all entries; if no
	// announcement arrives, read the claim from the store.
	e.waitForLeader(announceWait)
	e.postAndWait(func() { latest = e.epoch })
	if latest <= epoch {
		e.readClaim()
	}
	return false
}

// readClaim reads the latest claim from the store and adopts its epoch and leader, unless a
// later leader announces itself first.
func (e *Entry) readClaim() {
	ctx, cancel := context.WithTimeout(e.ctx, loadTimeout)
	defer cancel()
	go func() {
		select {
		case <-ctx.Done():
		case <-e.laterLeader:
			cancel()
		}
	}()
	records, _, err := e.store.Newest(ctx, jobsTopic)
	switch {
	case e.ctx.Err() != nil:
		return // the entry was closed
	case errors.Is(ctx.Err(), context.Canceled):
		e.log.Info("does not read the latest claim: a later leader has announced itself")
		return
	case err != nil:
		e.log.Warn("cannot read the latest claim from the store", "err", err)
		return
	}
	c, err := findClaim(records)
	if err != nil {
		e.log.Error("cannot decode the latest claim", "err", err)
		return
	}
	e.postAndWait(func() {
		e.adoptEpoch(c.Epoch, c.Addr)
		e.log.Info("read the latest claim from the store", "epoch", c.Epoch, "leader", c.Addr.String())
	})
}
