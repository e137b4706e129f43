package table

import (
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
)

// Assign gives a task a new run at a worker and returns it. at.Number is the least
// number that the run may have, which gangs use to give all members the same; 0 is
// no bound.
func (b *Table) Assign(e *Entry, ref model.TaskRef, at Run) Run {
	st := e.Stage(ref)
	t := &e.Tasks[st.First+ref.Index]
	t.LastRun = max(t.LastRun+1, at.Number)
	at.Number = t.LastRun
	t.Runs = append(t.Runs, at)
	e.RunCount++
	if i := slices.Index(st.Waiting, ref.Index); i >= 0 {
		st.Waiting = slices.Delete(st.Waiting, i, i+1)
	}
	if e.State == Queued {
		e.State = Running
	}
	b.touch(e)
	return at
}

// EndRun records the end of a run and returns the run. It returns false if the book
// knows of no such run, whose end then changes nothing.
func (b *Table) EndRun(now time.Time, ref model.TaskRef, number uint32, outcome msgs.Outcome, checkpoint string) (Run, bool) {
	e := b.entries[ref.Job]
	if e == nil {
		return Run{}, false
	}
	t := e.Task(ref)
	if t == nil {
		return Run{}, false
	}
	i := slices.IndexFunc(t.Runs, func(r Run) bool { return r.Number == number })
	if i < 0 {
		return Run{}, false
	}
	run := t.Runs[i]
	t.Runs = slices.Delete(t.Runs, i, i+1)
	e.RunCount--
	if checkpoint != "" {
		t.Checkpoint = checkpoint
	}
	b.touch(e)
	b.settle(now, e, ref, t, outcome)
	return run, true
}

// settle decides what the end of a run means for its task and job.
func (b *Table) settle(now time.Time, e *Entry, ref model.TaskRef, t *Task, outcome msgs.Outcome) {
	st := e.Stage(ref)
	step := e.StepOf(st)
	switch {
	case outcome == msgs.Done && !step.Lasting:
		b.complete(now, e, st, ref.Index)
	case outcome == msgs.Failed:
		b.failed(now, e, st, t)
	}
	if !t.Done && len(t.Runs) == 0 && !slices.Contains(st.Waiting, ref.Index) {
		st.Waiting = append(st.Waiting, ref.Index)
	}
}

// complete marks a task as done, and with a gang all members.
func (b *Table) complete(now time.Time, e *Entry, st *Stage, index int) {
	members := []int{index}
	if e.StepOf(st).Gang {
		members = members[:0]
		for i := range e.StepOf(st).Tasks {
			members = append(members, i)
		}
	}
	for _, i := range members {
		t := &e.Tasks[st.First+i]
		if t.Done {
			continue
		}
		t.Done = true
		if len(members) > 1 {
			e.RunCount -= len(t.Runs)
			t.Runs = nil // the one end stands for all members
		}
		st.Open--
		st.Waiting = slices.DeleteFunc(st.Waiting, func(w int) bool { return w == i })
	}
	for i := range e.Stages {
		if e.Stages[i].Open > 0 {
			return
		}
	}
	b.finish(now, e, Completed, "")
}

// failed counts a failure. A gang fails as one, so its first member counts.
func (b *Table) failed(now time.Time, e *Entry, st *Stage, t *Task) {
	step := e.StepOf(st)
	if step.Gang {
		t = &e.Tasks[st.First]
	}
	t.Failures++
	if most := e.Job.Queue.MaxAttempts; !step.Lasting && most > 0 && int(t.Failures) >= most {
		b.finish(now, e, Failed, "a task failed as often as its queue allows")
	}
}

// Checkpoint notes progress that a worker reported. It makes no record: a later
// change of the job carries it along.
func (b *Table) Checkpoint(ref model.TaskRef, number uint32, checkpoint string) {
	e := b.entries[ref.Job]
	if e == nil || checkpoint == "" {
		return
	}
	t := e.Task(ref)
	if t != nil && slices.ContainsFunc(t.Runs, func(r Run) bool { return r.Number == number }) {
		t.Checkpoint = checkpoint
	}
}
