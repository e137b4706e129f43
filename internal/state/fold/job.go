package fold

import (
	"bytes"
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// MaxTasks is the highest number of tasks in one job.
const MaxTasks = 20_000

// Job is a batch job, or a service whose replicas are its tasks.
type Job struct {
	ID   string
	Team string
	Cell string
	// Kind is the kind of batch work, or the service's name.
	Kind string
	// Key is the idempotency key of a batch job, Hash the hash of the submitted body.
	// A different body under the same key is refused.
	Key     string
	Hash    []byte
	Service bool
	Urgent  bool
	Size    *schema.Size
	WorkMs  uint32
	Input   []byte
	// Order numbers jobs and services in the order in which they were accepted.
	Order uint64
	// Accepted and Ended are the times in the writers' batches. Ended is zero until
	// all tasks have ended; services never end.
	Accepted time.Time
	Ended    time.Time
	// endedClock is the fold's clock when the job ended; retention counts from it.
	endedClock time.Time
	Cancelled  bool
	// Tasks is nil once the tasks of an ended job are removed.
	Tasks []*Task
	// Count and Done are the numbers of tasks that were accepted and completed. Both
	// are 0 for services.
	Count, Done uint32
	maxFailures uint32
	// waiting is the number of tasks that wait for a VM, unfinished the number of
	// tasks that have not ended; the latter is 0 for services.
	waiting, unfinished uint32
	// queued is set while the job is listed in Fold.waiting.
	queued bool
	// maxRemovedEpoch is the highest epoch among removed replicas.
	maxRemovedEpoch uint32
}

// Waiting returns the number of tasks that wait for a VM.
func (j *Job) Waiting() uint32 { return j.waiting }

// Job returns a job, or nil. The caller must not change it.
func (f *Fold) Job(id string) *Job { return f.jobs[id] }

// Jobs returns a team's batch jobs in order of acceptance. The caller must not
// change them.
func (f *Fold) Jobs(team string) []*Job {
	var jobs []*Job
	for _, j := range f.jobs {
		if j.Team == team && !j.Service {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, byOrder)
	return jobs
}

func byOrder(a, b *Job) int { return int(a.Order) - int(b.Order) }

// Waiting returns the jobs of a cell that have waiting tasks: first services, then
// urgent jobs, then other jobs, each in order of acceptance.
func (f *Fold) Waiting(cell string) []*Job {
	jobs := slices.DeleteFunc(f.waiting[cell], func(j *Job) bool {
		if j.waiting == 0 {
			j.queued = false
		}
		return j.waiting == 0
	})
	slices.SortFunc(jobs, func(a, b *Job) int {
		if a.rank() != b.rank() {
			return a.rank() - b.rank()
		}
		return byOrder(a, b)
	})
	f.waiting[cell] = jobs
	return jobs
}

// rank returns the job's class in the order of Waiting; lower classes are first.
func (j *Job) rank() int {
	switch {
	case j.Service:
		return 0
	case j.Urgent:
		return 1
	}
	return 2
}

// addWaiting changes the number of waiting tasks of j by delta.
func (f *Fold) addWaiting(j *Job, delta int) {
	j.waiting = uint32(int(j.waiting) + delta)
	if j.waiting > 0 && !j.queued {
		j.queued = true
		f.waiting[j.Cell] = append(f.waiting[j.Cell], j)
	}
}

// accept adds a batch job. A repeated submission with the same body has no effect.
func (f *Fold) accept(cell string, a *schema.JobAccept, at time.Time) Applied {
	if existing := f.jobs[a.GetJob()]; existing != nil {
		if bytes.Equal(existing.Hash, a.GetBodyHash()) {
			return Applied{}
		}
		return Applied{Code: codes.KeyConflict}
	}
	t := f.teams[a.GetTeam()]
	if t == nil || t.Deleted {
		return Applied{Code: codes.UnknownTeam}
	}
	if cell != t.Config.CellName() || a.GetTasks() == 0 || a.GetTasks() > MaxTasks || a.GetSize() == nil {
		return Applied{Code: codes.JobInvalid}
	}
	if limit := t.Config.Quota.WaitingTasks; limit > 0 && t.unfinished+a.GetTasks() > limit {
		return Applied{Code: codes.QuotaExceeded}
	}
	f.order++
	job := &Job{
		ID: a.GetJob(), Team: a.GetTeam(), Cell: cell, Kind: a.GetKind(), Key: a.GetKey(),
		Hash: a.GetBodyHash(), Urgent: a.GetUrgent(), Size: a.GetSize(), WorkMs: a.GetWorkMs(),
		Input: a.GetInput(), Order: f.order, Accepted: at, Count: a.GetTasks(),
		maxFailures: max(a.GetMaxFailures(), 1), unfinished: a.GetTasks(),
	}
	tasks := make([]Task, a.GetTasks())
	job.Tasks = make([]*Task, a.GetTasks())
	for i := range tasks {
		tasks[i] = Task{Job: job, Index: uint32(i)}
		job.Tasks[i] = &tasks[i]
	}
	t.unfinished += a.GetTasks()
	f.jobs[job.ID] = job
	f.jobMemory += job.memory()
	f.addWaiting(job, len(tasks))
	return Applied{}
}

// cancel cancels a team's batch job. It does nothing if the job has ended.
func (f *Fold) cancel(c *schema.JobCancel) Applied {
	job := f.jobs[c.GetJob()]
	if job == nil || job.Service || job.Team != c.GetTeam() {
		return Applied{Code: codes.JobNotFound}
	}
	if job.unfinished > 0 {
		job.Cancelled = true
		f.cancelTasks(job, 0)
	}
	return Applied{}
}

// cancelTasks cancels the tasks that have not ended, starting at index from.
func (f *Fold) cancelTasks(job *Job, from int) {
	for i := from; i < len(job.Tasks); i++ {
		t := job.Tasks[i]
		job.maxRemovedEpoch = max(job.maxRemovedEpoch, t.Epoch)
		if !t.State.Ended() {
			f.release(t)
			f.end(t, Cancelled)
		}
	}
}
