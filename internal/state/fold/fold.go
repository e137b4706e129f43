// Package fold replays the shared log: it applies the records one after the other
// to the state that all entries have in common, which consists of writers, cells
// and their leaders, the configuration of teams, jobs and tasks.
//
// Applying records is deterministic, so entries that applied the same records have
// the same state: nothing here reads a clock, draws a random number or depends on
// the iteration order of a map. A record that does not fit the state has no
// effect, so late duplicates and records of an old leader are harmless.
package fold

import (
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/state/frame"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// Times by the fold's clock, which differs from the clocks of the processes.
const (
	// maxClockStep limits how far one leader's record moves the fold's clock. It is
	// well below EntryTimeout, so that a jump of one leader's clock does not make
	// live entries count as gone.
	maxClockStep = 2 * time.Second
	// JobRetention is how long an ended job and its idempotency key are kept.
	JobRetention = 24 * time.Hour
	// TaskRetention is how long the individual tasks of an ended job are kept.
	TaskRetention = time.Hour
	// WriterRetention is how long a silent writer is kept. It exceeds the time by
	// which the platform's log may delay an append.
	WriterRetention = 48 * time.Hour
	// EntryTimeout is the silence in the log after which an entry counts as gone.
	EntryTimeout = 20 * time.Second
	// expiryInterval is the time between removals of expired state.
	expiryInterval = time.Minute
)

// Fold is the state after a prefix of the log. The zero value is the state
// before the first record. It is not safe for concurrent use.
type Fold struct {
	// next is the offset of the first log entry that has not been applied.
	next uint64
	// clock is the time of the log. Only claims that take effect advance it, and it
	// never goes back.
	clock time.Time
	// batchTime is the writer's time in the batch that is being applied. It is only
	// displayed; decisions use clock, since the clocks of writers may differ.
	batchTime time.Time
	// expireAt is the value of clock at which expired state is removed next.
	expireAt time.Time
	writers  map[string]*Writer
	cells    map[string]*Cell
	teams    map[string]*Team
	jobs     map[string]*Job
	// granted maps each VM to the tasks with an attempt that is granted to it.
	granted map[string]map[*Task]struct{}
	// waiting lists for each cell the jobs that have waiting tasks. It may still hold
	// jobs that no longer have any; Waiting removes these and sorts the list.
	waiting map[string][]*Job
	// order is the Order of the latest job.
	order uint64
	// jobMemory is the sum of Job.memory of the batch jobs.
	jobMemory int64
	// configVersion grows with each accepted configuration change.
	configVersion  uint64
	stats          Stats
	latestSnapshot snapshotPosition
	// changed holds, by cell, the VMs whose granted attempts changed since the
	// latest call of Changed.
	changed map[string]map[string]bool
}

// Changed returns the VMs whose granted attempts in a cell changed since the
// previous call, by name, and clears the set.
func (f *Fold) Changed(cell string) []string {
	var vms []string
	for vm := range f.changed[cell] {
		vms = append(vms, vm)
	}
	delete(f.changed, cell)
	slices.Sort(vms)
	return vms
}

// markChanged adds a VM to those that Changed returns.
func (f *Fold) markChanged(cell, vm string) {
	if f.changed == nil {
		f.changed = map[string]map[string]bool{}
	}
	if f.changed[cell] == nil {
		f.changed[cell] = map[string]bool{}
	}
	f.changed[cell][vm] = true
}

// Stats counts the log entries and records that were applied and skipped.
type Stats struct {
	// Batches counts the batches that took effect, Records the records in them.
	Batches uint64 `json:"batches"`
	Records uint64 `json:"records"`
	// Bytes is the total size of the log entries, skipped ones included.
	Bytes uint64 `json:"bytes"`
	// Duplicates counts batches with a sequence number that is not new.
	Duplicates uint64 `json:"duplicates"`
	// Foreign, Corrupt and NewerVersion count log entries that cannot be decoded, by
	// the error of frame.Decode.
	Foreign      uint64 `json:"alien"`
	Corrupt      uint64 `json:"torn"`
	NewerVersion uint64 `json:"newer"`
	// Unregistered counts batches of unknown writers.
	Unregistered uint64 `json:"unregistered"`
	// StaleTerm counts refused claims and records of writers that do not lead the
	// cell in the record's term.
	StaleTerm uint64 `json:"staleTerm"`
	// Ignored counts records of unknown types, and grants and results that do not
	// fit the state.
	Ignored uint64 `json:"ignored"`
}

// Applied is the effect of one record.
type Applied struct {
	// ID is the record's id, unique among the records of its writer.
	ID uint64
	// Code is codes.OK unless the record was refused. Single grants and results that
	// do not fit the state are only counted in Stats.Ignored.
	Code codes.Code
	// Revision is the team's revision after a configuration change was applied or
	// refused.
	Revision uint64
}

// Effect is the effect of one log entry. Writer is empty if the entry was skipped.
type Effect struct {
	Writer  string
	Seq     uint64
	Records []Applied
}

// init makes the maps of a zero value.
func (f *Fold) init() {
	if f.jobs != nil {
		return
	}
	f.writers = map[string]*Writer{}
	f.cells = map[string]*Cell{}
	f.teams = map[string]*Team{}
	f.jobs = map[string]*Job{}
	f.granted = map[string]map[*Task]struct{}{}
	f.waiting = map[string][]*Job{}
}

// Next returns the offset of the first log entry that has not been applied.
func (f *Fold) Next() uint64 { return f.next }

// Clock returns the time of the log. Only claims of current leaders advance it.
func (f *Fold) Clock() time.Time { return f.clock }

// Stats returns the counts since the fold was created or decoded.
func (f *Fold) Stats() Stats { return f.stats }

// ConfigVersion returns a number that grows with each accepted change of any
// team's configuration.
func (f *Fold) ConfigVersion() uint64 { return f.configVersion }

// Apply applies the log entry at offset. Offsets below Next are ignored.
func (f *Fold) Apply(offset uint64, data []byte) Effect {
	f.init()
	if offset < f.next {
		return Effect{}
	}
	f.next = offset + 1
	f.stats.Bytes += uint64(len(data))
	batch, err := frame.Decode(data)
	if err != nil {
		f.countDecodeError(err)
		return Effect{}
	}
	if !f.admit(offset, batch) {
		return Effect{}
	}
	effect := Effect{Writer: batch.GetWriter(), Seq: batch.GetSeq()}
	f.stats.Batches++
	f.batchTime = time.UnixMilli(batch.GetAtMs())
	for _, r := range batch.GetRecords() {
		f.stats.Records++
		applied := f.applyRecord(offset, batch, r)
		applied.ID = r.GetId()
		effect.Records = append(effect.Records, applied)
	}
	f.removeExpired()
	return effect
}

func (f *Fold) countDecodeError(err error) {
	switch err {
	case frame.ErrForeign:
		f.stats.Foreign++
	case frame.ErrNewerVersion:
		f.stats.NewerVersion++
	default:
		f.stats.Corrupt++
	}
}

// applyRecord applies one record of the batch b.
func (f *Fold) applyRecord(offset uint64, b *schema.Batch, r *schema.Record) Applied {
	if leaderOnly(r) && !f.isLeader(r.GetCell(), b.GetWriter(), r.GetTerm()) {
		f.stats.StaleTerm++
		return Applied{Code: codes.Leaving}
	}
	switch body := r.GetBody().(type) {
	case *schema.Record_Hello, *schema.Record_Alive:
	case *schema.Record_Goodbye:
		f.writers[b.GetWriter()].Left = true
	case *schema.Record_Claim:
		return f.claim(offset, b, r.GetCell(), body.Claim)
	case *schema.Record_Job:
		return f.accept(r.GetCell(), body.Job, time.UnixMilli(b.GetAtMs()))
	case *schema.Record_Cancel:
		return f.cancel(body.Cancel)
	case *schema.Record_Grants:
		f.grants(r.GetCell(), body.Grants)
	case *schema.Record_Results:
		f.results(body.Results)
	case *schema.Record_Revoke:
		f.revoke(body.Revoke)
	case *schema.Record_Config:
		return f.configure(b, body.Config)
	case *schema.Record_Part:
		f.latestSnapshot.part(body.Part)
	case *schema.Record_Mark:
		f.latestSnapshot.mark(offset, body.Mark)
	default:
		f.stats.Ignored++
	}
	return Applied{}
}

// leaderOnly reports whether only the current leader of the cell may write r.
func leaderOnly(r *schema.Record) bool {
	switch r.GetBody().(type) {
	case *schema.Record_Grants, *schema.Record_Results, *schema.Record_Revoke,
		*schema.Record_Part, *schema.Record_Mark:
		return true
	}
	return false
}

// removeExpired removes silent writers, and tasks and jobs after their retention.
func (f *Fold) removeExpired() {
	if f.clock.Before(f.expireAt) {
		return
	}
	f.expireAt = f.clock.Add(expiryInterval)
	for name, w := range f.writers {
		if w.LastSeen.IsZero() {
			w.LastSeen = f.clock // wrote before the first leader set the clock
		}
		if f.clock.Sub(w.LastSeen) > WriterRetention {
			delete(f.writers, name)
		}
	}
	for id, job := range f.jobs {
		if job.Ended.IsZero() {
			continue
		}
		f.jobMemory -= job.memory() // of a batch job: services never end
		if f.clock.Sub(job.endedClock) > TaskRetention {
			job.Tasks = nil
		}
		if f.clock.Sub(job.endedClock) > JobRetention {
			delete(f.jobs, id)
			continue
		}
		f.jobMemory += job.memory()
	}
}
