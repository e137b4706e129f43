package table

import (
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
)

// Entry is a job with its progress.
type Entry struct {
	Job model.Job
	Progress
	// Stages holds one stage for each step of each occurrence.
	Stages []Stage
	// Stored is the state that the store holds, which callers may be shown.
	// Known is set once the store holds the job at all.
	Stored  State
	InStore bool
	// RunCount is the number of runs that may be present at workers.
	RunCount int
	// dirty is set while no record carries the latest change, fresh while no
	// record carries the job itself.
	dirty, fresh bool
}

// Stage is a step of one occurrence.
type Stage struct {
	Occurrence, Step int
	// First is the index of the stage's first task in Progress.Tasks.
	First int
	// Waiting holds the indexes, within the stage, of tasks without a run that are
	// not done.
	Waiting []int
	// Open is the number of tasks that are not done.
	Open int
}

func newEntry(job model.Job, p Progress) *Entry {
	e := &Entry{Job: job, Progress: p}
	total := 0
	for k := range job.Occurrences() {
		for s := range job.Steps {
			e.Stages = append(e.Stages, Stage{Occurrence: k, Step: s, First: total})
			total += job.Steps[s].Tasks
		}
	}
	e.Tasks = slices.Grow(e.Tasks, max(0, total-len(e.Tasks)))[:total]
	for i := range e.Stages {
		e.count(&e.Stages[i])
	}
	return e
}

func (e *Entry) count(st *Stage) {
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

// StepOf returns the step of a stage.
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

// Ref names a task of a stage.
func (e *Entry) Ref(st *Stage, index int) model.TaskRef {
	return model.TaskRef{Job: e.Job.ID, Occurrence: st.Occurrence, Step: st.Step, Index: index}
}

// Ready reports whether a stage's tasks may start: it is due, and all steps that
// it comes after are done.
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

// PlacedRun names a run and the VM that has it.
type PlacedRun struct {
	Ref model.TaskRef
	Run Run
}

// Runs returns all runs that may be present at workers.
func (e *Entry) Runs() []PlacedRun {
	return e.runs(func(*Task) bool { return true })
}

// Surplus returns the runs that are no longer wanted: of tasks that are done and
// of jobs that have ended.
func (e *Entry) Surplus() []PlacedRun {
	return e.runs(func(t *Task) bool { return t.Done || e.State.Ended() })
}

func (e *Entry) runs(wanted func(*Task) bool) []PlacedRun {
	var list []PlacedRun
	for i := range e.Stages {
		st := &e.Stages[i]
		for index := range e.StepOf(st).Tasks {
			t := &e.Tasks[st.First+index]
			if len(t.Runs) == 0 || !wanted(t) {
				continue
			}
			for _, run := range t.Runs {
				list = append(list, PlacedRun{e.Ref(st, index), run})
			}
		}
	}
	return list
}
