// Package once makes an upstream run each non-idempotent request at most once.
//
// The table remembers the ids of requests for Keep. An id carries the time at
// which it was made; an id older than that, or older than the process itself,
// is refused, because the table cannot know whether it ran.
package once

import "time"

// Times of the table.
const (
	// Retention is how long an id is remembered, and so how old an id may be.
	Retention = 2 * time.Minute
	// ClockSkew bounds how much the clocks of callers, entries and upstreams
	// differ.
	ClockSkew = 2 * time.Second
	// ConvergenceTime is the time after which every entry knows of an upstream that
	// started; it runs no id that is older than that.
	ConvergenceTime = 5 * time.Second
)

// Verdict is what may be done with an id.
type Verdict uint8

// The verdicts of Begin.
const (
	// Run means that the request has not run and may run now.
	Run Verdict = iota
	// Duplicate means that the request started before.
	Duplicate
	// Revoked means that the request must not run any more.
	Revoked
	// Stale means that it is not known whether the request ran.
	Stale
)

type state uint8

const (
	waiting state = iota + 1
	started
	revoked
)

type row struct {
	id    string
	until time.Time
}

// Table remembers request ids. Make it with New. It is not safe for concurrent
// use.
type Table struct {
	since time.Time
	ids   map[string]state
	// order holds the rows by the time at which they are forgotten.
	order []row
}

// New returns the table of a process that started at since.
func New(since time.Time) *Table { return &Table{since: since, ids: map[string]state{}} }

// Len returns the number of ids remembered.
func (t *Table) Len() int { return len(t.ids) }

// Register enters an id that was made at stamp. A zero stamp means that the entry
// made the id itself and sends it to this upstream alone.
func (t *Table) Register(now time.Time, id string, stamp time.Time) Verdict {
	t.expire(now)
	switch t.ids[id] {
	case waiting, started:
		return Duplicate
	case revoked:
		return Revoked
	}
	if !stamp.IsZero() && t.stale(now, stamp) {
		return Stale
	}
	t.put(now, id, waiting)
	return Run
}

func (t *Table) stale(now, stamp time.Time) bool {
	return now.Sub(stamp) > Retention-ClockSkew || stamp.Sub(now) > ClockSkew || stamp.Before(t.since.Add(ConvergenceTime))
}

// Start marks an entered id as running. It returns false if it was revoked.
func (t *Table) Start(id string) bool {
	if t.ids[id] != waiting {
		return false
	}
	t.ids[id] = started
	return true
}

// Withdraw forgets an entered id that did not start, so that it may come again.
func (t *Table) Withdraw(id string) {
	if t.ids[id] == waiting {
		delete(t.ids, id)
	}
}

// Revoke makes certain that an id never starts here. It returns false if it has.
func (t *Table) Revoke(now time.Time, id string) bool {
	t.expire(now)
	if t.ids[id] == started {
		return false
	}
	if t.ids[id] == 0 {
		t.put(now, id, revoked)
	}
	t.ids[id] = revoked
	return true
}

func (t *Table) put(now time.Time, id string, s state) {
	t.ids[id] = s
	t.order = append(t.order, row{id, now.Add(Retention)})
}

func (t *Table) expire(now time.Time) {
	n := 0
	for n < len(t.order) && !now.Before(t.order[n].until) {
		delete(t.ids, t.order[n].id)
		n++
	}
	if n > 0 {
		t.order = append(t.order[:0], t.order[n:]...)
	}
}
