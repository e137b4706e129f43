package table

import (
	"errors"
	"fmt"
	"slices"
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
	// gangFailuresPrefix is that of records of gangFailures.
	gangFailuresPrefix = "failures/"
)

// errTooLarge means that the store cannot take the records of a job.
var errTooLarge = errors.New("larger than what the store accepts")

// records returns the records of the entry's changes, within the limits of the store, and the
// change that a batch with them records.
func (e *Entry) records(limits port.Limits) ([]port.Record, change, error) {
	c := change{
		entry: e, state: e.State, mark: e.mark,
		unrecorded: e.unrecorded, early: e.early, unsubmitted: e.Unsubmitted,
		over: e.withheld || (e.State.Ended() && e.RunCount == 0),
	}
	list, err := e.encode(limits, &c)
	if err == nil && !limits.Covers(list) {
		err = fmt.Errorf("records of job %s: %w", e.Job.ID, errTooLarge)
	}
	return list, c, err
}

// encode returns the records of the entry's changes. Those of a job that has ended and has no run
// left hold only what callers may ask for, so that a new leader loads little.
func (e *Entry) encode(limits port.Limits, c *change) ([]port.Record, error) {
	if e.Unsubmitted {
		r, err := e.earlyRecord()
		return []port.Record{r}, err
	}
	var list []port.Record
	if e.unrecorded || c.over {
		job := e.Job
		if c.over {
			job.Payload = ""
		}
		r, err := jobRecord(&job)
		if err != nil {
			return nil, err
		}
		list = append(list, r)
	}
	progress, err := e.progressRecords(limits, c)
	if err != nil {
		return nil, err
	}
	list = append(list, progress...)
	if len(e.gangFailures) > 0 {
		r, err := e.gangFailuresRecord(c.over)
		if err != nil {
			return nil, err
		}
		list = append(list, r)
	}
	if e.early {
		record, err := e.earlyRecord()
		if err != nil {
			return nil, err
		}
		list = append(list, record)
	}
	return list, nil
}

// jobRecord returns the record of a job as submitted.
func jobRecord(job *model.Job) (port.Record, error) {
	data, err := codec.Marshal(job)
	if err != nil {
		return port.Record{}, fmt.Errorf("job %s: %w", job.ID, err)
	}
	return port.Record{Key: jobPrefix + string(job.ID), Value: data}, nil
}

// Storable reports whether the store can take the description of a job that was just accepted.
func (tbl *Table) Storable(job *model.Job) bool {
	r, err := jobRecord(job)
	return err == nil && tbl.Limits.Covers([]port.Record{r})
}

// progressRecords returns the records of the job's progress and crashes. These are in parts once
// they come near the largest size that the store accepts.
func (e *Entry) progressRecords(limits port.Limits, c *change) ([]port.Record, error) {
	id := string(e.Job.ID)
	if e.parts == nil || c.over {
		list, err := e.wholeRecords(c.over)
		if err != nil {
			return nil, err
		}
		for _, key := range e.parts.keys(id) {
			list = append(list, port.Record{Key: key})
		}
		whole := limits.Record - limits.Record/reservedDivisor
		tooLarge := slices.ContainsFunc(list, func(r port.Record) bool { return r.Size() > whole })
		if c.over || !tooLarge || !e.Divide() {
			return list, nil
		}
	}
	list, written, err := e.partRecords()
	c.parts = written
	if err == nil && e.HasCrashes() {
		list = append(list, port.Record{Key: crashesPrefix + id})
	}
	return list, err
}

// reservedDivisor is the divisor by which the size of a record that the store accepts gives the
// part of it that a job's progress leaves unused. Earlier versions of the program cannot read
// progress in parts, so that it is divided no sooner than necessary.
const reservedDivisor = 4

// Divide makes the next batch contain the job's progress in parts. It reports whether that was not
// so before.
func (e *Entry) Divide() bool {
	if e.parts != nil || e.Unsubmitted || e.withheld || len(e.Tasks) <= partTasks {
		return false
	}
	e.parts = newParts(len(e.Tasks))
	return true
}

// wholeRecords returns the record of the job's progress and, if there are any, that of its crashes.
func (e *Entry) wholeRecords(over bool) ([]port.Record, error) {
	progress := e.Progress
	if over {
		progress.Tasks = nil
	}
	data, err := codec.Marshal(&progress)
	if err != nil {
		return nil, fmt.Errorf("progress of job %s: %w", e.Job.ID, err)
	}
	list := []port.Record{{Key: progressPrefix + string(e.Job.ID), Value: data}}
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
	return append([]string{jobPrefix + id, progressPrefix + id}, e.parts.keys(id)...)
}

// Load returns the table that is described by records of the store, and an error for each
// record that cannot be used and for each job that is Unreadable. It ignores records with other keys.
func Load(records []port.Record) (*Table, []error) {
	var errs []error
	tbl := &Table{}
	progress, faults := decodeProgresses(records)
	errs = append(errs, faults...)
	parts := newPartTable(records)
	crashes, faults := decodeRecords[[]taskCrashes](records, crashesPrefix)
	errs = append(errs, faults...)
	failures, faults := decodeRecords[[]gangFailures](records, gangFailuresPrefix)
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
		e := newEntry(job, p.Progress)
		if p.head != nil {
			err = parts.restore(e, p.head)
		}
		e.restoreCrashes(crashes[id])
		e.restoreGangFailures(failures[id])
		switch {
		case !readable:
			e.Unreadable = true
			errs = append(errs, fmt.Errorf("job %s does not run: no progress that can be read", id))
		case err != nil:
			e.Unreadable = !e.State.Ended()
			errs = append(errs, fmt.Errorf("job %s: %w", id, err))
		}
		e.Stored, e.InStore = e.State, true
		tbl.insert(e)
	}
	tbl.purged = append(parts.unused(records, progress), tbl.orphanedGangFailures(failures)...)
	return tbl, append(errs, tbl.loadEarly(records)...)
}

// decodeProgresses decodes the records of the progress of jobs. The keys of the result are their
// ids.
func decodeProgresses(records []port.Record) (map[string]storedProgress, []error) {
	return decodeRecords[storedProgress](records, progressPrefix)
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
		if len(r.Value) == 0 && (prefix == crashesPrefix || prefix == gangFailuresPrefix || prefix == earlyPrefix) {
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
