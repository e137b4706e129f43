package fleet

import (
	"cmp"
	"fmt"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

const (
	// retryInterval is the time after which a caller that got no response, or one that leaves its
	// request's fate unknown, tries again.
	retryInterval = 200 * time.Millisecond
	// refusedInterval is the time after which a caller that was refused tries again.
	refusedInterval = time.Second
	// responseTimeout is how long a caller waits for a response.
	responseTimeout = 3 * time.Second
)

// defaultTaskTime is the run time of a task unless the world sets another.
const defaultTaskTime = 700 * time.Millisecond

// callersQueue is the name of the queue of all jobs.
const callersQueue = "assign"

// Callers submits jobs, cancels some of them and records the responses.
type Callers struct {
	world *World
	jobs  map[model.ID]*submission
	history
	// faults describes the violations that were found.
	faults []string
}

// submission is a job with the responses that its caller has received.
type submission struct {
	spec model.Job
	// pending is set while a request to submit or to cancel the job has no final response.
	pending, accepted bool
	acceptedAt        time.Time
	// attempts is the number of requests so far, retries the number of refusals after which the
	// caller tries again.
	attempts, retries int
	// refused is set if the caller has given up. unknown is set if the fate of one of its attempts
	// to submit the job is unknown.
	refused, unknown bool
	// cancelAfter is the time from the acceptance to the request to cancel; 0 is never.
	cancelAfter time.Duration
	cancelled   bool
	// deadly is set if a task of each step crashes the workers that start it.
	deadly bool
	// cancelsAnyway is set if the caller cancels the job without waiting for the response to its
	// submission, lasting if the job has one step that lasts until then.
	cancelsAnyway, lasting bool
	// cancelling is set once the caller has begun to cancel the job.
	cancelling bool
}

func (c *Callers) addFault(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

// Submit submits a job of two steps with four tasks each. A part of the callers gives up after the
// first refusal; the others try again.
func (c *Callers) Submit(n int, cancelAfter time.Duration) { c.submit(n, cancelAfter, false) }

// SubmitDeadly submits such a job of which a task crashes the workers that start it.
func (c *Callers) SubmitDeadly() { c.submit(len(c.jobs)+firstDeadly, 0, true) }

// firstDeadly is the lowest number of a deadly job, above those of other jobs.
const firstDeadly = 1000

// submit submits a job.
func (c *Callers) submit(n int, cancelAfter time.Duration, deadly bool) {
	q := model.Queue{Name: callersQueue, Service: "registry", Priority: n % 3, MaxAttempts: 4, Stretch: 2, TargetLatency: time.Second}
	firstStep := model.Step{Tasks: 4, Size: place.Resources{CPU: 3000, Memory: 8000}, Estimate: cmp.Or(c.world.TaskTime, defaultTaskTime), Checkpoints: n%2 == 0}
	secondStep := firstStep
	secondStep.After, secondStep.MaxPerVM = []int{0}, 2
	firstStep.Gang = c.world.Gangs
	c.add(n, &submission{cancelAfter: cancelAfter, deadly: deadly, spec: model.Job{Queue: q, Payload: "work", Steps: []model.Step{firstStep, secondStep}}})
}

// add gives the nth job its id and submits it.
func (c *Callers) add(n int, j *submission) {
	if c.jobs == nil {
		c.jobs = map[model.ID]*submission{}
	}
	j.spec.ID = model.ID(fmt.Sprintf("%016x", n+1))
	j.pending, j.retries = true, n%3
	c.jobs[j.spec.ID] = j
	c.request(j)
}

// request sends the request to submit the job, or to cancel it if it is accepted already, to a
// random entry.
func (c *Callers) request(j *submission) {
	w := c.world
	j.attempts++
	attempt := j.attempts
	spec := j.spec
	req := msgs.JobRequest{Verb: msgs.Submit, Queue: spec.Queue.Name, Job: spec.ID, Spec: &spec}
	if j.cancelling {
		req.Verb, req.Spec = msgs.Cancel, nil
	}
	e := w.Entries[w.callerRNG.IntN(len(w.Entries))]
	call := c.addCall(&req)
	w.After(messageDelay, func() {
		e.accept(req, func(resp msgs.JobResponse) {
			c.noteResponse(call, resp)
			c.handleResponse(j, attempt, resp)
		})
	})
	w.After(responseTimeout, func() { c.handleResponse(j, attempt, msgs.JobResponse{Code: codes.FateUnknown}) })
}

// retry sends the request again after d.
func (c *Callers) retry(j *submission, d time.Duration) {
	j.attempts++ // a late response to the request before is ignored
	c.world.After(d, func() { c.request(j) })
}

// handleResponse handles the response to an attempt unless there has been a later one. After an
// acceptance, it schedules the request to cancel, if the job is to be cancelled.
func (c *Callers) handleResponse(j *submission, attempt int, resp msgs.JobResponse) {
	if !j.pending || attempt != j.attempts {
		return
	}
	switch {
	case j.cancelling && (resp.Code == codes.OK || resp.Code == codes.JobNotFound):
		c.cancelled(j, resp.Code == codes.JobNotFound)
	case j.cancelling:
		c.retry(j, retryInterval)
	case resp.Code == codes.OK:
		j.pending, j.accepted, j.acceptedAt = false, true, c.world.Now
		if c.world.OnAccepted != nil {
			c.world.OnAccepted()
		}
		if j.cancelAfter > 0 {
			c.world.After(j.cancelAfter, func() { c.cancel(j) })
		}
	case resp.Code.Info().Ran != codes.RanNo:
		j.unknown = true
		c.retry(j, retryInterval)
	case j.retries > 0:
		j.retries--
		c.retry(j, refusedInterval)
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
	w.Callers.checkHistory()
	faults := append([]string(nil), w.Callers.faults...)
	faults = append(faults, w.Witness.Faults()...)
	for id, j := range w.Callers.jobs {
		started, done, crashed := 0, 0, 0
		for s := range j.spec.Steps {
			gangCrashes := 0
			for i := range j.spec.Steps[s].Tasks {
				task := model.TaskRef{Job: id, Step: s, Index: i}.String()
				if w.Witness.Starts(task) > 0 {
					started++
				}
				if w.Witness.Done(task) {
					done++
				}
				if crashed = max(crashed, w.Witness.Crashes(task)); j.spec.Steps[s].Gang {
					gangCrashes += w.Witness.Crashes(task)
				}
			}
			crashed = max(crashed, gangCrashes)
		}
		switch {
		case j.refused && !j.unknown && !j.cancelling && started > 0:
			faults = append(faults, fmt.Sprintf("job %s was refused, but %d of its tasks ran", id, started))
		case j.pending:
			faults = append(faults, fmt.Sprintf("job %s has a request without a response", id))
		case j.accepted && j.deadly && w.stateOf(id) != "failed":
			faults = append(faults, fmt.Sprintf("job %s crashes workers and is %s", id, w.stateOf(id)))
		case j.deadly || (crashed >= 2 && w.stateOf(id) == "failed"):
			// A task under which two workers have crashed may be given up.
		case j.accepted && j.cancelAfter == 0 && !j.cancelling && done < 8:
			faults = append(faults, fmt.Sprintf("job %s was accepted, but only %d of its 8 tasks are done (%s, %d crashes)", id, done, w.stateOf(id), crashed))
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
