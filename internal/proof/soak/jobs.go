package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/fake/tasks"
	"github.com/ebonyarch/ebonyarch/internal/fake/texts"
	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/proof/asked"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
	"github.com/ebonyarch/ebonyarch/platform/fake"
)

// job is a job that a caller submits, and what the caller knows about it.
type job struct {
	id string
	// Job is what the caller asks for, body the request's body. Its changing fields are guarded by
	// the mutex of jobList.
	asked.Job
	body  string
	shape *shape

	// The fields below are guarded by the mutex of jobList.

	// acceptedAt is the time at which an entry accepted the job, zero if none did.
	acceptedAt time.Time
	// refused is set if an entry explicitly refused the job at every try.
	refused bool
	// cancelledAt is the time of the first request to cancel, zero if none was sent.
	cancelledAt time.Time
	// completed is set once an entry reported the job as completed.
	completed bool
	// started is set once a worker has started a task of the job.
	started bool
}

// tasksOf returns the names of a step's tasks.
func (j *job) tasksOf(step int) []string {
	var list []string
	for i := range j.Steps[step].Tasks {
		list = append(list, model.TaskRef{Job: model.ID(j.id), Step: step, Index: i}.String())
	}
	return list
}

// lasts reports whether the job's tasks run until it is cancelled.
func (j *job) lasts() bool { return j.Steps[0].LongRunning }

// shape is a kind of job.
type shape struct {
	// share is the fraction of the jobs that are of this kind, cancelled the fraction of these
	// that are cancelled.
	share, cancelled float64
	// minTime and timeSpread are the limits of a task's random run time, if it ends by itself.
	minTime, timeSpread time.Duration
	steps               func(rng *rand.Rand) []model.Step
}

// The numbers of tasks in a step of a job that lasts are those of corridor-rerun in the
// largest deployment: 14 on average.
const minLasting, lastingSpread = 7, 15

// tasksPerStep is the number of tasks in each step of other jobs.
const tasksPerStep = 3

// saveInterval is the time between two checkpoints of a run.
const saveInterval = 200 * time.Millisecond

// shapes lists the kinds of jobs from which a seed chooses.
var shapes = []shape{
	{0.55, 0.3, 100 * time.Millisecond, 400 * time.Millisecond, func(*rand.Rand) []model.Step {
		s := model.Step{Tasks: tasksPerStep, Size: place.Resources{CPU: 1000, Memory: 1000}, Estimate: 200 * time.Millisecond}
		next := s
		next.After = []int{0}
		return []model.Step{s, next}
	}},
	{0.2, 1, 0, 0, func(rng *rand.Rand) []model.Step {
		size := place.Resources{CPU: 50 + rng.Int64N(150), Memory: 200}
		return []model.Step{{Tasks: minLasting + rng.IntN(lastingSpread), Size: size, Estimate: time.Second, LongRunning: true}}
	}},
	{0.2, 0.3, time.Second, 3 * time.Second, func(*rand.Rand) []model.Step {
		return []model.Step{{Tasks: tasksPerStep, Size: place.Resources{CPU: 500, Memory: 500}, Estimate: 2 * time.Second, Checkpoints: true}}
	}},
	{0.05, 0.3, 500 * time.Millisecond, 1500 * time.Millisecond, func(*rand.Rand) []model.Step {
		return []model.Step{{Tasks: tasksPerStep, Size: place.Resources{CPU: 300, Memory: 500}, Estimate: time.Second, Checkpoints: true, Gang: true}}
	}},
}

// wholeVM is the kind of the jobs of an overload: one task that takes a VM's whole capacity.
var wholeVM = shape{1, 0.5, 100 * time.Millisecond, 400 * time.Millisecond, func(*rand.Rand) []model.Step {
	return []model.Step{{Tasks: 1, Size: capacity, Estimate: 200 * time.Millisecond}}
}}

