package table

import (
	"fmt"
	"strings"

	"github.com/ebonyarch/ebonyarch/internal/base/codec"
	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

// Prefixes of keys in the store.
const (
	jobPrefix      = "job/"
	progressPrefix = "progress/"
)

// Batch is the records of all changes since the last one.
type Batch struct {
	Records []port.Record
	changes []change
}

type change struct {
	entry *Entry
	state State
}

// Empty reports whether nothing changed.
func (b *Batch) Empty() bool { return len(b.Records) == 0 }

// Jobs returns the ids of the jobs that the batch stores for the first time.
func (b *Batch) Jobs() []model.ID {
	var ids []model.ID
	for _, r := range b.Records {
		if id, ok := strings.CutPrefix(r.Key, jobPrefix); ok && len(r.Value) > 0 {
			ids = append(ids, model.ID(id))
		}
	}
	return ids
}

// Stored notes that the batch is in the store.
func (b *Batch) Stored() {
	for _, c := range b.changes {
		c.entry.Stored, c.entry.InStore = c.state, true
	}
}

// NextBatch returns the records of all changes, at most about limit bytes of them, and
// takes the entries in it as unchanged.
func (b *Table) NextBatch(limit int) (Batch, error) {
	var batch Batch
	size, n := 0, 0
	for _, e := range b.dirty {
		if size > limit {
			break
		}
		records, err := e.records()
		if err != nil {
			return batch, err
		}
		for _, r := range records {
			size += len(r.Key) + len(r.Value)
		}
		batch.Records = append(batch.Records, records...)
		batch.changes = append(batch.changes, change{e, e.State})
		e.dirty, e.fresh = false, false
		n++
	}
	b.dirty = append([]*Entry(nil), b.dirty[n:]...)
	for _, id := range b.forgotten {
		batch.Records = append(batch.Records, port.Record{Key: jobPrefix + string(id)}, port.Record{Key: progressPrefix + string(id)})
	}
	b.forgotten = nil
	return batch, nil
}

func (e *Entry) records() ([]port.Record, error) {
	var list []port.Record
	if e.fresh {
		data, err := codec.Marshal(&e.Job)
		if err != nil {
			return nil, fmt.Errorf("job %s: %w", e.Job.ID, err)
		}
		list = append(list, port.Record{Key: jobPrefix + string(e.Job.ID), Value: data})
	}
	data, err := codec.Marshal(&e.Progress)
	if err != nil {
		return nil, fmt.Errorf("progress of job %s: %w", e.Job.ID, err)
	}
	return append(list, port.Record{Key: progressPrefix + string(e.Job.ID), Value: data}), nil
}

// Load returns the book that records of the store describe, and the faults of
// records that it had to leave out. Keys of others are ignored.
func Load(records []port.Record) (*Table, []error) {
	var faults []error
	b := &Table{}
	progress := map[string]Progress{}
	for _, r := range records {
		id, ok := strings.CutPrefix(r.Key, progressPrefix)
		if !ok {
			continue
		}
		var p Progress
		if err := codec.Unmarshal(r.Value, &p); err != nil {
			faults = append(faults, fmt.Errorf("record %q: %w", r.Key, err))
			continue
		}
		progress[id] = p
	}
	for _, r := range records {
		id, ok := strings.CutPrefix(r.Key, jobPrefix)
		if !ok {
			continue
		}
		var job model.Job
		err := codec.Unmarshal(r.Value, &job)
		if err == nil && job.ID != model.ID(id) {
			err = fmt.Errorf("holds job %q", job.ID)
		}
		if err == nil {
			err = job.Validate()
		}
		if err != nil {
			faults = append(faults, fmt.Errorf("record %q: %w", r.Key, err))
			continue
		}
		e := newEntry(job, progress[id])
		e.Stored, e.InStore = e.State, true
		b.insert(e)
	}
	return b, faults
}
