package fleet

import (
	"fmt"
	"maps"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

// askAgain is when callers come back that found no leader.
const askAgain = 200 * time.Millisecond

// Callers hand in jobs, cancel some, and note what they were told.
type Callers struct {
	world  *World
	jobs   map[model.ID]*caller
	asks   map[uint64]*caller
	last   uint64
	faults []string
}

// caller is who handed in one job.
type caller struct {
	work model.Job
	// open is set until the job is accepted or refused for good.
	open, accepted bool
	refused        bool
	cancel         time.Duration
	cancelled      bool
}

func (c *Callers) fault(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

// Submit hands in a job of two steps, at the latest when a leader is there.
func (c *Callers) Submit(n int, cancel time.Duration) {
	if c.jobs == nil {
		c.jobs, c.asks = map[model.ID]*caller{}, map[uint64]*caller{}
	}
	q := model.Queue{Name: "assign", Service: "registry", Priority: n % 3, MaxAttempts: 4, Stretch: 2, TargetLatency: time.Second}
	step := model.Step{Tasks: 4, Size: place.Resources{CPU: 3000, Memory: 8000}, Estimate: 700 * time.Millisecond, Checkpoints: n%2 == 0}
	then := step
	then.After, then.MaxPerVM = []int{0}, 2
	id := model.ID(fmt.Sprintf("%016x", n+1))
	j := &caller{open: true, cancel: cancel, work: model.Job{ID: id, Queue: q, Payload: "work", Steps: []model.Step{step, then}}}
	c.jobs[id] = j
	c.ask(j)
}

func (c *Callers) ask(j *caller) {
	e := c.world.leading()
	if e == nil {
		c.world.After(askAgain, func() {
			if j.open {
				c.ask(j)
			}
		})
		return
	}
	// What an earlier leader still says is not heard any more.
	maps.DeleteFunc(c.asks, func(_ uint64, other *caller) bool { return other == j })
	c.last++
	c.asks[c.last] = j
	work := j.work
	a := &msgs.JobRequest{Seq: c.last, Verb: msgs.Submit, Queue: work.Queue.Name, Job: work.ID, Spec: &work}
	if j.accepted {
		a.Verb, a.Spec = msgs.Cancel, nil
	}
	c.world.After(hop, func() { e.handle(0, &msgs.Message{JobRequest: a}) })
}

// retry asks a new leader what the one before has not answered.
func (c *Callers) retry() {
	for n := range len(c.jobs) {
		if j := c.jobs[model.ID(fmt.Sprintf("%016x", n+1))]; j != nil && j.open {
			c.world.After(hop, func() { c.ask(j) })
		}
	}
}

func (c *Callers) answered(a *msgs.JobResponse) {
	j := c.asks[a.Seq]
	if j == nil || !j.open {
		return
	}
	switch {
	case j.accepted:
		j.open, j.cancelled = false, true
	case a.Code == codes.OK:
		j.open, j.accepted = false, true
		if j.cancel > 0 {
			c.world.After(j.cancel, func() { j.open = true; c.ask(j) })
		}
	default:
		j.open, j.refused = false, true
	}
}

// before returns the tasks that must be done before a task.
func (c *Callers) before(task string) []string {
	ref, err := model.ParseTaskRef(task)
	if err != nil || ref.Step == 0 {
		return nil
	}
	var list []string
	for i := range 4 {
		list = append(list, model.TaskRef{Job: ref.Job, Step: 0, Index: i}.String())
	}
	return list
}

// Check returns all that must not be, once all work should have ended.
func (w *World) Check() []string {
	faults := append([]string(nil), w.Callers.faults...)
	faults = append(faults, w.Witness.Faults()...)
	for id, j := range w.Callers.jobs {
		started, done := 0, 0
		for s := range j.work.Steps {
			for i := range j.work.Steps[s].Tasks {
				task := model.TaskRef{Job: id, Step: s, Index: i}.String()
				if w.Witness.Starts(task) > 0 {
					started++
				}
				if w.Witness.Done(task) {
					done++
				}
			}
		}
		switch {
		case j.refused && started > 0:
			faults = append(faults, fmt.Sprintf("job %s was refused and %d tasks ran", id, started))
		case j.open:
			faults = append(faults, fmt.Sprintf("job %s has no answer", id))
		case j.accepted && j.cancel == 0 && done < 8:
			faults = append(faults, fmt.Sprintf("job %s was accepted and %d of 8 tasks are done", id, done))
		}
	}
	return faults
}
