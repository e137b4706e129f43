package leader

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/state/fold"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// promise is what this entry promised to a leader that lost the log: not to
// revoke VMs that it cannot reach before until.
type promise struct {
	term  uint64
	until time.Time
}

// outage is the extension of a term whose leader lost the log.
type outage struct {
	// since is when the extension was asked for first; zero if never.
	since time.Time
	// granted holds the writers that promised.
	granted map[string]bool
	// until is set once all needed entries promised.
	until time.Time
}

func (o *outage) extended(now time.Time) bool { return now.Before(o.until) }

// Promise answers a leader that lost the log and asks this entry not to revoke
// silent VMs for a while. It is granted only if this entry lost the log too and
// has no claim of its own under way.
func (l *Leader) Promise(now time.Time, leader string, term uint64, d time.Duration) bool {
	c := l.fold.Cell(l.cell)
	if c.Term != term || c.Leader != leader || l.claim != 0 {
		return false
	}
	if now.Sub(l.readAt) <= readFresh && !l.writer.LogUnavailable(now) {
		return false
	}
	d = withMargin(min(d, MaxExtension))
	l.promise = promise{term, later(l.promise.until, now.Add(d))}
	return true
}

// MissingPromises returns the entries whose promises are missing for this entry to go on
// without the log, and how long they are needed for. Nil means none.
func (l *Leader) MissingPromises(now time.Time) ([]fold.Writer, time.Duration) {
	c := l.fold.Cell(l.cell)
	if l.term == 0 || c.Term != l.term || l.outage.extended(now) {
		return nil, 0
	}
	if !l.writer.LogUnavailable(now) || now.Sub(l.readAt) <= readFresh {
		return nil, 0
	}
	end := l.extensionLimit()
	if !now.Before(l.heldUntil) || !now.Before(end) {
		return nil, 0 // too late: another entry may have acted already
	}
	var missing []fold.Writer
	for _, e := range l.fold.Entries() {
		if e.ID != l.writer.ID() && !l.outage.granted[e.ID] {
			missing = append(missing, e)
		}
	}
	if len(missing) == 0 {
		l.extend(now, end)
	}
	return missing, end.Sub(now)
}

// extensionLimit is MaxExtension after the last moment at which this entry
// certainly knew all others: its latest renewal that it read back.
func (l *Leader) extensionLimit() time.Time {
	return l.heldUntil.Add(MaxExtension - TermLease)
}

// PromiseGranted reports that an entry granted this leader's request.
func (l *Leader) PromiseGranted(now time.Time, writerID string) {
	if l.outage.granted == nil {
		l.outage.granted = map[string]bool{}
	}
	l.outage.granted[writerID] = true
	l.MissingPromises(now)
}

func (l *Leader) extend(now, end time.Time) {
	l.outage.since, l.outage.until = now, end
	l.stats.Extensions++
	l.log.Warn("renews leases without the log", "cell", l.cell, "term", l.term, "until", end)
}

// extensionEnd returns until when VMs that this entry cannot reach may still be
// running under the extended term of the former leader.
//
// An extension needs the promise of every entry that the former leader knew. If
// this entry is certainly one of them, its own promise decides. If it joined
// later, one of them can tell; if none does, it waits for the longest extension.
func (l *Leader) extensionEnd() time.Time {
	c := l.fold.Cell(l.cell)
	if c.Term <= 1 || c.PriorKnown == 0 {
		return time.Time{}
	}
	own, ok := l.fold.Writer(l.writer.ID())
	if ok && own.JoinedAt < c.PriorKnown {
		if l.promise.term == c.Term-1 {
			return l.promise.until.Add(withMargin(VMLease))
		}
		return time.Time{}
	}
	for id, h := range l.heard {
		w, known := l.fold.Writer(id)
		if !known || w.JoinedAt >= c.PriorKnown || h.readTerm < c.Term {
			continue
		}
		if h.term != c.Term-1 {
			return time.Time{} // the former leader needed its promise and has none
		}
		return h.until.Add(withMargin(VMLease))
	}
	return l.tookOver.Add(withMargin(MaxExtension))
}

// heard is what another entry said of its promises.
type heard struct {
	readTerm uint64
	promise
}

// Promises returns what this entry promised, for other entries.
func (l *Leader) Promises(now time.Time) *schema.CellPromise {
	return &schema.CellPromise{
		Cell: l.cell, ReadTerm: l.fold.Cell(l.cell).Term, Term: l.promise.term,
		LeftMs: max(0, l.promise.until.Sub(now)).Milliseconds(),
	}
}

// RecordPeerPromise takes what another entry says of its promises.
func (l *Leader) RecordPeerPromise(now time.Time, writerID string, p *schema.CellPromise) {
	if l.heard == nil {
		l.heard = map[string]heard{}
	}
	left := withMargin(time.Duration(p.GetLeftMs()) * time.Millisecond)
	l.heard[writerID] = heard{p.GetReadTerm(), promise{p.GetTerm(), now.Add(left)}}
}
