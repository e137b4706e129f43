// Package table keeps what the scheduler knows of accepted jobs and turns changes
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
	// purged holds the ids whose records are to be dropped.
	purged []model.ID
}

// Get returns the entry of a job, or nil.
func (tbl *Table) Get(id model.ID) *Entry { return tbl.entries[id] }

// Len returns the number of jobs known.
func (tbl *Table) Len() int { return len(tbl.entries) }

// Active returns the jobs that have not ended, by id.
func (tbl *Table) Active() []*Entry {
	return slices.SortedFunc(maps.Values(tbl.active), func(x, y *Entry) int {
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
func (tbl *Table) Add(job model.Job) *Entry {
	e := newEntry(job, Progress{})
	tbl.insert(e)
	e.unrecorded = true
	tbl.markDirty(e)
	return e
}

func (tbl *Table) insert(e *Entry) {
	if tbl.entries == nil {
		tbl.entries, tbl.active = map[model.ID]*Entry{}, map[model.ID]*Entry{}
	}
	tbl.entries[e.Job.ID] = e
	if !e.State.Ended() {
		tbl.active[e.Job.ID] = e
	}
}

// Drop takes back a job whose record certainly never reached the store.
func (tbl *Table) Drop(id model.ID) {
	delete(tbl.entries, id)
	delete(tbl.active, id)
	tbl.dirty = slices.DeleteFunc(tbl.dirty, func(e *Entry) bool { return e.Job.ID == id })
}

func (tbl *Table) markDirty(e *Entry) {
	if e.dirty {
		return
	}
	e.dirty = true
	tbl.dirty = append(tbl.dirty, e)
}

// Cancel ends a job at its caller's wish. It does nothing to a job that has ended.
func (tbl *Table) Cancel(now time.Time, e *Entry) {
	tbl.finish(now, e, Cancelled, "cancelled by the caller")
}

// Fail ends a job that can never be done.
func (tbl *Table) Fail(now time.Time, e *Entry, reason string) {
	tbl.finish(now, e, Failed, reason)
}

func (tbl *Table) finish(now time.Time, e *Entry, state State, reason string) {
	if e.State.Ended() {
		return
	}
	e.State, e.Reason, e.Ended = state, reason, now
	delete(tbl.active, e.Job.ID)
	tbl.markDirty(e)
}

// Purge drops jobs that ended before a time and have no run left.
func (tbl *Table) Purge(before time.Time) {
	for id, e := range tbl.entries {
		if e.State.Ended() && e.Ended.Before(before) && !e.dirty && len(e.Surplus()) == 0 {
			delete(tbl.entries, id)
			tbl.purged = append(tbl.purged, id)
		}
	}
}

// Dirty reports whether a change waits for a record.
func (tbl *Table) Dirty() bool { return len(tbl.dirty) > 0 || len(tbl.purged) > 0 }

// Unrecorded returns the jobs that no record carries yet.
func (tbl *Table) Unrecorded() []*Entry {
	var list []*Entry
	for _, e := range tbl.dirty {
		if e.unrecorded {
			list = append(list, e)
		}
	}
	return list
}

// All returns all jobs, in no order.
func (tbl *Table) All() []*Entry { return slices.Collect(maps.Values(tbl.entries)) }
