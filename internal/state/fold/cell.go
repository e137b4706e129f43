package fold

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// Cell is the leadership of one cell, a set of VMs with one leader at a time.
type Cell struct {
	Name string
	// Term grows by one with each change of leader and never falls.
	Term   uint64
	Leader string
	// ClaimedAt is the offset of the record that began the term.
	ClaimedAt uint64
	// RenewedAt is the offset of the latest record that began or renewed the term.
	RenewedAt uint64
	// Known is the offset up to which the leader had read the log when it sent its
	// latest claim.
	Known uint64
	// PriorKnown is the value that Known had at the end of the previous term. To keep
	// leading without the log, the previous leader needed a promise from every entry
	// that joined before this offset.
	PriorKnown uint64
}

// Cell returns the leadership of a cell. A cell that was never claimed has term 0.
func (f *Fold) Cell(name string) Cell {
	if c := f.cells[name]; c != nil {
		return *c
	}
	return Cell{Name: name}
}

// isLeader reports whether a writer leads a cell in the given term.
func (f *Fold) isLeader(cell, writer string, term uint64) bool {
	c := f.cells[cell]
	return c != nil && c.Leader == writer && c.Term == term
}

// claim begins the next term of a cell, or renews the current one for its leader. If
// several writers claim the same term, only the first claim in the log takes effect. A
// claimant must have read the latest renewal, since it waits from then on until the
// leader has stopped; the log may delay its claim.
func (f *Fold) claim(offset uint64, b *schema.Batch, cell string, claim *schema.Claim) Applied {
	c := f.cells[cell]
	if c == nil {
		c = &Cell{Name: cell}
		f.cells[cell] = c
	}
	switch {
	case claim.GetTerm() == c.Term && c.Leader == b.GetWriter():
		c.RenewedAt, c.Known = offset, claim.GetRead()
	case claim.GetTerm() == c.Term+1 && (c.Term == 0 || claim.GetRead() > c.RenewedAt):
		c.PriorKnown, c.Known = c.Known, claim.GetRead()
		c.Term, c.Leader = claim.GetTerm(), b.GetWriter()
		c.ClaimedAt, c.RenewedAt = offset, offset
	default:
		f.stats.StaleTerm++
		return Applied{Code: codes.Leaving}
	}
	f.advanceClock(time.UnixMilli(b.GetAtMs()))
	return Applied{}
}

// advanceClock moves the clock forward to at, by at most maxClockStep. Before the
// first call there is no clock to measure a step from, so at is taken as it is.
func (f *Fold) advanceClock(at time.Time) {
	if f.clock.IsZero() {
		f.clock = at
		return
	}
	if limit := f.clock.Add(maxClockStep); at.After(limit) {
		at = limit
	}
	if at.After(f.clock) {
		f.clock = at
	}
}

// IsFirstCell reports whether no cell that has a leader sorts before name.
func (f *Fold) IsFirstCell(name string) bool {
	for other, c := range f.cells {
		if c.Term > 0 && other < name {
			return false
		}
	}
	return true
}
