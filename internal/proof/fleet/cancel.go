package fleet

import (
	"cmp"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/fake/tasks"
	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

const (
	// cancelStartBound is how long after the acknowledgement of a job's cancelling its tasks may
	// still start, cancelStopBound how long a run may go on after that.
	cancelStartBound, cancelStopBound = 3 * time.Second, 200 * time.Millisecond
	// firstCancelled is the number of the first job of ScheduleCancels, above those of
	// ScheduleWorkload and of InjectSeries.
	firstCancelled = 500
	// cancelledJobs is the number of these jobs, cancelledInterval the time between two of them.
	cancelledJobs     = 60
	cancelledInterval = 170 * time.Millisecond
)

// cancel begins to cancel a job, whether or not it was accepted.
func (c *Callers) cancel(j *submission) {
	if j.cancelling {
		return
	}
	j.pending, j.cancelling = true, true
	c.request(j)
}

// cancelled records that the cancelling of a job was acknowledged. absent is set if the response was
// that there is no such job.
func (c *Callers) cancelled(j *submission, absent bool) {
	j.pending, j.cancelled = false, true
	if absent && j.accepted {
		c.addFault("%s: the cancelling of job %s, which was accepted before it, was answered with no such job",
			c.world.Now.Format("05.000"), j.spec.ID)
	}
	c.world.Witness.Cancelled(c.world.Now, string(j.spec.ID), absent)
}

// submitCancelled submits the nth job, which is cancelled after d: from its acceptance, or from its
// submission if the caller cancels it anyway. In that case, a copy of the submission arrives later.
func (c *Callers) submitCancelled(n int, d time.Duration) {
	w := c.world
	q := model.Queue{Name: callersQueue, Service: "registry", Priority: n % 3, MaxAttempts: 4, Stretch: 2, TargetLatency: time.Second}
	step := model.Step{Tasks: 4, Size: place.Resources{CPU: 2000, Memory: 6000}, Estimate: cmp.Or(w.TaskTime, defaultTaskTime), Checkpoints: n%2 == 0}
	j := &submission{cancelAfter: d, lasting: n%3 != 0, cancelsAnyway: n%5 == 4, spec: model.Job{Queue: q, Payload: "work", Steps: []model.Step{step}}}
	if j.lasting {
		j.spec.Steps[0].LongRunning, j.spec.Steps[0].Estimate = true, 0
	}
	c.add(n, j)
	if j.cancelsAnyway {
		j.cancelAfter = 0
		w.After(d, func() { c.cancel(j) })
		w.After(d+time.Duration(w.callerRNG.Int64N(int64(4*time.Second))), func() { c.copySubmission(j) })
	}
}

// copySubmission lets a copy of a job's submission arrive at an entry. Nobody receives the response.
func (c *Callers) copySubmission(j *submission) {
	w, spec := c.world, j.spec
	e := w.Entries[w.callerRNG.IntN(len(w.Entries))]
	req := msgs.JobRequest{Verb: msgs.Submit, Queue: spec.Queue.Name, Job: spec.ID, Spec: &spec}
	c.addCall(&req)
	e.accept(req, func(msgs.JobResponse) {})
}

// ScheduleCancels schedules jobs that are cancelled, most of them promptly, and lets the witness
// check what becomes of them.
func (w *World) ScheduleCancels() {
	w.Witness.CancelBounds = tasks.CancelBounds{
		Start: cancelStartBound, Stop: cancelStopBound, Contact: contactTime,
		InTouchSince: w.inTouchSince, CalmSince: func() time.Time { return w.disruptedAt },
	}
	w.observe()
	for i := range cancelledJobs {
		d := 5*time.Millisecond + time.Duration(w.callerRNG.Int64N(int64(2*time.Second)))
		switch i % 4 {
		case 1:
			d = 5*time.Millisecond + time.Duration(w.callerRNG.Int64N(int64(60*time.Millisecond)))
		case 3:
			d += 2 * time.Second
		}
		w.After(500*time.Millisecond+time.Duration(i)*cancelledInterval, func() { w.Callers.submitCancelled(firstCancelled+i, d) })
	}
}

// observe records disruptions, and checks the runs of cancelled jobs, at each step.
func (w *World) observe() {
	w.After(stepInterval, w.observe)
	for _, e := range w.Entries {
		if e.Dead || e.Cut || e.MessagesLate || (e.Frozen && !w.Now.Before(e.pausedUntil)) {
			w.disruptedAt = w.Now
		}
	}
	for _, a := range w.Agents {
		if a.Dead || a.Cut || a.Silent || a.PollsFail || a.Worker.Dead {
			a.disruptedAt, w.disruptedAt = w.Now, w.Now
		}
	}
	if w.Now.Before(w.coreDisruptedUntil) {
		w.coreDisruptedAt, w.disruptedAt = w.Now, w.Now
	}
	w.Witness.CheckCancelled(w.Now)
}

// inTouchSince returns since when a worker's agent and the store have been without disruption.
func (w *World) inTouchSince(worker string) time.Time {
	since := w.coreDisruptedAt
	for _, a := range w.Agents {
		if a.Worker.ID() == worker && a.disruptedAt.After(since) {
			since = a.disruptedAt
		}
	}
	return since
}

// disruptCore records that the store is disrupted for d.
func (w *World) disruptCore(d time.Duration) { w.coreDisruptedUntil = w.Now.Add(d) }
