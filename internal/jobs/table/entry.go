package table

import (
	"cmp"
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
)

// Entry is a job with its progress.
type Entry struct {
	Job model.Job
	Progress
	// Stages holds one stage per step and occurrence, sorted by occurrence and then by
	// step.
	Stages []Stage
	// Stored is the latest state that is in the store. Callers are told only this state,
	// because a later leader may not know of a newer one.
	Stored State
	// InStore is set once the job is in the store.
	InStore bool
	// Unsubmitted is set if the job was cancelled and has not been submitted. Then Job has only
	// an id, and there are no stages.
	Unsubmitted bool
	// Unreadable is set if the job's progress in the store is missing or cannot be decoded. No task
	// of the job may start, as it may have ended, and Progress says nothing until it is cancelled.
	Unreadable bool
	// RunCount is the number of runs that may be present at workers.
	RunCount int
	// crashes holds the crashes for which each task may be the cause, by its index in
	// Progress.Tasks. It is stored as a record of its own.
	crashes map[int][]Crash
	// gangFailures tells which failures of gangs are counted, by the index of their first member in
	// Progress.Tasks. It is stored as a record of its own.
	gangFailures map[int]gangFailures
	// parts is set once the tasks are stored in parts.
	parts *parts
	// withheld is set once the job was given up because the store does not take its progress. Then
	// only that it has failed is stored.
	withheld bool
	// dirty is set while the latest change is in no batch, unrecorded while the job as
	// submitted is in none.
	dirty, unrecorded bool
	// early is set if the next batch must delete the record that the job was cancelled before it
	// was submitted.
	early bool
	// mark is the value of Table.marked when the entry became dirty.
	mark uint64
	// memory is what counts for the job, in bytes.
	memory int64
}

// Stage is a step of one occurrence.
type Stage struct {
	Occurrence, Step int
	// First is the index of the stage's first task in Progress.Tasks.
	First int
	// Waiting holds the indexes, within the stage, of the tasks that are not completed
	// and have no run.
	Waiting []int
	// Open is the number of tasks that are not completed.
	Open int
}

// newEntry returns an entry with the stages and counts that follow from the progress.
func newEntry(job model.Job, p Progress) *Entry {
	e := &Entry{Job: job, Progress: p}
	total := 0
	for k := range job.Occurrences() {
		for s := range job.Steps {
			e.Stages = append(e.Stages, Stage{Occurrence: k, Step: s, First: total})
			total += job.Steps[s].Tasks
		}
	}
	e.setTasks(slices.Grow(e.Tasks, max(0, total-len(e.Tasks)))[:total])
	return e
}

// setTasks sets the progress of the tasks, and the counts that follow from it.
func (e *Entry) setTasks(tasks []Task) {
	e.Tasks, e.RunCount = tasks, 0
	for i := range e.Stages {
		st := &e.Stages[i]
		st.Waiting, st.Open = nil, 0
		e.countStage(st)
	}
}

// countStage sets the stage's counts and adds its runs to those of the entry.
func (e *Entry) countStage(st *Stage) {
	n := e.Job.Steps[st.Step].Tasks
	for i := n - 1; i >= 0; i-- {
		t := &e.Tasks[st.First+i]
		e.RunCount += len(t.Runs)
		if t.Done {
			continue
		}
		st.Open++
		if len(t.Runs) == 0 {
			st.Waiting = append(st.Waiting, i)
		}
	}
}

// StepOf returns the step that a stage belongs to.
func (e *Entry) StepOf(st *Stage) *model.Step { return &e.Job.Steps[st.Step] }

// Task returns a task's progress, or nil if the job has no such task.
func (e *Entry) Task(ref model.TaskRef) *Task {
	if st := e.Stage(ref); st != nil {
		return &e.Tasks[st.First+ref.Index]
	}
	return nil
}

// Stage returns a task's stage, or nil if the job has no such task.
func (e *Entry) Stage(ref model.TaskRef) *Stage {
	if ref.Occurrence >= e.Job.Occurrences() || ref.Step >= len(e.Job.Steps) || ref.Index >= e.Job.Steps[ref.Step].Tasks {
		return nil
	}
	return &e.Stages[ref.Occurrence*len(e.Job.Steps)+ref.Step]
}

// Ref returns the reference to a task, given by its index within a stage.
func (e *Entry) Ref(st *Stage, index int) model.TaskRef {
	return model.TaskRef{Job: e.Job.ID, Occurrence: st.Occurrence, Step: st.Step, Index: index}
}

// Ready reports whether a stage's tasks may start: the occurrence is due, and all steps
// that the step depends on are completed.
func (e *Entry) Ready(now time.Time, st *Stage) bool {
	if due := e.Job.Due(st.Occurrence); now.Before(due) {
		return false
	}
	for _, s := range e.StepOf(st).After {
		if e.Stages[st.Occurrence*len(e.Job.Steps)+s].Open > 0 {
			return false
		}
	}
	return true
}

// Begun reports whether a task of an occurrence has a run or is completed.
func (e *Entry) Begun(occurrence int) bool {
	n := len(e.Job.Steps)
	return slices.ContainsFunc(e.Stages[occurrence*n:(occurrence+1)*n], func(st Stage) bool {
		return len(st.Waiting) < e.StepOf(&st).Tasks
	})
}

// PlacedRun is a run with the reference to its task.
type PlacedRun struct {
	Ref model.TaskRef
	Run Run
}

// Runs returns all runs that may be present at workers.
func (e *Entry) Runs() []PlacedRun {
	return e.runs(0, len(e.Tasks), func(*Task) bool { return true })
}

// RunsOf returns the runs of a stage's tasks that have the given number.
func (e *Entry) RunsOf(st *Stage, number uint32) []PlacedRun {
	list := e.runs(st.First, st.First+e.StepOf(st).Tasks, func(*Task) bool { return true })
	return slices.DeleteFunc(list, func(p PlacedRun) bool { return p.Run.Number != number })
}

// Surplus returns the runs that are no longer needed, because the task is completed or
// the job has ended.
func (e *Entry) Surplus() []PlacedRun { return e.SurplusOf(0, len(e.Tasks)) }

// SurplusOf is Surplus for the tasks with indexes in Progress.Tasks from first to before end.
func (e *Entry) SurplusOf(first, end int) []PlacedRun {
	return e.runs(first, end, func(t *Task) bool { return t.Done || e.State.Ended() })
}

// runs returns the runs of the tasks for which match returns true, of those with indexes in
// Progress.Tasks from first to before end.
func (e *Entry) runs(first, end int, match func(*Task) bool) []PlacedRun {
	var list []PlacedRun
	i, found := slices.BinarySearchFunc(e.Stages, first, func(st Stage, first int) int { return cmp.Compare(st.First, first) })
	if !found {
		i = max(0, i-1) // the stage that first belongs to begins before it
	}
	for ; i < len(e.Stages) && e.Stages[i].First < end; i++ {
		st := &e.Stages[i]
		for n := max(st.First, first); n < min(st.First+e.StepOf(st).Tasks, end); n++ {
			t := &e.Tasks[n]
			if len(t.Runs) == 0 || !match(t) {
				continue
			}
			for _, run := range t.Runs {
				list = append(list, PlacedRun{e.Ref(st, n-st.First), run})
			}
		}
	}
	return list
}
