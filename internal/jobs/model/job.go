package model

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Job is accepted work as its caller described it. It never changes.
type Job struct {
	_  struct{} `cbor:",toarray"`
	ID ID
	// Queue is the queue's configuration at the time of acceptance.
	Queue   Queue
	Payload string
	// Steps holds at least one step; After refers to earlier ones only.
	Steps []Step
	// Repeat is how often the steps run on a schedule; 0 means once, at once.
	Repeat   int
	StartAt  time.Time
	Interval time.Duration
	Accepted time.Time
}

// Bounds of what callers may hand in.
const (
	maxPayload = 4000
	maxSteps   = 256
	maxTasks   = 8000
)

// Validate returns the first fault of the job's description.
func (j *Job) Validate() error {
	switch {
	case !j.ID.Valid():
		return fmt.Errorf("id %q is not 16 hexadecimal digits", j.ID)
	case len(j.Payload) > maxPayload:
		return fmt.Errorf("payload of %d bytes, at most %d are allowed", len(j.Payload), maxPayload)
	case len(j.Steps) == 0 || len(j.Steps) > maxSteps:
		return fmt.Errorf("%d steps, want 1 to %d", len(j.Steps), maxSteps)
	}
	if j.Repeat < 0 || j.Repeat > maxTasks || j.Interval < 0 {
		return fmt.Errorf("repeated %d times every %s, want at most %d times", j.Repeat, j.Interval, maxTasks)
	}
	total := 0
	for i := range j.Steps {
		s := &j.Steps[i]
		if s.Tasks < 1 || s.Tasks > maxTasks || s.Size.CPU < 0 || s.Size.Memory < 0 || s.Size.Accelerators < 0 {
			return fmt.Errorf("step %d: count or size out of range", i)
		}
		for _, a := range s.After {
			if a < 0 || a >= i {
				return fmt.Errorf("step %d: comes after step %d, which is not an earlier one", i, a)
			}
		}
		total += s.Tasks
	}
	if n := total * j.Occurrences(); total > maxTasks || n > maxTasks {
		return fmt.Errorf("more than %d tasks", maxTasks)
	}
	return nil
}

// Occurrences returns how often the steps run.
func (j *Job) Occurrences() int { return max(1, j.Repeat) }

// Due returns when occurrence k may start; the zero time is at once.
func (j *Job) Due(k int) time.Time {
	if j.Repeat == 0 {
		return time.Time{}
	}
	return j.StartAt.Add(time.Duration(k) * j.Interval)
}

// Lasting reports whether the job runs until it is cancelled.
func (j *Job) Lasting() bool {
	for i := range j.Steps {
		if j.Steps[i].Lasting {
			return true
		}
	}
	return false
}

// TaskRef names a task: an occurrence of a step's task.
type TaskRef struct {
	Job                     ID
	Occurrence, Step, Index int
}

// String returns the name that workers know the task by.
func (r TaskRef) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", r.Job, r.Occurrence, r.Step, r.Index)
}

// JobOf returns the id of the job that a task's name begins with.
func JobOf(task string) ID {
	id, _, _ := strings.Cut(task, ".")
	return ID(id)
}

// ParseTaskRef reads what String wrote.
func ParseTaskRef(s string) (TaskRef, error) {
	parts := strings.Split(s, ".")
	ref := TaskRef{Job: ID(parts[0])}
	if len(parts) != 4 || !ref.Job.Valid() {
		return TaskRef{}, fmt.Errorf("%q does not name a task", s)
	}
	for i, p := range []*int{&ref.Occurrence, &ref.Step, &ref.Index} {
		n, err := strconv.ParseUint(parts[i+1], 10, 31)
		if err != nil {
			return TaskRef{}, fmt.Errorf("%q does not name a task: %w", s, err)
		}
		*p = int(n)
	}
	return ref, nil
}
