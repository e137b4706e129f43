// Package leader elects the leader of a cell among the entries and, on the
// leading entry, decides which VM runs which task.
//
// Every decision that the entries must agree on is a record in the log. A term
// begins with the record that claims it and ends TermLease after its latest
// renewal was queued, so a leader that cannot reach the log stops acting before
// another entry may claim the next term. Attempts are revoked from a VM only by
// a record, and only after the VM's lease must have expired by the VM's own
// clock.
package leader

import (
	"log/slog"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/ident"
	"github.com/ebonyarch/ebonyarch/internal/fleet/member"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
	"github.com/ebonyarch/ebonyarch/internal/state/fold"
	"github.com/ebonyarch/ebonyarch/internal/state/writer"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// Durations of terms and leases.
const (
	// TermLease is how long a leader may act after it queued a renewal.
	TermLease = 5 * time.Second
	// renewInterval is the time between two renewals of a term.
	renewInterval = time.Second
	// VMLease is how long a VM may run its attempts after it sent a heartbeat.
	VMLease = 6 * time.Second
	// ClockMargin is the fraction by which every wait for a deadline on another
	// process's clock is prolonged: the rates of two clocks may differ by a tenth.
	ClockMargin = 0.1
	// claimStagger is the time between the claims of one entry and the next that
	// wait for the same term.
	claimStagger = 500 * time.Millisecond
	// maxReadAge is how long after the last read to the end of the log the state
	// still counts as current.
	maxReadAge = time.Second
	// MaxExtension is the longest time for which a leader that cannot reach the
	// log renews leases.
	MaxExtension = 75 * time.Minute
)

// Leader is an entry's role in one cell, as its leader or as a candidate. Create
// it with New. It is not safe for concurrent use.
type Leader struct {
	cell    string
	writer  *writer.Writer
	fold    *fold.Fold
	members *member.Table
	log     *slog.Logger

	// term is the term that this entry leads, 0 if none.
	term uint64
	// termEnd is when this entry must stop acting as leader; it never decreases
	// within a term.
	termEnd time.Time
	// leadingSince is when this entry read its claim of the current term.
	leadingSince time.Time
	// pendingClaim is the id of the claim or renewal whose outcome is unknown, 0
	// if none.
	pendingClaim  uint64
	claimQueuedAt time.Time
	observed      observation
	// readAt is when the log was last read up to its end.
	readAt time.Time
	// vms holds the leases of the VMs, by VM name.
	vms map[string]*lease
	// proposals holds the ids of this entry's records whose outcome is unknown.
	proposals map[uint64]struct{}
	// revoking holds the VMs whose revocation is among proposals, by record id.
	revoking map[uint64]string
	// results holds the results of attempts that are not in the log yet.
	results map[ident.Attempt]*schema.Result
	// evicting holds the attempts that are being evicted for other tasks.
	evicting  map[ident.Attempt]eviction
	estimates place.Slowdown
	failures  failures
	promise   promise
	// peerPromise holds the promises that other entries reported, by writer.
	peerPromise map[string]peerPromise
	extension   extension
	snapshot    snapshotter
	// snapshotInterval is the time between two snapshots.
	snapshotInterval time.Duration
	// pokes holds the names of the VMs with new evictions, until Changed returns them.
	pokes []string
	// pokedAt is when the VMs without a lease from this leader were last poked.
	pokedAt time.Time
	// spreadAt is when replicas that share a VM were last searched for.
	spreadAt time.Time
	stats    Stats
}

// Stats counts the leader's decisions.
type Stats struct {
	Claims      uint64 `json:"claims"`
	Grants      uint64 `json:"grants"`
	Revocations uint64 `json:"revocations"`
	Evictions   uint64 `json:"evictions"`
	Snapshots   uint64 `json:"snapshots"`
	Extensions  uint64 `json:"extensions"`
}

// observation is the latest renewal of the current term that this entry read.
type observation struct {
	term uint64
	// renewedAt is the log offset of the renewal.
	renewedAt uint64
	// seenAt is when the renewal was read or, if the log had not been read for
	// more than maxReadAge, when reading resumed.
	seenAt time.Time
}

// New returns an entry's role in a cell. estimates may be nil; snapshotInterval
// is the time between two snapshots of the state, 0 means SnapshotInterval.
func New(cell string, f *fold.Fold, w *writer.Writer, members *member.Table, estimates place.Slowdown, snapshotInterval time.Duration, log *slog.Logger) *Leader {
	if snapshotInterval == 0 {
		snapshotInterval = SnapshotInterval
	}
	return &Leader{
		snapshotInterval: snapshotInterval,
		cell:             cell, fold: f, writer: w, members: members, estimates: estimates, log: log,
		vms: map[string]*lease{}, proposals: map[uint64]struct{}{}, revoking: map[uint64]string{},
		results: map[ident.Attempt]*schema.Result{}, evicting: map[ident.Attempt]eviction{},
	}
}

// ReplaceState replaces the state after it was loaded from a snapshot.
func (l *Leader) ReplaceState(f *fold.Fold) { l.fold = f }

// Cell returns the name of the cell.
func (l *Leader) Cell() string { return l.cell }

// Stats returns the counts of the decisions so far.
func (l *Leader) Stats() Stats { return l.stats }

// Leads reports whether this entry may act as the cell's leader now.
func (l *Leader) Leads(now time.Time) bool {
	if l.term == 0 || l.fold.Cell(l.cell).Term != l.term {
		return false
	}
	return now.Before(l.termEnd) || l.extension.active(now)
}

// Term returns the term that this entry leads, 0 if none.
func (l *Leader) Term() uint64 { return l.term }

// Read is called when the log was read up to its end at now.
func (l *Leader) Read(now time.Time) {
	c := l.fold.Cell(l.cell)
	gap := now.Sub(l.readAt) > maxReadAge
	l.readAt = now
	if gap || c.Term != l.observed.term || c.RenewedAt != l.observed.renewedAt {
		l.observed = observation{c.Term, c.RenewedAt, now}
	}
	l.updateLeadership(now, c)
}

// Resolved is called when the outcome of one of this entry's records is known.
func (l *Leader) Resolved(now time.Time, r writer.Result) {
	delete(l.proposals, r.ID)
	delete(l.revoking, r.ID)
	if r.ID == l.pendingClaim {
		l.pendingClaim = 0
		if r.Committed && r.Code == 0 {
			l.termEnd = later(l.termEnd, l.claimQueuedAt.Add(TermLease))
		}
	}
	l.updateLeadership(now, l.fold.Cell(l.cell))
}

// updateLeadership starts or stops leading after the log was read.
func (l *Leader) updateLeadership(now time.Time, c fold.Cell) {
	switch {
	case c.Leader == l.writer.ID() && l.term != c.Term:
		l.term, l.leadingSince = c.Term, now
		l.vms = map[string]*lease{}
		l.evicting = map[ident.Attempt]eviction{}
		l.results = map[ident.Attempt]*schema.Result{}
		l.stats.Claims++
		l.log.Info("became leader of the cell", "cell", l.cell, "term", c.Term)
	case c.Leader != l.writer.ID() && l.term != 0:
		l.log.Info("lost the leadership of the cell", "cell", l.cell, "term", l.term)
		l.term, l.termEnd = 0, time.Time{}
		l.extension = extension{}
	}
}

// pokeInterval is the time between two pokes of VMs without a lease from the leader.
const pokeInterval = 3 * time.Second

// Changed returns the names of the VMs to poke now, so that they send a heartbeat
// to this leader at once: those whose attempts changed and, every pokeInterval,
// those without a lease from this leader.
func (l *Leader) Changed(now time.Time) []string {
	vms := l.fold.Changed(l.cell)
	if l.term == 0 || !l.Leads(now) {
		return nil
	}
	vms = append(vms, l.pokes...)
	l.pokes = nil
	if now.Sub(l.pokedAt) < pokeInterval {
		return vms
	}
	l.pokedAt = now
	for _, m := range l.members.Present() {
		if m.GetCell() == l.cell && l.vms[m.GetVm()] == nil {
			vms = append(vms, m.GetVm())
		}
	}
	return vms
}

// Tick makes the decisions that are due at now.
func (l *Leader) Tick(now time.Time) {
	l.tickTerm(now)
	if !l.Leads(now) || !l.upToDate(now) {
		return
	}
	if now.Before(l.termEnd) {
		l.extension = extension{}
	}
	l.placeWaiting(now)
	l.spreadReplicas(now)
	l.proposeResults(now)
	l.revokeSilent(now)
	l.tickSnapshot(now)
}

// upToDate reports whether the state is recent and includes all decisions of
// this entry, so that further decisions can be based on it.
func (l *Leader) upToDate(now time.Time) bool {
	return now.Sub(l.readAt) <= maxReadAge && len(l.proposals) == 0 && !l.writer.LogUnavailable(now)
}

// propose queues a record for the log under this entry's term and returns its id.
func (l *Leader) propose(now time.Time, r *schema.Record) uint64 {
	r.Cell, r.Term = l.cell, l.term
	id := l.writer.Add(now, r)
	l.proposals[id] = struct{}{}
	return id
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// withMargin returns how long to wait so that d has passed on another process's
// clock, which may run slower.
func withMargin(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*ClockMargin)
}
