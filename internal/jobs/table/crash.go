package table

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codec"
	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

// A task is given up after maxCrashes crashes, after maxCrashesAttributed if one of them is
// attributed to it, and after maxAllCrashes if those count that are excused or doubtful.
const (
	maxCrashes           = 3
	maxCrashesAttributed = 2
	maxAllCrashes        = 4
)

// Crash is the crash of a worker for which a run of a task may be the cause.
type Crash struct {
	_ struct{} `cbor:",toarray"`
	// Run is the number of the run.
	Run uint32
	// Attributed is set if nothing else than the task, or its gang, may be the cause.
	Attributed bool
	// Excused is set if the crash is attributed to another task. It makes the task no suspect.
	Excused bool
	// Doubtful is set if it is unknown whether the run had started.
	Doubtful bool
}

// taskCrashes is the element of the record of a job's crashes.
type taskCrashes struct {
	_ struct{} `cbor:",toarray"`
	// Task is the index of the task in Progress.Tasks.
	Task    int
	Crashes []Crash
}

// crashIndex returns the index of the task at which crashes are counted, false if the job has
// no such task. Those of a gang's members are counted at the first member.
func (e *Entry) crashIndex(ref model.TaskRef) (int, bool) {
	st := e.Stage(ref)
	switch {
	case st == nil:
		return 0, false
	case e.StepOf(st).Gang:
		return st.First, true
	}
	return st.First + ref.Index, true
}

// Crashes returns the crashes for which a task, or its gang, may be the cause.
func (e *Entry) Crashes(ref model.TaskRef) []Crash {
	if len(e.crashes) == 0 {
		return nil
	}
	i, ok := e.crashIndex(ref)
	if !ok {
		return nil
	}
	return e.crashes[i]
}

// Suspect reports whether a task, or its gang, is a suspect because of a crash other than that
// of the given run. No run has number 0.
func (e *Entry) Suspect(ref model.TaskRef, except uint32) bool {
	return slices.ContainsFunc(e.Crashes(ref), func(c Crash) bool { return !c.Excused && c.Run != except })
}

// mustGiveUp reports whether a task with the given crashes must not start again.
func mustGiveUp(crashes []Crash) bool {
	counted, attributed := 0, false
	for _, c := range crashes {
		if !c.Excused && !c.Doubtful {
			counted++
			attributed = attributed || c.Attributed
		}
	}
	return counted >= maxCrashes || (attributed && counted >= maxCrashesAttributed) || len(crashes) >= maxAllCrashes
}

// HasCrashes reports whether a task of the job may have been the cause of a crash.
func (e *Entry) HasCrashes() bool { return len(e.crashes) > 0 }

// AddCrash records a crash for which a run of a task may be the cause, and fails the job if the
// task must not start again. It changes nothing and returns false if the crash is recorded
// already or the task needs no further run.
func (tbl *Table) AddCrash(now time.Time, ref model.TaskRef, c Crash) bool {
	e := tbl.entries[ref.Job]
	if e == nil || e.State.Ended() {
		return false
	}
	i, ok := e.crashIndex(ref)
	if !ok || e.Task(ref).Done || c.Run == 0 || c.Run > e.Task(ref).LastRun {
		return false
	}
	if slices.ContainsFunc(e.crashes[i], func(other Crash) bool { return other.Run == c.Run }) {
		return false
	}
	if e.crashes == nil {
		e.crashes = map[int][]Crash{}
	}
	e.crashes[i] = append(e.crashes[i], c)
	tbl.markTask(e, i)
	if mustGiveUp(e.crashes[i]) {
		tbl.finish(now, e, Failed, fmt.Sprintf("%d workers crashed as task %s started", len(e.crashes[i]), ref))
	}
	return true
}

// crashesRecord returns the record of a job's crashes. It is a record of its own, because
// earlier versions of the program must be able to decode the progress. The record of a job
// that is over is deleted.
func (e *Entry) crashesRecord(over bool) (port.Record, error) {
	key := crashesPrefix + string(e.Job.ID)
	if over {
		return port.Record{Key: key}, nil
	}
	var list []taskCrashes
	for _, i := range slices.SortedFunc(maps.Keys(e.crashes), cmp.Compare[int]) {
		list = append(list, taskCrashes{Task: i, Crashes: e.crashes[i]})
	}
	data, err := codec.Marshal(list)
	if err != nil {
		return port.Record{}, fmt.Errorf("crashes of job %s: %w", e.Job.ID, err)
	}
	return port.Record{Key: key, Value: data}, nil
}

// restoreCrashes sets the crashes from a record. It ignores tasks that the job does not have.
func (e *Entry) restoreCrashes(list []taskCrashes) {
	for _, t := range list {
		if t.Task < 0 || t.Task >= len(e.Tasks) {
			continue
		}
		if e.crashes == nil {
			e.crashes = map[int][]Crash{}
		}
		e.crashes[t.Task] = t.Crashes
	}
}
