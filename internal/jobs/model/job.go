package model

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Job is an accepted job as its caller described it. It is never modified.
type Job struct {
	_  struct{} `cbor:",toarray"`
	ID ID
	// Queue is the queue's configuration when the job was accepted.
	Queue   Queue
	Payload string
	// Steps has at least one element. A step's After lists earlier steps only.
	Steps []Step
	// Repeat is the number of scheduled occurrences of the steps, the first at
	// StartAt and the others at multiples of Interval after it. 0 means that the
	// steps run once and without delay.
	Repeat   int
	StartAt  time.Time
	Interval time.Duration
	Accepted time.Time
}

// Limits on submitted jobs.
const (
	// maxPayload is in bytes.
	maxPayload = 4000
	// MaxSteps is the number of steps.
	MaxSteps = 256
	// maxTasks counts the tasks of all steps and occurrences.
	maxTasks = 8000
	// maxResource limits each resource of a task, in its unit.
	maxResource = 1 << 40
	// maxDuration limits durations, and the time from the first occurrence to the last one.
	maxDuration = 20 * 365 * 24 * time.Hour
	// maxYear is the last year in which a job may start. Later ones than 9999 can't be
	// stored.
	maxYear = 9000
)

// Validate returns an error that describes the first fault in the job's
// description, or nil.
func (j *Job) Validate() error {
	switch {
	case !j.ID.Valid():
		return fmt.Errorf("id %q is not 16 hexadecimal digits", j.ID)
	case len(j.Payload) > maxPayload:
		return fmt.Errorf("payload has %d bytes, at most %d are allowed", len(j.Payload), maxPayload)
	case len(j.Steps) == 0 || len(j.Steps) > MaxSteps:
		return fmt.Errorf("job has %d steps, want 1 to %d", len(j.Steps), MaxSteps)
	}
	if j.Repeat < 0 || j.Repeat > maxTasks || j.Interval < 0 || j.Interval > maxDuration/time.Duration(max(1, j.Repeat)) {
		return fmt.Errorf("schedule of %d occurrences every %s is out of range, want at most %d occurrences", j.Repeat, j.Interval, maxTasks)
	}
	if j.StartAt.Year() > maxYear {
		return fmt.Errorf("start %s is after the year %d", j.StartAt, maxYear)
	}
	total := 0
	for i := range j.Steps {
		s := &j.Steps[i]
		if s.Tasks < 1 || s.Tasks > maxTasks || min(s.Size.CPU, s.Size.Memory, s.Size.Accelerators) < 0 ||
			max(s.Size.CPU, s.Size.Memory, s.Size.Accelerators) > maxResource {
			return fmt.Errorf("step %d: task count or size is out of range", i)
		}
		if min(s.Estimate, s.LatencyTarget) < 0 || max(s.Estimate, s.LatencyTarget) > maxDuration {
			return fmt.Errorf("step %d: estimate or latency target is out of range", i)
		}
		for _, a := range s.After {
			if a < 0 || a >= i {
				return fmt.Errorf("step %d: depends on step %d, which is not an earlier step", i, a)
			}
		}
		total += s.Tasks
	}
	if n := total * j.Occurrences(); total > maxTasks || n > maxTasks {
		return fmt.Errorf("job has more than %d tasks", maxTasks)
	}
	return nil
}

// MinEncodedSize returns a lower bound of the size of the job's record, in bytes: that of its texts
// and lists.
func (j *Job) MinEncodedSize() int {
	n := len(j.Payload)
	for i := range j.Steps {
		s := &j.Steps[i]
		n += len(s.Requires) + len(s.Rack) + len(s.Image) + len(s.After)
	}
	return n
}

// Occurrences returns how many times the steps run.
func (j *Job) Occurrences() int { return max(1, j.Repeat) }

// Due returns the earliest start of occurrence k, or the zero time if the job has
// no schedule.
func (j *Job) Due(k int) time.Time {
	if j.Repeat == 0 {
		return time.Time{}
	}
	return j.StartAt.Add(time.Duration(k) * j.Interval)
}

// LongRunning reports whether the job has a long-running step and thus runs until it
// is cancelled.
func (j *Job) LongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// TaskRef identifies a task by its job, the occurrence and the step that it belongs
// to, and its index within the step.
type TaskRef struct {
	Job                     ID
	Occurrence, Step, Index int
}

// String returns the task's name, under which workers run it.
func (r TaskRef) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", r.Job, r.Occurrence, r.Step, r.Index)
}

// Compare orders references by their elements.
func (r TaskRef) Compare(other TaskRef) int {
	return cmp.Or(cmp.Compare(r.Job, other.Job), cmp.Compare(r.Occurrence, other.Occurrence), cmp.Compare(r.Step, other.Step), cmp.Compare(r.Index, other.Index))
}

// JobOf returns the job id with which a task's name begins.
func JobOf(task string) ID {
	id, _, _ := strings.Cut(task, ".")
	return ID(id)
}

// ParseTaskRef parses a task's name as returned by String.
func ParseTaskRef(s string) (TaskRef, error) {
	parts := strings.Split(s, ".")
	ref := TaskRef{Job: ID(parts[0])}
	if len(parts) != 4 || !ref.Job.Valid() {
		return TaskRef{}, fmt.Errorf("%q is not a task name", s)
	}
	for i, p := range []*int{&ref.Occurrence, &ref.Step, &ref.Index} {
		n, err := strconv.ParseUint(parts[i+1], 10, 31)
		if err != nil {
			return TaskRef{}, fmt.Errorf("%q is not a task name: %w", s, err)
		}
		*p = int(n)
	}
	return ref, nil
}
