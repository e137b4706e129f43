package table

import (
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
)

// Assign adds a run to a task and returns it with its number, which is higher than that
// of any earlier run of the task and not below run.Number. Gangs use the latter to give
// the runs of all members the same number.
func (tbl *Table) Assign(e *Entry, ref model.TaskRef, run Run) Run {
	st := e.Stage(ref)
	t := &e.Tasks[st.First+ref.Index]
	t.LastRun = max(t.LastRun+1, run.Number)
	run.Number = t.LastRun
	t.Runs = append(t.Runs, run)
	e.RunCount++
	switch i := slices.Index(st.Waiting, ref.Index); {
	case i == 0:
		st.Waiting = st.Waiting[1:]
	case i > 0:
		st.Waiting = slices.Delete(st.Waiting, i, i+1)
	}
	tbl.markTask(e, st.First+ref.Index)
	return run
}

// NoteStarted records that a run of a task certainly started, and with it the job, and reports
// whether the job had not begun before. It does not make the entry dirty: that is stored with the
// next change of the job or by StoreBegun. A run that was placed may never start.
func (tbl *Table) NoteStarted(ref model.TaskRef, number uint32) bool {
	e := tbl.entries[ref.Job]
	if e == nil || e.State != Queued || e.Unreadable {
		return false
	}
	t := e.Task(ref)
	if t == nil || number == 0 || number > t.LastRun {
		return false
	}
	e.State = Running
	return true
}

// StoreBegun makes the next batch contain the jobs that have begun and are not stored as such.
func (tbl *Table) StoreBegun() {
	for _, e := range tbl.active {
		if e.State == Running && e.Stored == Queued && e.InStore {
			tbl.markDirty(e)
		}
	}
}

// Readopt adds a run to a task that waits although a worker lists the run, which was given up
// before and has not ended since. It returns false if the task does not wait for a run or if the
// run cannot be taken back.
func (tbl *Table) Readopt(ref model.TaskRef, run Run) bool {
	e := tbl.entries[ref.Job]
	if e == nil || e.State.Ended() {
		return false
	}
	t := e.Task(ref)
	if t == nil || t.Done || len(t.Runs) > 0 || !slices.Contains(t.GivenUp, run.Number) {
		return false
	}
	st := e.Stage(ref)
	if e.StepOf(st).Gang {
		return false
	}
	t.forget(run.Number)
	t.Runs = append(t.Runs, run)
	e.RunCount++
	st.Waiting = slices.DeleteFunc(st.Waiting, func(i int) bool { return i == ref.Index })
	tbl.markTask(e, st.First+ref.Index)
	return true
}

// forget removes a run from those that were given up.
func (t *Task) forget(number uint32) {
	t.GivenUp = slices.DeleteFunc(t.GivenUp, func(n uint32) bool { return n == number })
}

// maxGivenUp is the maximum length of Task.GivenUp.
const maxGivenUp = 16

// EndRun records the end of a run and returns the run. If the table has no such run because
// it was given up as lost, the end only completes its task or counts as its failure. EndRun
// changes nothing and returns false if the task needs no such end.
func (tbl *Table) EndRun(now time.Time, ref model.TaskRef, number uint32, outcome msgs.Outcome, checkpoint string) (Run, bool) {
	e := tbl.entries[ref.Job]
	if e == nil {
		return Run{}, false
	}
	t := e.Task(ref)
	if t == nil {
		return Run{}, false
	}
	if outcome != msgs.Lost {
		tbl.NoteStarted(ref, number)
	}
	i := slices.IndexFunc(t.Runs, func(r Run) bool { return r.Number == number })
	if i < 0 && outcome == msgs.Failed {
		return Run{}, tbl.countLateFailure(now, e, ref, number)
	}
	if i < 0 && outcome != msgs.Done && outcome != msgs.Lost {
		t.forget(number) // it is certain that the run is over
	}
	if i < 0 {
		return Run{}, outcome == msgs.Done && tbl.completeLate(now, e, ref, number)
	}
	run := t.Runs[i]
	t.Runs = slices.Delete(t.Runs, i, i+1)
	e.RunCount--
	if checkpoint != "" && e.TakesCheckpoint(checkpoint) {
		t.Checkpoint = checkpoint
	}
	if outcome == msgs.Lost && !e.gangRunCounted(ref, number) {
		t.GivenUp = append(t.GivenUp, number)
		t.GivenUp = t.GivenUp[max(0, len(t.GivenUp)-maxGivenUp):]
	}
	tbl.markTask(e, e.Stage(ref).First+ref.Index)
	tbl.applyOutcome(now, e, ref, number, outcome)
	return run, true
}

