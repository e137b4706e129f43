package table

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/ebonyarch/ebonyarch/internal/base/codec"
	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

// gangFailures tells which failures of a gang are counted. They are counted at its first member. Only
// one run of a gang is present at a time, and a run whose failure is counted is no longer among those that
// were given up, so that the latest number is enough.
type gangFailures struct {
	_ struct{} `cbor:",toarray"`
	// Task is the index of the first member in Progress.Tasks.
	Task int
	// Run is the highest number of a run whose failure is counted.
	Run uint32
	// Count is the number of runs whose failures are counted. Task.Failures is higher if an earlier
	// version of the program, which counts each member, has led since.
	Count uint16
}

// countGangRun records that the failure of a gang's run is counted. It returns false if that was so
// before, because of another member.
func (tbl *Table) countGangRun(e *Entry, st *Stage, number uint32) bool {
	latest, known := e.gangFailures[st.First]
	if known && latest.Run == number {
		return false
	}
	if e.gangFailures == nil {
		e.gangFailures = map[int]gangFailures{}
	}
	e.gangFailures[st.First] = gangFailures{Task: st.First, Run: max(latest.Run, number), Count: e.Tasks[st.First].Failures + 1}
	for i := range e.StepOf(st).Tasks {
		if t := &e.Tasks[st.First+i]; slices.Contains(t.GivenUp, number) {
			t.forget(number)
			tbl.markTask(e, st.First+i)
		}
	}
	return true
}

// gangRunCounted reports whether the task is a member of a gang, and the failure of the run with the given
// number is counted.
func (e *Entry) gangRunCounted(ref model.TaskRef, number uint32) bool {
	st := e.Stage(ref)
	latest, known := e.gangFailures[st.First]
	return known && e.StepOf(st).Gang && latest.Run == number
}

// gangFailuresRecord returns the record of the failures that are counted for the job's gangs. It is a
// record of its own, because earlier versions of the program must be able to decode the progress. The
// record of a job that is over is deleted.
func (e *Entry) gangFailuresRecord(over bool) (port.Record, error) {
	key := gangFailuresPrefix + string(e.Job.ID)
	if over {
		return port.Record{Key: key}, nil
	}
	list := slices.SortedFunc(maps.Values(e.gangFailures), func(a, b gangFailures) int { return cmp.Compare(a.Task, b.Task) })
	data, err := codec.Marshal(list)
	if err != nil {
		return port.Record{}, fmt.Errorf("failures of gangs of job %s: %w", e.Job.ID, err)
	}
	return port.Record{Key: key, Value: data}, nil
}

// restoreGangFailures sets which failures of gangs are counted from a record. An earlier version of the
// program writes none, and leaves an older one as it is: if the count is higher than that of the
// record, and a member of the present run has ended, then the failure of that run counts as counted.
func (e *Entry) restoreGangFailures(list []gangFailures) {
	recorded := map[int]gangFailures{}
	for _, f := range list {
		recorded[f.Task] = f
	}
	for i := range e.Stages {
		st := &e.Stages[i]
		failures := e.Tasks[st.First].Failures
		if !e.StepOf(st).Gang || failures == 0 {
			continue
		}
		f := recorded[st.First]
		if number, ended := e.presentGangRun(st); failures > f.Count && ended {
			f.Run = max(f.Run, number)
		}
		if e.gangFailures == nil {
			e.gangFailures = map[int]gangFailures{}
		}
		e.gangFailures[st.First] = gangFailures{Task: st.First, Run: f.Run, Count: failures}
	}
}

// presentGangRun returns the number of the gang's run of which members are present, and whether others have
// ended. The number is 0 if no member is present.
func (e *Entry) presentGangRun(st *Stage) (number uint32, ended bool) {
	members := e.Tasks[st.First : st.First+e.StepOf(st).Tasks]
	for i := range members {
		for _, r := range members[i].Runs {
			number = max(number, r.Number)
		}
	}
	ended = number > 0 && slices.ContainsFunc(members, func(t Task) bool {
		return !slices.ContainsFunc(t.Runs, func(r Run) bool { return r.Number == number })
	})
	return number, ended
}

// orphanedGangFailures returns the keys of the records of jobs that are not in the table: an earlier
// version of the program has dropped them.
func (tbl *Table) orphanedGangFailures(stored map[string][]gangFailures) []string {
	var keys []string
	for _, id := range slices.Sorted(maps.Keys(stored)) {
		if tbl.entries[model.ID(id)] == nil {
			keys = append(keys, gangFailuresPrefix+id)
		}
	}
	return keys
}
