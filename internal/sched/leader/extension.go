package leader

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/state/fold"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// promise is this entry's promise to a leader that cannot reach the log. If this
// entry becomes the next leader, it does not revoke VMs that do not contact it
// until the promise and their leases have expired.
type promise struct {
	// term is the term of the leader that got the promise.
	term uint64
	// until is when the promise expires, with the margin for the other process's clock.
	until time.Time
}

// extension is the extension of this entry's term while it cannot reach the log.
type extension struct {
	// since is when the extension began, zero if there is none.
	since time.Time
	// promised holds the writers whose promises were granted.
	promised map[string]bool
	// until is when the extension ends; it is set once all promises were granted.
	until time.Time
}

// active reports whether the extension is in force.
func (e *extension) active(now time.Time) bool { return now.Before(e.until) }

// Promise handles the request of a leader that cannot reach the log. It asks this
// entry not to revoke, for a duration d, VMs that do not contact it. Promise
// returns true if it grants that, which it does only if this entry cannot reach
// the log either and has no pending claim.
func (l *Leader) Promise(now time.Time, leader string, term uint64, d time.Duration) bool {
	c := l.fold.Cell(l.cell)
	if c.Term != term || c.Leader != leader || l.pendingClaim != 0 {
		return false
	}
	if now.Sub(l.readAt) <= maxReadAge && !l.writer.LogUnavailable(now) {
		return false
	}
	d = withMargin(min(d, MaxExtension))
	l.promise = promise{term, later(l.promise.until, now.Add(d))}
	return true
}

// MissingPromises returns the entries whose promises this leader still needs to
// go on without the log, and how long they must hold. The list is empty while the
// log is reachable, or if it is too late for an extension. Once no promise is
// missing, the extension begins.
func (l *Leader) MissingPromises(now time.Time) ([]fold.Writer, time.Duration) {
	c := l.fold.Cell(l.cell)
	if l.term == 0 || c.Term != l.term || l.extension.active(now) {
		return nil, 0
	}
	if !l.writer.LogUnavailable(now) || now.Sub(l.readAt) <= maxReadAge {
		return nil, 0
	}
	end := l.extensionLimit()
	if !now.Before(l.termEnd) || !now.Before(end) {
		return nil, 0 // too late: another entry may already have revoked VMs
	}
	var missing []fold.Writer
	for _, e := range l.fold.Entries() {
		if e.ID != l.writer.ID() && !l.extension.promised[e.ID] {
			missing = append(missing, e)
		}
	}
	if len(missing) == 0 {
		l.extend(now, end)
	}
	return missing, end.Sub(now)
}

// extensionLimit returns when an extension must end: MaxExtension after the last
// moment at which this entry certainly knew all others. That is when the latest
// renewal that it read back was queued, which is TermLease before termEnd.
func (l *Leader) extensionLimit() time.Time {
	return l.termEnd.Add(MaxExtension - TermLease)
}

// PromiseGranted is called when another entry granted the promise that this
// leader requested.
func (l *Leader) PromiseGranted(now time.Time, writerID string) {
	if l.extension.promised == nil {
		l.extension.promised = map[string]bool{}
	}
	l.extension.promised[writerID] = true
	l.MissingPromises(now) // begins the extension if no promise is missing any more
}

// extend begins an extension that ends at end.
func (l *Leader) extend(now, end time.Time) {
	l.extension.since, l.extension.until = now, end
	l.stats.Extensions++
	l.log.Warn("renews leases without the log", "cell", l.cell, "term", l.term, "until", end)
}

// extensionEnd returns when the leases that the former leader renewed during an
// extension of its term have certainly expired. Until then, VMs that have not
// contacted this leader may still run attempts. Zero means that there was no
// extension.
//
// An extension needs the promise of every entry that the former leader knew. If
// this entry is certainly one of them, its own promise shows whether there was an
// extension. If it joined later, the promises that they report show it: one that was not
// given excludes an extension, and otherwise the latest end counts. If none has reported
// one yet, the longest possible extension is assumed.
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
	var until time.Time
	for id, p := range l.peerPromise {
		w, known := l.fold.Writer(id)
		if !known || w.JoinedAt >= c.PriorKnown || p.readTerm < c.Term {
			continue
		}
		if p.term != c.Term-1 {
			return time.Time{} // the former leader needed this promise and did not get it
		}
		until = later(until, p.until)
	}
	if until.IsZero() {
		return l.leadingSince.Add(withMargin(MaxExtension))
	}
	return until.Add(withMargin(VMLease))
}

// peerPromise is a promise that another entry reported.
type peerPromise struct {
	// readTerm is the latest term that the other entry had read from the log.
	readTerm uint64
	promise
}

// Promises returns this entry's latest promise, to be reported to other entries.
func (l *Leader) Promises(now time.Time) *schema.CellPromise {
	return &schema.CellPromise{
		Cell: l.cell, ReadTerm: l.fold.Cell(l.cell).Term, Term: l.promise.term,
		LeftMs: max(0, l.promise.until.Sub(now)).Milliseconds(),
	}
}

// RecordPeerPromise stores the promise that another entry reported.
func (l *Leader) RecordPeerPromise(now time.Time, writerID string, p *schema.CellPromise) {
	if l.peerPromise == nil {
		l.peerPromise = map[string]peerPromise{}
	}
	left := withMargin(time.Duration(p.GetLeftMs()) * time.Millisecond)
	l.peerPromise[writerID] = peerPromise{p.GetReadTerm(), promise{p.GetTerm(), now.Add(left)}}
}