// countLateFailure counts the failure of a run that was given up as lost, once. It reports
// whether it changed the task.
func (tbl *Table) countLateFailure(now time.Time, e *Entry, ref model.TaskRef, number uint32) bool {
	t := e.Task(ref)
	i := slices.Index(t.GivenUp, number)
	if i < 0 || t.Done || e.State.Ended() {
		return false
	}
	t.GivenUp = slices.Delete(t.GivenUp, i, i+1)
	tbl.markTask(e, e.Stage(ref).First+ref.Index)
	tbl.countFailure(now, e, e.Stage(ref), t, number)
	return true
}

// completeLate completes a task with a run that was given up as lost and turns out to be done,
// so that the task does not run again. It reports whether it changed the task.
func (tbl *Table) completeLate(now time.Time, e *Entry, ref model.TaskRef, number uint32) bool {
	st := e.Stage(ref)
	step := e.StepOf(st)
	t := e.Task(ref)
	if t.Done || e.State.Ended() || step.LongRunning || number == 0 || number > t.LastRun {
		return false
	}
	tbl.markTask(e, st.First+ref.Index)
	tbl.complete(now, e, st, ref.Index, number)
	return true
}

// applyOutcome updates the task and the job according to the outcome of a run that has
// ended.
func (tbl *Table) applyOutcome(now time.Time, e *Entry, ref model.TaskRef, number uint32, outcome msgs.Outcome) {
	st := e.Stage(ref)
	t := e.Task(ref)
	step := e.StepOf(st)
	switch {
	case outcome == msgs.Done && !step.LongRunning:
		tbl.complete(now, e, st, ref.Index, number)
	case outcome == msgs.Failed && !t.Done: // a copy may fail after another has completed the task
		tbl.countFailure(now, e, st, t, number)
	}
	if !t.Done && len(t.Runs) == 0 {
		st.Waiting = append(st.Waiting, ref.Index) // it was not in the list, as it had a run
	}
}

// complete marks a task as completed by the run with the given number, and in a gang all
// members. It completes the job if that was the last open task.
func (tbl *Table) complete(now time.Time, e *Entry, st *Stage, index int, number uint32) {
	first, end := index, index+1
	gang := e.StepOf(st).Gang
	if gang {
		first, end = 0, e.StepOf(st).Tasks
		st.Waiting = nil
	} else if i := slices.Index(st.Waiting, index); i >= 0 {
		st.Waiting = slices.Delete(st.Waiting, i, i+1)
	}
	for i := first; i < end; i++ {
		t := &e.Tasks[st.First+i]
		if t.Done {
			continue
		}
		t.Done = true
		tbl.markTask(e, st.First+i)
		if gang {
			// Only one member of a gang reports its end. Later runs of the gang are still present.
			kept := slices.DeleteFunc(t.Runs, func(r Run) bool { return r.Number == number })
			e.RunCount -= len(t.Runs) - len(kept)
			t.Runs = kept
		}
		st.Open--
	}
	for i := range e.Stages {
		if e.Stages[i].Open > 0 {
			return
		}
	}
	tbl.finish(now, e, Completed, "")
}

// countFailure counts the failure of a task's run and fails the job if there were too many. The failures
// of a gang are counted at its first member, once for each run: a gang fails as a whole, whichever of its
// members do. Failures of long-running tasks never fail the job.
func (tbl *Table) countFailure(now time.Time, e *Entry, st *Stage, t *Task, number uint32) {
	step := e.StepOf(st)
	if step.Gang {
		if !tbl.countGangRun(e, st, number) {
			return
		}
		t = &e.Tasks[st.First]
		tbl.markTask(e, st.First)
	}
	t.Failures++
	if limit := e.Job.Queue.MaxAttempts; !step.LongRunning && limit > 0 && int(t.Failures) >= limit {
		tbl.finish(now, e, Failed, "a task failed as often as its queue allows")
	}
}

// Checkpoint sets the checkpoint of a task whose run a worker listed. It does not make
// the entry dirty: the checkpoint is stored with the next change of the job or, if the tasks are in
// parts, of its part.
func (tbl *Table) Checkpoint(ref model.TaskRef, number uint32, checkpoint string) {
	e := tbl.entries[ref.Job]
	if e == nil || checkpoint == "" || !e.TakesCheckpoint(checkpoint) {
		return
	}
	t := e.Task(ref)
	if t != nil && slices.ContainsFunc(t.Runs, func(r Run) bool { return r.Number == number }) {
		t.Checkpoint = checkpoint
	}
}

// Sizes of the checkpoints that a job may have, in bytes: in a part, and in all.
const (
	maxPartCheckpoints = 128 << 10
	maxJobCheckpoints  = 1 << 20
)

// TakesCheckpoint reports whether a checkpoint is small enough to be stored with those of the job's
// other tasks. A task resumes from an earlier one otherwise.
func (e *Entry) TakesCheckpoint(checkpoint string) bool {
	n := max(1, len(e.Tasks))
	return len(checkpoint) <= min(maxPartCheckpoints/min(n, partTasks), maxJobCheckpoints/n)
}
