// Package once ensures that an upstream runs each non-idempotent request at most once.
//
// A Table remembers request ids for the time Retention. An id comes with the time at
// which it was made. An id older than Retention, or older than the process, is
// refused because the table cannot know whether the request has run.
package once

import "time"

// Durations that a Table depends on.
const (
	// Retention is how long an id is remembered, and therefore the limit on the age of
	// an id.
	Retention = 2 * time.Minute
	// ClockSkew is the largest difference assumed between the clocks of callers,
	// entries and upstreams.
	ClockSkew = 2 * time.Second
	// ConvergenceTime is the time from the start of an upstream until every entry
	// knows of it. The upstream runs no request whose id was made before that.
	ConvergenceTime = 5 * time.Second
)

// Verdict says whether the request with an id may run.
type Verdict uint8

// The verdicts of Register.
const (
	// Run means that the request has not run and may run now.
	Run Verdict = iota
	// Duplicate means that the request with this id was registered before.
	Duplicate
	// Revoked means that the request was revoked and must not run.
	Revoked
	// Stale means that the table cannot know whether the request has run.
	Stale
)

// state is the state of a known id; 0 means that the id is unknown.
type state uint8

const (
	waiting state = iota + 1
	started
	revoked
)

// expiry is the time at which an id is forgotten.
type expiry struct {
	id        string
	expiresAt time.Time
}

// Table remembers request ids. Make it with New. It is not safe for concurrent
// use.
type Table struct {
	processStart time.Time
	ids          map[string]state
	// expiries is sorted by expiresAt. It may hold ids that were withdrawn, and an id
	// twice if it was registered again afterwards.
	expiries []expiry
}

// New returns the table of a process that started at processStart.
func New(processStart time.Time) *Table {
	return &Table{processStart: processStart, ids: map[string]state{}}
}

// Len returns the number of ids in the table.
func (t *Table) Len() int { return len(t.ids) }

// Register adds an id that was made at stamp if its request may run. A zero stamp
// means that an entry made the id and sends it to no other upstream.
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
	t.insert(now, id, waiting)
	return Run
}

// stale reports whether stamp is outside the range in which the table knows all ids.
func (t *Table) stale(now, stamp time.Time) bool {
	return now.Sub(stamp) > Retention-ClockSkew || stamp.Sub(now) > ClockSkew || stamp.Before(t.processStart.Add(ConvergenceTime))
}

// Start marks a registered id as started. It returns false if the id was revoked.
func (t *Table) Start(id string) bool {
	if t.ids[id] != waiting {
		return false
	}
	t.ids[id] = started
	return true
}

// Withdraw removes a registered id that did not start, so that it can be registered
// again.
func (t *Table) Withdraw(id string) {
	if t.ids[id] == waiting {
		delete(t.ids, id)
	}
}

// Revoke ensures that the request with an id that was made at stamp never starts here. It
// returns false if the request has started, or if the table cannot know whether it has.
func (t *Table) Revoke(now time.Time, id string, stamp time.Time) bool {
	t.expire(now)
	switch t.ids[id] {
	case started:
		return false
	case waiting, revoked:
		t.ids[id] = revoked
		return true
	}
	t.insert(now, id, revoked)
	return !t.stale(now, stamp)
}

func (t *Table) insert(now time.Time, id string, s state) {
	t.ids[id] = s
	t.expiries = append(t.expiries, expiry{id, now.Add(Retention)})
}

// expire forgets the ids that have been remembered for Retention.
func (t *Table) expire(now time.Time) {
	n := 0
	for n < len(t.expiries) && !now.Before(t.expiries[n].expiresAt) {
		delete(t.ids, t.expiries[n].id)
		n++
	}
	if n > 0 {
		t.expiries = append(t.expiries[:0], t.expiries[n:]...)
	}
}
