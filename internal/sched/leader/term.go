package leader

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// tickTerm renews the term that this entry leads, or claims the next one after
// the current one expired.
func (l *Leader) tickTerm(now time.Time) {
	if l.pendingClaim != 0 || l.observed.seenAt.IsZero() {
		return
	}
	c := l.fold.Cell(l.cell)
	if c.Leader == l.writer.ID() && c.Term > 0 {
		if now.Sub(l.claimQueuedAt) >= renewInterval {
			l.sendClaim(now, c.Term)
		}
		return
	}
	if l.mayClaim(now, c.Term) {
		l.sendClaim(now, c.Term+1)
	}
}

// sendClaim queues the claim of a term, or its renewal.
func (l *Leader) sendClaim(now time.Time, term uint64) {
	l.claimQueuedAt = now
	l.pendingClaim = l.writer.Add(now, &schema.Record{
		Cell: l.cell, Body: &schema.Record_Claim{Claim: &schema.Claim{Term: term, Read: l.fold.Next()}},
	})
}

// mayClaim reports whether the current leader must have stopped acting and it is
// this entry's turn to claim the next term.
func (l *Leader) mayClaim(now time.Time, term uint64) bool {
	if now.Sub(l.readAt) > maxReadAge || l.writer.LogUnavailable(now) {
		return false
	}
	wait := l.stagger()
	if term > 0 && !l.leaderLeft() {
		wait += withMargin(TermLease)
	}
	return now.Sub(l.observed.seenAt) >= wait
}

// leaderLeft reports whether the current leader left in an orderly way, so that
// its lease need not be waited for.
func (l *Leader) leaderLeft() bool {
	w, ok := l.fold.Writer(l.fold.Cell(l.cell).Leader)
	return ok && w.Left
}

// stagger returns the delay of this entry's claim. The entries claim one after
// another, in an order that differs between cells, so that the leadership of the
// cells is spread over the entries.
func (l *Leader) stagger() time.Duration {
	entries := l.fold.Entries()
	own := rendezvousHash(l.cell, l.writer.ID())
	rank := 0
	for _, e := range entries {
		if rendezvousHash(l.cell, e.ID) < own {
			rank++
		}
	}
	return time.Duration(rank) * claimStagger
}
