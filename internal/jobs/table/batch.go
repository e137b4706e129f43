package table

import (
	"errors"
	"slices"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

// Batch is a set of records that must be appended to the store together.
type Batch struct {
	Records []port.Record
	// Unstorable holds the jobs whose records the store cannot take. They are not in the batch.
	Unstorable []*Entry
	changes    []change
	newJobs    []model.ID
	// purged holds the keys that the batch deletes because their jobs were purged.
	purged []string
}

// change is the state of an entry that a batch records.
type change struct {
	entry *Entry
	state State
	// parts holds the indexes of the parts that the batch contains.
	parts []int
	// mark, unrecorded, early and unsubmitted are the entry's fields when the batch was made. over
	// is set if the batch holds only what callers may ask for.
	mark                                 uint64
	unrecorded, early, unsubmitted, over bool
}

// Empty reports whether the batch has no records.
func (b *Batch) Empty() bool { return len(b.Records) == 0 }

// NewJobs returns the ids of the jobs that the batch stores for the first time.
func (b *Batch) NewJobs() []model.ID { return b.newJobs }

// Jobs returns the entries of the jobs of which the batch has records, other than deletions of
// purged ones.
func (b *Batch) Jobs() []*Entry {
	var list []*Entry
	for i := range b.changes {
		list = append(list, b.changes[i].entry)
	}
	return list
}

// Stored must be called once the batch is in the store. It updates Entry.Stored and
// Entry.InStore. A job that was submitted since the batch was made is not in the store yet.
func (b *Batch) Stored() {
	for _, c := range b.changes {
		c.entry.Stored = c.state
		if c.unsubmitted == c.entry.Unsubmitted {
			c.entry.InStore = true
		}
		if c.over {
			c.entry.parts = nil
		}
	}
}

// NextBatch returns a batch with the oldest changes and marks its entries as unchanged. Its
// records have up to limit bytes, more only if those of the first entry do. The error describes
// the jobs that are Unstorable; the batch is valid nevertheless.
func (tbl *Table) NextBatch(limit int) (Batch, error) { return tbl.NextBatchOf(len(tbl.dirty), limit) }

// NextBatchOf is NextBatch for at most n jobs.
func (tbl *Table) NextBatchOf(n, limit int) (Batch, error) {
	var batch Batch
	size := tbl.addPurged(&batch, limit)
	var errs error
	var left []*Entry
	for i, e := range tbl.dirty {
		if len(tbl.purged) > 0 || len(batch.changes) >= n {
			left = append(left, tbl.dirty[i:]...)
			break
		}
		records, c, err := e.records(tbl.Limits.OrDefault())
		if err != nil {
			errs = errors.Join(errs, err)
			batch.Unstorable = append(batch.Unstorable, e)
			left = append(left, e)
			continue
		}
		sum := 0
		for _, r := range records {
			sum += r.Size()
		}
		if size+sum > limit && !batch.Empty() {
			left = append(left, tbl.dirty[i:]...)
			break
		}
		size += sum
		batch.add(records, c)
	}
	tbl.dirty = left
	return batch, errs
}

// addPurged adds the deletions of purged jobs to an empty batch and returns their size. A job that
// was purged may be submitted again, so its records follow their deletion.
func (tbl *Table) addPurged(batch *Batch, limit int) int {
	size, n := 0, 0
	for _, key := range tbl.purged {
		r := port.Record{Key: key}
		if size += r.Size(); size > limit && n > 0 {
			break
		}
		batch.Records = append(batch.Records, r)
		n++
	}
	batch.purged, tbl.purged = tbl.purged[:n:n], tbl.purged[n:]
	return size
}

// add adds the records of an entry's changes, which are in a batch with that.
func (b *Batch) add(records []port.Record, c change) {
	e := c.entry
	b.Records = append(b.Records, records...)
	b.changes = append(b.changes, c)
	if e.unrecorded {
		b.newJobs = append(b.newJobs, e.Job.ID)
	}
	if e.parts != nil {
		e.parts.written(c.parts)
	}
	e.dirty, e.unrecorded, e.early = false, false, false
}

// Requeue must be called if the store has not carried out a batch and never will. The next batches
// contain its changes.
func (tbl *Table) Requeue(b *Batch) {
	var list []*Entry
	for _, c := range b.changes {
		e := c.entry
		if tbl.entries[e.Job.ID] != e {
			continue // purged since
		}
		e.dirty, e.mark = true, c.mark
		e.unrecorded, e.early = e.unrecorded || c.unrecorded, e.early || c.early
		if e.parts != nil {
			e.parts.touch(c.parts...)
		}
		list = append(list, e)
	}
	for _, e := range tbl.dirty {
		if !slices.Contains(list, e) {
			list = append(list, e)
		}
	}
	tbl.dirty = list
	tbl.purged = append(b.purged, tbl.purged...)
}
