// Package table implements the job table: all accepted jobs with their progress, and
// the conversion of changes into records for the platform's store.
//
// The leader applies a change to its Table immediately, but sends messages that result
// from it only after the records of the change are in the store. A Table is loaded from
// the newest record of each key. A job has two records: one with the job as submitted,
// which never changes, and one with its progress.
package table

import (
	"maps"
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

// Table is the job table. Its zero value is empty and ready for use.
type Table struct {
	// Limits are the sizes up to which the store accepts records.
	Limits  port.Limits
	entries map[model.ID]*Entry
	// active holds the entries of jobs that have not ended.
	active map[model.ID]*Entry
	// dirty holds the entries with changes that are in no batch yet, in the order in
	// which they became dirty.
	dirty []*Entry
	// purged holds the keys of the records that the next batch deletes.
	purged []string
	// marked counts the entries ever added to dirty.
	marked uint64
	// memory is the sum of Entry.memory.
	memory int64
}

// Marked returns a count that covers all changes so far. These are in a batch once Batched
// has reached it.
func (tbl *Table) Marked() uint64 { return tbl.marked }

// Batched returns the count up to which the changes are in a batch, or were dropped together
// with their job.
func (tbl *Table) Batched() uint64 {
	if len(tbl.dirty) == 0 {
		return tbl.marked
	}
	return tbl.dirty[0].mark - 1
}

// Get returns the entry of a job, or nil if the job is not in the table.
func (tbl *Table) Get(id model.ID) *Entry { return tbl.entries[id] }

// Len returns the number of jobs.
func (tbl *Table) Len() int { return len(tbl.entries) }

// Active returns the jobs that have not ended, sorted by the time of acceptance and
// then by id.
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

// Add adds an accepted job. The job must not be in the table yet.
func (tbl *Table) Add(job model.Job) *Entry {
	e := newEntry(job, Progress{})
	tbl.insert(e)
	e.unrecorded = true
	tbl.markDirty(e)
	return e
}

// insert adds an entry without marking it as dirty.
func (tbl *Table) insert(e *Entry) {
	if tbl.entries == nil {
		tbl.entries, tbl.active = map[model.ID]*Entry{}, map[model.ID]*Entry{}
	}
	tbl.remove(e.Job.ID) // it may describe an entry anew
	tbl.entries[e.Job.ID] = e
	e.memory = MemoryOf(&e.Job)
	tbl.memory += e.memory
	if !e.State.Ended() && !e.Unreadable {
		tbl.active[e.Job.ID] = e
	}
}

// remove removes the entry of a job, if there is one.
func (tbl *Table) remove(id model.ID) {
	if e := tbl.entries[id]; e != nil {
		tbl.memory -= e.memory
		delete(tbl.entries, id)
	}
}

// Drop removes a job that is in no batch yet, so that it cannot be in the store.
func (tbl *Table) Drop(id model.ID) {
	tbl.remove(id)
	delete(tbl.active, id)
	tbl.dirty = slices.DeleteFunc(tbl.dirty, func(e *Entry) bool { return e.Job.ID == id })
}

// markDirty adds the entry to those that the next batch must contain.
func (tbl *Table) markDirty(e *Entry) {
	if e.dirty {
		return
	}
	e.dirty = true
	tbl.dirty = append(tbl.dirty, e)
	tbl.marked++
	e.mark = tbl.marked
}

// markTask adds an entry to those that the next batch must contain, with the task at an index in
// Progress.Tasks.
func (tbl *Table) markTask(e *Entry, index int) {
	if e.parts != nil {
		e.parts.touch(index / e.parts.size)
	}
	tbl.markDirty(e)
}

// Withhold fails a job whose progress the store does not take. Only that it has failed is stored.
// It reports whether the job was not withheld before.
func (tbl *Table) Withhold(now time.Time, e *Entry) bool {
	if e.withheld {
		return false
	}
	e.withheld = true
	tbl.finish(now, e, Failed, "the store does not take the progress of the job")
	tbl.markDirty(e)
	return true
}

// Skip leaves the changes of an entry out of further batches until there is a new one.
func (tbl *Table) Skip(e *Entry) {
	tbl.dirty = slices.DeleteFunc(tbl.dirty, func(other *Entry) bool { return other == e })
	e.dirty = false
}

// Cancel ends a job at its caller's request. It does nothing if the job has ended.
func (tbl *Table) Cancel(now time.Time, e *Entry) {
	tbl.finish(now, e, Cancelled, "cancelled by the caller")
}

// Fail ends a job that cannot be completed. It does nothing if the job has ended.
func (tbl *Table) Fail(now time.Time, e *Entry, reason string) {
	tbl.finish(now, e, Failed, reason)
}

// finish sets the final state of a job, unless it has one.
func (tbl *Table) finish(now time.Time, e *Entry, state State, reason string) {
	if e.State.Ended() {
		return
	}
	e.State, e.Reason, e.Ended, e.Unreadable = state, reason, now, false
	delete(tbl.active, e.Job.ID)
	tbl.markDirty(e)
}

// Purge removes the jobs that ended before the given time, are not dirty and have no run
// left.
func (tbl *Table) Purge(before time.Time) {
	for id, e := range tbl.entries {
		if e.State.Ended() && e.Ended.Before(before) && !e.dirty && e.RunCount == 0 {
			tbl.remove(id)
			tbl.purged = append(tbl.purged, e.keys()...)
		}
	}
}

// Dirty reports whether there are changes that are in no batch yet.
func (tbl *Table) Dirty() bool { return len(tbl.dirty) > 0 || len(tbl.purged) > 0 }

// Unrecorded returns the jobs that are in no batch yet.
func (tbl *Table) Unrecorded() []*Entry {
	var list []*Entry
	for _, e := range tbl.dirty {
		if e.unrecorded {
			list = append(list, e)
		}
	}
	return list
}

// All returns all jobs, in no particular order.
func (tbl *Table) All() []*Entry { return slices.Collect(maps.Values(tbl.entries)) }
