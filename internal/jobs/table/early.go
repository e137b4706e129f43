package table

import (
	"fmt"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codec"
	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

// earlyPrefix is the prefix of the keys of records of jobs that were cancelled before they were
// submitted. The values are the times of the cancellations.
const earlyPrefix = "cancelled/"

// cancelledEarly is the Progress.Reason of such jobs.
const cancelledEarly = "cancelled by the caller before it was submitted"

// CancelEarly adds a job that its caller has cancelled and that was not submitted yet, so that a
// submission that arrives later does not run. The job must not be in the table.
func (tbl *Table) CancelEarly(now time.Time, id model.ID) *Entry {
	e := newEarlyEntry(id, now)
	tbl.insert(e)
	tbl.markDirty(e)
	return e
}

// newEarlyEntry returns the entry of a job that was cancelled before it was submitted.
func newEarlyEntry(id model.ID, cancelledAt time.Time) *Entry {
	e := newEntry(model.Job{ID: id}, Progress{State: Cancelled, Reason: cancelledEarly, Ended: cancelledAt})
	e.Unsubmitted = true
	return e
}

// SubmitCancelled adds the description of a job that was cancelled before it was submitted.
func (tbl *Table) SubmitCancelled(e *Entry, job model.Job) {
	described := newEntry(job, e.Progress)
	described.Ended = job.Accepted // copies of the submission may arrive for as long as those of others
	e.Job, e.Progress, e.Stages = described.Job, described.Progress, described.Stages
	e.Unsubmitted, e.InStore = false, false
	tbl.insert(e)
	e.unrecorded, e.early = true, true
	tbl.markDirty(e)
}

// earlyRecord returns the record of a job that was cancelled before it was submitted. Once it is
// submitted, the record is deleted.
func (e *Entry) earlyRecord() (port.Record, error) {
	r := port.Record{Key: earlyPrefix + string(e.Job.ID)}
	if !e.Unsubmitted {
		return r, nil
	}
	data, err := codec.Marshal(e.Ended)
	if err != nil {
		return r, fmt.Errorf("cancellation of job %s: %w", e.Job.ID, err)
	}
	r.Value = data
	return r, nil
}

// loadEarly adds the jobs that were cancelled before they were submitted. Those that were
// submitted since must be in the table already. If one of them has both records, an earlier version
// of the program has accepted it, and it is cancelled now.
func (tbl *Table) loadEarly(records []port.Record) []error {
	early, faults := decodeRecords[time.Time](records, earlyPrefix)
	for id, cancelledAt := range early {
		if e := tbl.entries[model.ID(id)]; e != nil {
			e.early = true
			tbl.Cancel(cancelledAt, e)
			tbl.markDirty(e)
			continue
		}
		e := newEarlyEntry(model.ID(id), cancelledAt)
		e.Stored, e.InStore = e.State, true
		tbl.insert(e)
	}
	return faults
}
