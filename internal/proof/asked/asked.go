// Package asked checks that workers start and run what callers asked for, and nothing else: tasks
// of submitted jobs, with their payloads, and none of cancelled jobs.
package asked

import (
	"fmt"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

const (
	// CancelDelay is the time after the response to a cancellation within which a task of the job
	// may still start, and after which its runs have to stop.
	CancelDelay = 3 * time.Second
	// ContactDelay is how long a VM counts as disturbed after the end of a fault.
	ContactDelay = 3 * time.Second
	// StopTime is how long a worker takes to stop a run.
	StopTime = 100 * time.Millisecond
	// maxLease is the longest lease that a worker grants. It bounds the runs on VMs that are
	// disturbed all the while.
	maxLease = 6 * time.Second
)

// Job is what a caller asked for.
type Job struct {
	Payload string
	Steps   []model.Step
	// GoneAt is the time of the response after which the job counts as cancelled, zero before it,
	// and GoneStatus is the status of that response.
	GoneAt     time.Time
	GoneStatus int
}

// HasTask reports whether the job has a task.
func (j *Job) HasTask(ref model.TaskRef) bool {
	return ref.Occurrence == 0 && ref.Step < len(j.Steps) && ref.Index < j.Steps[ref.Step].Tasks
}

// CheckStart returns what is wrong with a start: it must be of a task that a caller asked for,
// with the payload of its job, and not later than CancelDelay after the job was cancelled. Only
// faults of the VM itself excuse a later start. j is nil if nobody submitted the job.
func (j *Job) CheckStart(now time.Time, o port.StartOrder, vm *Faults) (wrong []string) {
	ref, err := model.ParseTaskRef(o.Task)
	switch {
	case j == nil:
		return []string{"but nobody submitted its job"}
	case err != nil || !j.HasTask(ref):
		wrong = append(wrong, "but its job has no such task")
	}
	if o.Payload != j.Payload {
		wrong = append(wrong, fmt.Sprintf("with payload %.200q, want %.200q", o.Payload, j.Payload))
	}
	late := now.Sub(j.GoneAt)
	if !j.GoneAt.IsZero() && late > CancelDelay && now.Sub(vm.CalmSince(now)) > ContactDelay {
		wrong = append(wrong, fmt.Sprintf("%s after the response %d to the cancellation of its job", late.Round(time.Millisecond), j.GoneStatus))
	}
	return wrong
}

// Outlasts reports whether a run of a cancelled job that is present at now should be over: after
// a calm stretch in which it could be stopped, or else when the store has been sound for the time
// of a lease that nobody extends. A run that an order started late counts from ContactDelay after
// its start.
func (j *Job) Outlasts(now, startedAt time.Time, vm, entries, store *Faults) bool {
	if j.GoneAt.IsZero() {
		return false
	}
	from := j.GoneAt
	if startedAt.Sub(j.GoneAt) > CancelDelay {
		from = startedAt.Add(ContactDelay)
	}
	sound := latest(from, store.CalmSince(now))
	calm := latest(sound, latest(vm.CalmSince(now), entries.CalmSince(now)))
	return now.After(calm.Add(CancelDelay+StopTime)) || now.After(sound.Add(CancelDelay+maxLease+StopTime))
}

// latest returns the later one of two times.
func latest(t, u time.Time) time.Time {
	if t.After(u) {
		return t
	}
	return u
}
