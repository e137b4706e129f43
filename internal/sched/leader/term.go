package leader

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// tickTerm renews the term that this entry holds, or claims one that lapsed.
func (l *Leader) tickTerm(now time.Time) {
	if l.claim != 0 || l.observed.at.IsZero() {
		return
	}
	c := l.fold.Cell(l.cell)
	if c.Leader == l.writer.ID() && c.Term > 0 {
		if now.Sub(l.claimAt) >= renewEvery {
			l.sendClaim(now, c.Term)
		}
		return
	}
	if l.mayClaim(now, c.Term) {
		l.sendClaim(now, c.Term+1)
	}
}

func (l *Leader) sendClaim(now time.Time, term uint64) {
	l.claimAt = now
	l.claim = l.writer.Add(now, &schema.Record{
		Cell: l.cell, Body: &schema.Record_Claim{Claim: &schema.Claim{Term: term, Read: l.fold.Next()}},
	})
}

// mayClaim reports whether the former leader's right to act has surely ended.
func (l *Leader) mayClaim(now time.Time, term uint64) bool {
	if now.Sub(l.readAt) > readFresh || l.writer.LogUnavailable(now) {
		return false
	}
	wait := l.stagger()
	if term > 0 && !l.leaderLeft() {
		wait += withMargin(TermLease)
	}
	return now.Sub(l.observed.at) >= wait
}

func (l *Leader) leaderLeft() bool {
	w, ok := l.fold.Writer(l.fold.Cell(l.cell).Leader)
	return ok && w.Left
}

// stagger lets the entries try one after the other, in an order that differs
// between cells, so that the cells spread over the entries.
func (l *Leader) stagger() time.Duration {
	entries := l.fold.Entries()
	own := weigh(l.cell, l.writer.ID())
	rank := 0
	for _, e := range entries {
		if weigh(l.cell, e.ID) < own {
			rank++
		}
	}
	return time.Duration(rank) * claimStagger
}