// pickShape returns a random kind of job.
func pickShape(rng *rand.Rand) *shape {
	x := rng.Float64()
	for i := range shapes {
		if x -= shapes[i].share; x < 0 {
			return &shapes[i]
		}
	}
	return &shapes[0]
}

// newJob returns a job of the given kind.
func newJob(rng *rand.Rand, s *shape) (*job, error) {
	j := &job{id: fmt.Sprintf("%016x", rng.Uint64()), shape: s}
	j.Payload, j.Steps = texts.Odd(rng, "payload of "+j.id+" "), s.steps(rng)
	body, err := fake.EncodeJob(texts.Quote(rng, j.Payload), j.Steps)
	j.body = string(body)
	return j, err
}

// plan returns the behavior of a run of one of the job's tasks. rng determines what is random.
func (j *job) plan(ref model.TaskRef, run uint32, rng *rand.Rand) tasks.Plan {
	step := &j.Steps[ref.Step]
	p := tasks.Plan{Size: step.ResourceRequest()}
	if !step.LongRunning {
		p.Work = j.shape.minTime + time.Duration(rng.Int64N(int64(j.shape.timeSpread)))
	}
	if step.Gang {
		p.Members = step.Tasks
	}
	if step.Checkpoints {
		p.SaveInterval = saveInterval
		p.Checkpoint = func(n int) string { return texts.Odd(rng, fmt.Sprintf("%s run %d save %d ", ref, run, n)) }
	}
	return p
}

// jobList holds all jobs that callers submit. Its zero value is empty and ready for use.
type jobList struct {
	// mu guards the fields below and the changing fields of all jobs.
	mu   sync.Mutex
	list []*job
	byID map[model.ID]*job
	// faults describes the violations that callers have seen.
	faults []string
}

// add adds a job.
func (l *jobList) add(j *job) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byID == nil {
		l.byID = map[model.ID]*job{}
	}
	l.list = append(l.list, j)
	l.byID[model.ID(j.id)] = j
}

// find returns the job and the reference of a task, and false if nobody submitted such a job or
// it has no such task.
func (l *jobList) find(task string) (*job, model.TaskRef, bool) {
	ref, err := model.ParseTaskRef(task)
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.byID[ref.Job]
	found := err == nil && j != nil && j.HasTask(ref)
	return j, ref, found
}

// plan returns the behavior of a run of a task. seed and the task's name determine what is
// random.
func (l *jobList) plan(seed uint64, task string, run uint32) tasks.Plan {
	j, ref, found := l.find(task)
	if !found {
		return tasks.Plan{}
	}
	return j.plan(ref, run, rand.New(rand.NewPCG(seed, hash(task)+uint64(run))))
}

// dependencies returns the tasks that must be done before a task starts: those of the steps
// that its step depends on.
func (l *jobList) dependencies(task string) []string {
	j, ref, found := l.find(task)
	if !found {
		return nil
	}
	var list []string
	for _, step := range j.Steps[ref.Step].After {
		list = append(list, j.tasksOf(step)...)
	}
	return list
}

// update calls f with mu locked.
func (l *jobList) update(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

// addFault records a violation that a caller has seen.
func (l *jobList) addFault(format string, args ...any) {
	l.update(func() { l.faults = append(l.faults, time.Now().Format("05.000")+": "+fmt.Sprintf(format, args...)) })
}

// pending returns the jobs that were accepted, were not cancelled and are not known to be
// completed.
func (l *jobList) pending() []*job {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []*job
	for _, j := range l.list {
		if !j.acceptedAt.IsZero() && j.cancelledAt.IsZero() && !j.completed {
			list = append(list, j)
		}
	}
	return list
}

// all returns all jobs.
func (l *jobList) all() []*job {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.list)
}

// lastGone returns the time at which the last job was cancelled.
func (l *jobList) lastGone() (last time.Time) {
	for _, j := range l.all() {
		if j.GoneAt.After(last) {
			last = j.GoneAt
		}
	}
	return last
}
