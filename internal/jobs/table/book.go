// Package book keeps what the scheduler knows of accepted jobs and turns changes
// into records for the platform's store.
//
// The leader changes a Book at once and lets an effect leave the process only
// after the records of the change are in the store. A Book is loaded again from
// the newest record of each key, so two records describe a job: the work as
// handed in, which never changes, and its progress.
package table

import (
	"maps"
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
)

// Table holds all jobs. Its zero value is empty and ready for use.
type Table struct {
	entries map[model.ID]*Entry
	// active holds the entries that have not ended.
	active map[model.ID]*Entry
	// dirty holds entries with changes that no record carries yet, in order.
	dirty []*Entry
	// forgotten holds the ids whose records are to be dropped.
	forgotten []model.ID
}

// Get returns the entry of a job, or nil.
func (b *Table) Get(id model.ID) *Entry { return b.entries[id] }

// Len returns the number of jobs known.
func (b *Table) Len() int { return len(b.entries) }

// Active returns the jobs that have not ended, by id.
func (b *Table) Active() []*Entry {
	return slices.SortedFunc(maps.Values(b.active), func(x, y *Entry) int {
		if c := x.Job.Accepted.Compare(y.Job.Accepted); c != 0 {
			return c
		}
		if x.Job.ID < y.Job.ID {
			return -1
		}
		return 1
	})
}

// Add accepts a job that is not known yet.
func (b *Table) Add(job model.Job) *Entry {
	e := newEntry(job, Progress{})
	b.insert(e)
	e.fresh = true
	b.touch(e)
	return e
}

func (b *Table) insert(e *Entry) {
	if b.entries == nil {
		b.entries, b.active = map[model.ID]*Entry{}, map[model.ID]*Entry{}
	}
	b.entries[e.Job.ID] = e
	if !e.State.Ended() {
		b.active[e.Job.ID] = e
	}
}

// Drop takes back a job whose record certainly never reached the store.
func (b *Table) Drop(id model.ID) {
	delete(b.entries, id)
	delete(b.active, id)
	b.dirty = slices.DeleteFunc(b.dirty, func(e *Entry) bool { return e.Job.ID == id })
}

func (b *Table) touch(e *Entry) {
	if e.dirty {
		return
	}
	e.dirty = true
	b.dirty = append(b.dirty, e)
}

// Cancel ends a job at its caller's wish. It does nothing to a job that has ended.
func (b *Table) Cancel(now time.Time, e *Entry) {
	b.finish(now, e, Cancelled, "cancelled by the caller")
}

// Fail ends a job that can never be done.
func (b *Table) Fail(now time.Time, e *Entry, reason string) {
	b.finish(now, e, Failed, reason)
}

func (b *Table) finish(now time.Time, e *Entry, state State, reason string) {
	if e.State.Ended() {
		return
	}
	e.State, e.Reason, e.Ended = state, reason, now
	delete(b.active, e.Job.ID)
	b.touch(e)
}

// Purge drops jobs that ended before a time and have no run left.
func (b *Table) Purge(before time.Time) {
	for id, e := range b.entries {
		if e.State.Ended() && e.Ended.Before(before) && !e.dirty && len(e.Surplus()) == 0 {
			delete(b.entries, id)
			b.forgotten = append(b.forgotten, id)
		}
	}
}

// Dirty reports whether a change waits for a record.
func (b *Table) Dirty() bool { return len(b.dirty) > 0 || len(b.forgotten) > 0 }

// Unrecorded returns the jobs that no record carries yet.
func (b *Table) Unrecorded() []*Entry {
	var list []*Entry
	for _, e := range b.dirty {
		if e.fresh {
			list = append(list, e)
		}
	}
	return list
}

// All returns all jobs, in no order.
func (b *Table) All() []*Entry { return slices.Collect(maps.Values(b.entries)) }
