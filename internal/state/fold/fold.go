// Package fold turns the records of the log into the state that all entries
// share: writers, cells and their leaders, teams' configuration, jobs and tasks.
//
// Two entries that applied the same records hold the same state: nothing here
// reads a clock, draws a random number or depends on the order of a map. A
// record that does not fit the state has no effect, so late duplicates and
// records of an old leader are harmless.
package fold

import (
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/state/frame"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

const (
	// maxClockStep bounds how far one leader's record moves the fold's clock. It is
	// well below EntryLapse, so that no entry counts as gone because of a jump.
	maxClockStep = 2 * time.Second
	// JobRetention is how long an ended job and its idempotency key are kept.
	JobRetention = 24 * time.Hour
	// TaskRetention is how long the single tasks of an ended job are kept.
	TaskRetention = time.Hour
	// WriterRetention is how long a silent writer is kept. It exceeds the time that
	// the platform may delay an append.
	WriterRetention = 48 * time.Hour
	// EntryTimeout is the silence in the log after which an entry counts as gone.
	EntryTimeout = 20 * time.Second
	// forgetEvery spaces the passes that drop expired state.
	forgetEvery = time.Minute
)

// Fold is the state after a prefix of the log. The zero value is the state
// before the first record. It is not safe for concurrent use.
type Fold struct {
	// next is the offset of the first record that is not applied.
	next uint64
	// clock only grows, and only by records of current leaders.
	clock time.Time
	// at is the time that the batch under way bears, for people.
	at time.Time
	// forgetAt is the clock's value at which expired state is dropped next.
	forgetAt time.Time
	writers  map[string]*Writer
	cells    map[string]*Cell
	teams    map[string]*Team
	jobs     map[string]*Job
	// held maps each VM to the attempts that are granted to it and not ended.
	held map[string]map[*Task]struct{}
	// waiting holds for each cell the jobs with waiting tasks, by order.
	waiting map[string][]*Job
	// order numbers the jobs by acceptance.
	order uint64
	// configVersion grows with each accepted configuration change.
	configVersion uint64
	stats         Stats
	snapshots     window
	// changed holds the VMs whose attempts changed, per cell, until Changed.
	changed map[string]map[string]bool
}

// Changed returns the VMs whose attempts of a cell changed since the last call.
func (f *Fold) Changed(cell string) []string {
	var vms []string
	for vm := range f.changed[cell] {
		vms = append(vms, vm)
	}
	delete(f.changed, cell)
	slices.Sort(vms)
	return vms
}

func (f *Fold) touch(cell, vm string) {
	if f.changed == nil {
		f.changed = map[string]map[string]bool{}
	}
	if f.changed[cell] == nil {
		f.changed[cell] = map[string]bool{}
	}
	f.changed[cell][vm] = true
}

// Stats counts what was applied and what was skipped.
type Stats struct {
	Batches      uint64 `json:"batches"`
	Records      uint64 `json:"records"`
	Bytes        uint64 `json:"bytes"`
	Duplicates   uint64 `json:"duplicates"`
	Foreign      uint64 `json:"alien"`
	Corrupt      uint64 `json:"torn"`
	NewerVersion uint64 `json:"newer"`
	Unregistered uint64 `json:"unregistered"`
	StaleTerm    uint64 `json:"staleTerm"`
	Ignored      uint64 `json:"ignored"`
}

// Applied is the effect of one record.
type Applied struct {
	// ID is the record's id, unique for its writer.
	ID   uint64
	Code codes.Code
	// Revision is the team's revision after a configuration change.
	Revision uint64
}

// Effect is the effect of one log entry. Writer is empty if it had none.
type Effect struct {
	Writer  string
	Seq     uint64
	Records []Applied
}

func (f *Fold) init() {
	if f.jobs != nil {
		return
	}
	f.writers = map[string]*Writer{}
	f.cells = map[string]*Cell{}
	f.teams = map[string]*Team{}
	f.jobs = map[string]*Job{}
	f.held = map[string]map[*Task]struct{}{}
	f.waiting = map[string][]*Job{}
}

// Next returns the offset of the first record that is not applied.
func (f *Fold) Next() uint64 { return f.next }

// Clock returns the time of the log, which grows only with leaders' records.
func (f *Fold) Clock() time.Time { return f.clock }

// Stats returns counts of what was applied so far.
func (f *Fold) Stats() Stats { return f.stats }

// ConfigVersion grows with each accepted change of any team's configuration.
func (f *Fold) ConfigVersion() uint64 { return f.configVersion }

// Apply applies the log entry at offset. Entries before Next are ignored.
func (f *Fold) Apply(offset uint64, data []byte) Effect {
	f.init()
	if offset < f.next {
		return Effect{}
	}
	f.next = offset + 1
	f.stats.Bytes += uint64(len(data))
	batch, err := frame.Decode(data)
	if err != nil {
		f.countFault(err)
		return Effect{}
	}
	if !f.admit(offset, batch) {
		return Effect{}
	}
	effect := Effect{Writer: batch.GetWriter(), Seq: batch.GetSeq()}
	f.stats.Batches++
	f.at = time.UnixMilli(batch.GetAtMs())
	for _, r := range batch.GetRecords() {
		f.stats.Records++
		applied := f.record(offset, batch, r)
		applied.ID = r.GetId()
		effect.Records = append(effect.Records, applied)
	}
	f.forget()
	return effect
}

func (f *Fold) countFault(err error) {
	switch err {
	case frame.ErrForeign:
		f.stats.Foreign++
	case frame.ErrNewerVersion:
		f.stats.NewerVersion++
	default:
		f.stats.Corrupt++
	}
}

func (f *Fold) record(offset uint64, b *schema.Batch, r *schema.Record) Applied {
	if leaderOnly(r) && !f.leads(r.GetCell(), b.GetWriter(), r.GetTerm()) {
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
		f.snapshots.part(body.Part)
	case *schema.Record_Mark:
		f.snapshots.mark(offset, body.Mark)
	default:
		f.stats.Ignored++
	}
	return Applied{}
}

func leaderOnly(r *schema.Record) bool {
	switch r.GetBody().(type) {
	case *schema.Record_Grants, *schema.Record_Results, *schema.Record_Revoke,
		*schema.Record_Part, *schema.Record_Mark:
		return true
	}
	return false
}

func (f *Fold) forget() {
	if f.clock.Before(f.forgetAt) {
		return
	}
	f.forgetAt = f.clock.Add(forgetEvery)
	for name, w := range f.writers {
		if w.LastSeen.IsZero() {
			w.LastSeen = f.clock // joined before the first leader set the clock
		}
		if f.clock.Sub(w.LastSeen) > WriterRetention {
			delete(f.writers, name)
		}
	}
	for id, job := range f.jobs {
		if job.Ended.IsZero() {
			continue
		}
		if f.clock.Sub(job.endedClock) > TaskRetention {
			job.Tasks = nil
		}
		if f.clock.Sub(job.endedClock) > JobRetention {
			delete(f.jobs, id)
		}
	}
}
