// Package leader decides for one cell who leads it and, on the leading entry,
// which VM runs which task.
//
// All that must be agreed is a record in the log. A term is valid from its
// record on and ends TermLease after the latest renewal was queued, so an old
// leader that lost the log stops before another may claim. A VM's attempts are
// taken away only by a record, and only after the VM must have stopped them by
// its own clock.
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

// Times of terms and leases.
const (
	// TermLease is how long a leader acts after it queued a renewal.
	TermLease = 5 * time.Second
	// renewEvery spaces the renewals of a term.
	renewEvery = time.Second
	// VMLease is how long a VM may run its attempts after it sent a beat.
	VMLease = 6 * time.Second
	// ClockMargin is added to every wait for another process's clock: clocks may
	// run at rates that differ by a tenth.
	ClockMargin = 0.1
	// claimStagger spaces the claims of entries that wait for the same term.
	claimStagger = 500 * time.Millisecond
	// readFresh is the age of the last read from which the fold counts as behind.
	readFresh = time.Second
	// MaxExtension bounds how long a leader without the log renews leases.
	MaxExtension = 75 * time.Minute
)

// Leader is one entry's part in one cell. Make it with New. It is not safe for
// concurrent use.
type Leader struct {
	cell    string
	writer  *writer.Writer
	fold    *fold.Fold
	members *member.Table
	log     *slog.Logger

	// term is the term this entry holds, 0 if none.
	term uint64
	// heldUntil ends the right to act; it only grows within a term.
	heldUntil time.Time
	// tookOver is when this entry read its claim.
	tookOver time.Time
	// claim is the id of the claim or renewal whose fate is open, 0 if none.
	claim    uint64
	claimAt  time.Time
	observed observation
	// readAt is when the log was last read up to its end.
	readAt time.Time
	vms    map[string]*lease
	// proposals holds the ids of own records whose fate is open.
	proposals map[uint64]struct{}
	// results holds ends of attempts that are not in the log yet.
	results  map[ident.Attempt]*schema.Result
	evicting map[ident.Attempt]eviction
	learned  place.Slowdown
	failures failures
	promise  promise
	// heard holds what other entries say of their promises, by writer.
	heard    map[string]heard
	outage   outage
	snapshot snapshotter
	// snapshotEvery spaces the snapshots.
	snapshotEvery time.Duration
	// pokes holds VMs with attempts that were newly asked to leave.
	pokes []string
	// pokedAt is when VMs that do not follow were poked last.
	pokedAt time.Time
	stats   Stats
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

// observation is what this entry saw of the current term.
type observation struct {
	term      uint64
	renewedAt uint64
	// at is when the latest renewal was read.
	at time.Time
}

// New returns an entry's part in a cell. learned may be nil; snapshotEvery spaces
// the snapshots of the state, 0 means SnapshotEvery.
func New(cell string, f *fold.Fold, w *writer.Writer, members *member.Table, learned place.Slowdown, snapshotEvery time.Duration, log *slog.Logger) *Leader {
	if snapshotEvery == 0 {
		snapshotEvery = SnapshotInterval
	}
	return &Leader{
		snapshotEvery: snapshotEvery,
		cell:          cell, fold: f, writer: w, members: members, learned: learned, log: log,
		vms: map[string]*lease{}, proposals: map[uint64]struct{}{},
		results: map[ident.Attempt]*schema.Result{}, evicting: map[ident.Attempt]eviction{},
	}
}

// ReplaceState sets the fold after it was loaded anew.
func (l *Leader) ReplaceState(f *fold.Fold) { l.fold = f }

// Cell returns the name of the cell.
func (l *Leader) Cell() string { return l.cell }

// Stats returns counts of the decisions so far.
func (l *Leader) Stats() Stats { return l.stats }

// Leads reports whether this entry may act as the cell's leader now.
func (l *Leader) Leads(now time.Time) bool {
	if l.term == 0 || l.fold.Cell(l.cell).Term != l.term {
		return false
	}
	return now.Before(l.heldUntil) || l.outage.extended(now)
}

// Term returns the term that this entry holds, 0 if none.
func (l *Leader) Term() uint64 { return l.term }

// Read reports that the log was read up to its end at now.
func (l *Leader) Read(now time.Time) {
	c := l.fold.Cell(l.cell)
	unread := now.Sub(l.readAt) > readFresh
	l.readAt = now
	if unread || c.Term != l.observed.term || c.RenewedAt != l.observed.renewedAt {
		l.observed = observation{c.Term, c.RenewedAt, now}
	}
	l.adopt(now, c)
}

// Resolved reports the fate of one of this entry's records.
func (l *Leader) Resolved(now time.Time, r writer.Result) {
	delete(l.proposals, r.ID)
	if r.ID == l.claim {
		l.claim = 0
		if r.Committed && r.Code == 0 {
			l.heldUntil = later(l.heldUntil, l.claimAt.Add(TermLease))
		}
	}
	l.adopt(now, l.fold.Cell(l.cell))
}

// adopt follows a change of leader that was read from the log.
func (l *Leader) adopt(now time.Time, c fold.Cell) {
	switch {
	case c.Leader == l.writer.ID() && l.term != c.Term:
		l.term, l.tookOver = c.Term, now
		l.vms = map[string]*lease{}
		l.evicting = map[ident.Attempt]eviction{}
		l.results = map[ident.Attempt]*schema.Result{}
		l.stats.Claims++
		l.log.Info("leads cell", "cell", l.cell, "term", c.Term)
	case c.Leader != l.writer.ID() && l.term != 0:
		l.log.Info("no longer leads cell", "cell", l.cell, "term", l.term)
		l.term, l.heldUntil = 0, time.Time{}
		l.outage = outage{}
	}
}

// strangersEvery spaces the pokes of VMs that do not follow the leader.
const strangersEvery = 3 * time.Second

// Changed returns the VMs that should hear from the leader at once: those whose
// attempts changed, and from time to time those that follow no leader, or another.
func (l *Leader) Changed(now time.Time) []string {
	vms := l.fold.Changed(l.cell)
	if l.term == 0 || !l.Leads(now) {
		return nil
	}
	vms = append(vms, l.pokes...)
	l.pokes = nil
	if now.Sub(l.pokedAt) < strangersEvery {
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

// Tick makes the decisions that are due.
func (l *Leader) Tick(now time.Time) {
	l.tickTerm(now)
	if !l.Leads(now) || !l.current(now) {
		return
	}
	if now.Before(l.heldUntil) {
		l.outage = outage{}
	}
	l.plan(now)
	l.proposeResults(now)
	l.revokeSilent(now)
	l.tickSnapshot(now)
}

// current reports whether the fold is fresh and holds all own decisions, so
// that new ones can build on it.
func (l *Leader) current(now time.Time) bool {
	return now.Sub(l.readAt) <= readFresh && len(l.proposals) == 0 && !l.writer.LogUnavailable(now)
}

func (l *Leader) propose(now time.Time, r *schema.Record) {
	r.Cell, r.Term = l.cell, l.term
	l.proposals[l.writer.Add(now, r)] = struct{}{}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// withMargin returns d as measured by a clock that may run slower.
func withMargin(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*ClockMargin)
}
