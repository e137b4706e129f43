package table

import (
	"fmt"
	"strings"

	"github.com/ebonyarch/ebonyarch/internal/base/codec"
	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

// Prefixes of the keys of records. The rest of a key is the job's id.
const (
	jobPrefix      = "job/"
	progressPrefix = "progress/"
	crashesPrefix  = "crashes/"
)

// Batch is a set of records that must be appended to the store together.
type Batch struct {
	Records []port.Record
	changes []change
	newJobs []model.ID
}

// change is the state of an entry that a batch records.
type change struct {
	entry       *Entry
	state       State
	unsubmitted bool
}

// Empty reports whether the batch has no records.
func (b *Batch) Empty() bool { return len(b.Records) == 0 }

// NewJobs returns the ids of the jobs that the batch stores for the first time.
func (b *Batch) NewJobs() []model.ID { return b.newJobs }

// Stored must be called once the batch is in the store. It updates Entry.Stored and
// Entry.InStore. A job that was submitted since the batch was made is not in the store yet.
func (b *Batch) Stored() {
	for _, c := range b.changes {
		c.entry.Stored = c.state
		if c.unsubmitted == c.entry.Unsubmitted {
			c.entry.InStore = true
		}
	}
}

// NextBatch returns a batch with the oldest changes and marks its entries as unchanged.
// It adds no further entry once the records exceed limit bytes.
func (tbl *Table) NextBatch(limit int) (Batch, error) {
	var batch Batch
	// A job that was purged may be submitted again, so its records follow their deletion.
	for _, key := range tbl.purged {
		batch.Records = append(batch.Records, port.Record{Key: key})
	}
	tbl.purged = nil
	size, n := 0, 0
	for _, e := range tbl.dirty {
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
		batch.changes = append(batch.changes, change{e, e.State, e.Unsubmitted})
		if e.unrecorded {
			batch.newJobs = append(batch.newJobs, e.Job.ID)
		}
		e.dirty, e.unrecorded, e.early = false, false, false
		n++
	}
	tbl.dirty = append([]*Entry(nil), tbl.dirty[n:]...)
	return batch, nil
}

// records returns the records of the entry's changes. Those of a job that has ended and has
// no run left hold only what callers may ask for, so that a new leader loads little.
func (e *Entry) records() ([]port.Record, error) {
	if e.Unsubmitted {
		r, err := e.earlyRecord()
		return []port.Record{r}, err
	}
	job, progress, over := e.Job, e.Progress, e.State.Ended() && e.RunCount == 0
	if over {
		job.Payload, progress.Tasks = "", nil
	}
	var list []port.Record
	if e.unrecorded || over {
		data, err := codec.Marshal(&job)
		if err != nil {
			return nil, fmt.Errorf("job %s: %w", e.Job.ID, err)
		}
		list = append(list, port.Record{Key: jobPrefix + string(e.Job.ID), Value: data})
	}
	data, err := codec.Marshal(&progress)
	if err != nil {
		return nil, fmt.Errorf("progress of job %s: %w", e.Job.ID, err)
	}
	list = append(list, port.Record{Key: progressPrefix + string(e.Job.ID), Value: data})
	if e.early {
		record, err := e.earlyRecord()
		if err != nil {
			return nil, err
		}
		list = append(list, record)
	}
	if e.HasCrashes() {
		record, err := e.crashesRecord(over)
		if err != nil {
			return nil, err
		}
		list = append(list, record)
	}
	return list, nil
}

// keys returns the keys of the records of a job that has ended and has no run left.
func (e *Entry) keys() []string {
	id := string(e.Job.ID)
	if e.Unsubmitted {
		return []string{earlyPrefix + id}
	}
	return []string{jobPrefix + id, progressPrefix + id}
}

// Load returns the table that is described by records of the store, and an error for each
// record that cannot be used and for each job that is Unreadable. It ignores records with other keys.
func Load(records []port.Record) (*Table, []error) {
	var errs []error
	tbl := &Table{}
	progress, faults := decodeRecords[Progress](records, progressPrefix)
	errs = append(errs, faults...)
	crashes, faults := decodeRecords[[]taskCrashes](records, crashesPrefix)
	errs = append(errs, faults...)
	for _, r := range records {
		id, ok := strings.CutPrefix(r.Key, jobPrefix)
		if !ok {
			continue
		}
		var job model.Job
		err := codec.Unmarshal(r.Value, &job)
		if err == nil && job.ID != model.ID(id) {
			err = fmt.Errorf("key does not match the id %q in the value", job.ID)
		}
		if err == nil {
			err = job.Validate()
		}
		if err != nil {
			errs = append(errs, fmt.Errorf("record %q: %w", r.Key, err))
			continue
		}
		p, readable := progress[id]
		e := newEntry(job, p)
		if !readable {
			e.Unreadable = true
			errs = append(errs, fmt.Errorf("job %s does not run: no progress that can be read", id))
		}
		e.restoreCrashes(crashes[id])
		e.Stored, e.InStore = e.State, true
		tbl.insert(e)
	}
	return tbl, append(errs, tbl.loadEarly(records)...)
}

// decodeRecords decodes the records whose keys have a prefix. The keys of the result are
// without it.
func decodeRecords[T any](records []port.Record, prefix string) (map[string]T, []error) {
	var errs []error
	values := map[string]T{}
	for _, r := range records {
		id, ok := strings.CutPrefix(r.Key, prefix)
		if !ok {
			continue
		}
		if len(r.Value) == 0 && (prefix == crashesPrefix || prefix == earlyPrefix) {
			delete(values, id)
			continue
		}
		var value T
		if err := codec.Unmarshal(r.Value, &value); err != nil {
			errs = append(errs, fmt.Errorf("record %q: %w", r.Key, err))
			continue
		}
		values[id] = value
	}
	return values, errs
}
