package fold

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// Cell is the leadership of one set of VMs.
type Cell struct {
	Name string
	// Term grows by one with each change of leader and never falls.
	Term   uint64
	Leader string
	// ClaimedAt is the offset of the record that began the term.
	ClaimedAt uint64
	// RenewedAt is the offset of the latest record that renewed it.
	RenewedAt uint64
	// Known is the offset up to which the leader had certainly read the log.
	Known uint64
	// PriorKnown is Known of the term before. The former leader needed the promise
	// of every entry that joined before it to go on without the log.
	PriorKnown uint64
}

// Cell returns the leadership of a cell; an unclaimed cell has term 0.
func (f *Fold) Cell(name string) Cell {
	if c := f.cells[name]; c != nil {
		return *c
	}
	return Cell{Name: name}
}

func (f *Fold) leads(cell, writer string, term uint64) bool {
	c := f.cells[cell]
	return c != nil && c.Leader == writer && c.Term == term
}

func (f *Fold) claim(offset uint64, b *schema.Batch, cell string, claim *schema.Claim) Applied {
	c := f.cells[cell]
	if c == nil {
		c = &Cell{Name: cell}
		f.cells[cell] = c
	}
	switch {
	case claim.GetTerm() == c.Term && c.Leader == b.GetWriter():
		c.RenewedAt, c.Known = offset, claim.GetRead()
	case claim.GetTerm() == c.Term+1:
		c.PriorKnown, c.Known = c.Known, claim.GetRead()
		c.Term, c.Leader = claim.GetTerm(), b.GetWriter()
		c.ClaimedAt, c.RenewedAt = offset, offset
	default:
		f.stats.StaleTerm++
		return Applied{Code: codes.Leaving}
	}
	f.advance(time.UnixMilli(b.GetAtMs()))
	return Applied{}
}

func (f *Fold) advance(at time.Time) {
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
