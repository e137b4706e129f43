package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

// retryInterval is the time after which a caller that found no leader tries again.
const retryInterval = 200 * time.Millisecond

// defaultTaskTime is the run time of a task unless the world sets another.
const defaultTaskTime = 700 * time.Millisecond

// Callers submits jobs, cancels some of them and records the responses.
type Callers struct {
	world *World
	jobs  map[model.ID]*submission
	// bySeq holds the submissions with a pending request, by the number of the request.
	bySeq map[uint64]*submission
	// lastSeq is the number of the latest request.
	lastSeq uint64
	// faults describes the violations that were found.
	faults []string
}

// submission is a job with the responses that its caller has received.
type submission struct {
	spec model.Job
	// pending is set while a request to submit or to cancel the job has no final response.
	pending, accepted bool
	refused           bool
	// cancelAfter is the time from the acceptance to the request to cancel; 0 is never.
	cancelAfter time.Duration
	cancelled   bool
	// deadly is set if a task of each step crashes the workers that start it.
	deadly bool
}

func (c *Callers) addFault(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

// Submit submits a job of two steps with four tasks each. While there is no leader, it tries
// again.
func (c *Callers) Submit(n int, cancelAfter time.Duration) { c.submit(n, cancelAfter, false) }

// SubmitDeadly submits such a job of which a task crashes the workers that start it.
func (c *Callers) SubmitDeadly() { c.submit(len(c.jobs)+firstDeadly, 0, true) }

// firstDeadly is the lowest number of a deadly job, above those of other jobs.
const firstDeadly = 1000

// submit submits a job.
func (c *Callers) submit(n int, cancelAfter time.Duration, deadly bool) {
	if c.jobs == nil {
		c.jobs, c.bySeq = map[model.ID]*submission{}, map[uint64]*submission{}
	}
	q := model.Queue{Name: "assign", Service: "registry", Priority: n % 3, MaxAttempts: 4, Stretch: 2, TargetLatency: time.Second}
	firstStep := model.Step{Tasks: 4, Size: place.Resources{CPU: 3000, Memory: 8000}, Estimate: cmp.Or(c.world.TaskTime, defaultTaskTime), Checkpoints: n%2 == 0}
	secondStep := firstStep
	secondStep.After, secondStep.MaxPerVM = []int{0}, 2
	id := model.ID(fmt.Sprintf("%016x", n+1))
	j := &submission{pending: true, cancelAfter: cancelAfter, deadly: deadly, spec: model.Job{ID: id, Queue: q, Payload: "work", Steps: []model.Step{firstStep, secondStep}}}
	c.jobs[id] = j
	c.request(j)
}

// request sends the request to submit a job, or to cancel it if it is accepted already.
func (c *Callers) request(j *submission) {
	e := c.world.leading()
	if e == nil {
		c.world.After(retryInterval, func() {
			if j.pending {
				c.request(j)
			}
		})
		return
	}
	// A late response to an earlier request for this job is ignored.
	maps.DeleteFunc(c.bySeq, func(_ uint64, other *submission) bool { return other == j })
	c.lastSeq++
	c.bySeq[c.lastSeq] = j
	spec := j.spec
	req := &msgs.JobRequest{Seq: c.lastSeq, Verb: msgs.Submit, Queue: spec.Queue.Name, Job: spec.ID, Spec: &spec}
	if j.accepted {
		req.Verb, req.Spec = msgs.Cancel, nil
	}
	c.world.After(messageDelay, func() { e.handle(0, &msgs.Message{JobRequest: req}) })
}

// resend sends all pending requests to a new leader.
func (c *Callers) resend() {
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		if j := c.jobs[id]; j.pending {
			c.world.After(messageDelay, func() { c.request(j) })
		}
	}
}

// handleResponse records the final response to a request. After an acceptance, it schedules the
// request to cancel, if the job is to be cancelled.
func (c *Callers) handleResponse(resp *msgs.JobResponse) {
	j := c.bySeq[resp.Seq]
	if j == nil || !j.pending {
		return
	}
	switch {
	case j.accepted:
		j.pending, j.cancelled = false, true
	case resp.Code == codes.OK:
		j.pending, j.accepted = false, true
		if c.world.OnAccepted != nil {
			c.world.OnAccepted()
		}
		if j.cancelAfter > 0 {
			c.world.After(j.cancelAfter, func() { j.pending = true; c.request(j) })
		}
	default:
		j.pending, j.refused = false, true
	}
}

// dependencies returns the tasks that must be done before a task.
func (c *Callers) dependencies(task string) []string {
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

// Check returns all violations. It is called when all work should have ended.
func (w *World) Check() []string {
	faults := append([]string(nil), w.Callers.faults...)
	faults = append(faults, w.Witness.Faults()...)
	for id, j := range w.Callers.jobs {
		started, done, crashed := 0, 0, 0
		for s := range j.spec.Steps {
			for i := range j.spec.Steps[s].Tasks {
				task := model.TaskRef{Job: id, Step: s, Index: i}.String()
				if w.Witness.Starts(task) > 0 {
					started++
				}
				if w.Witness.Done(task) {
					done++
				}
				crashed = max(crashed, w.Witness.Crashes(task))
			}
		}
		switch {
		case j.refused && started > 0:
			faults = append(faults, fmt.Sprintf("job %s was refused, but %d of its tasks ran", id, started))
		case j.pending:
			faults = append(faults, fmt.Sprintf("job %s has a request without a response", id))
		case j.accepted && j.deadly && w.stateOf(id) != "failed":
			faults = append(faults, fmt.Sprintf("job %s crashes workers and is %s", id, w.stateOf(id)))
		case j.deadly || (crashed >= 2 && w.stateOf(id) == "failed"):
			// A task under which two workers have crashed may be given up.
		case j.accepted && j.cancelAfter == 0 && done < 8:
			faults = append(faults, fmt.Sprintf("job %s was accepted, but only %d of its 8 tasks are done", id, done))
		}
	}
	return faults
}

// stateOf returns the state of a job as the present leader shows it to callers.
func (w *World) stateOf(id model.ID) string {
	e := w.leading()
	if e == nil {
		return "unknown"
	}
	e.leader.Handle(w.Now, 0, &msgs.Message{JobRequest: &msgs.JobRequest{Verb: msgs.State, Job: id}})
	state := "unknown"
	for _, out := range e.leader.TakeOutbound() {
		if out.Conn == 0 && out.Message.JobResponse != nil && out.Message.JobResponse.Seq == 0 {
			state = out.Message.JobResponse.State
		}
	}
	return state
}
