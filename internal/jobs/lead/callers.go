package lead

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/jobs/admit"
	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/jobs/table"
)

// waiter is an entry's request that waits for a job to be stored.
type waiter struct {
	conn uint64
	seq  uint64
}

func (l *Leader) ask(now time.Time, conn uint64, a *msgs.JobRequest) {
	switch a.Verb {
	case msgs.Submit:
		l.submit(now, conn, a)
	case msgs.Cancel:
		l.cancel(now, conn, a)
	case msgs.State:
		l.reply(conn, l.state(a))
	case msgs.Pending:
		l.reply(conn, msgs.JobResponse{Seq: a.Seq, Pending: l.pending(a.Queue)})
	default:
		l.reply(conn, msgs.JobResponse{Seq: a.Seq, Code: codes.BadRequest})
	}
}

func (l *Leader) reply(conn uint64, a msgs.JobResponse) { l.send(conn, &msgs.Message{JobResponse: &a}) }

func (l *Leader) submit(now time.Time, conn uint64, a *msgs.JobRequest) {
	if a.Spec == nil || a.Spec.ID != a.Job {
		l.reply(conn, msgs.JobResponse{Seq: a.Seq, Code: codes.BadRequest})
		return
	}
	e := l.table.Get(a.Job)
	if e != nil && e.InStore {
		l.log.Info("job handed in again", "req", a.Job, "queue", a.Queue, "state", e.Stored)
		l.reply(conn, msgs.JobResponse{Seq: a.Seq, Pending: -1})
		return
	}
	if e == nil {
		if l.slow(now) {
			l.refuse(now, conn, a, codes.LogDown)
			return
		}
		job := *a.Spec
		job.Accepted = now
		e = l.table.Add(job)
		l.timely.accepted(e, l.jobWork(e))
		l.changed = true
	}
	l.answers[a.Job] = append(l.answers[a.Job], waiter{conn, a.Seq})
}

func (l *Leader) refuse(now time.Time, conn uint64, a *msgs.JobRequest, code codes.Code) {
	after := admit.RetryAfter(l.StoreWait(now), a.Job)
	l.stats.Refused++
	l.log.Info("job refused", "req", a.Job, "queue", a.Queue, "code", int(code), "reason", code.String(),
		"retryAfter", after, "storeWaits", l.StoreWait(now), "epoch", l.epoch)
	l.reply(conn, msgs.JobResponse{Seq: a.Seq, Code: code, RetryAfter: after})
}

// accepted answers those who wait for a job that is now stored.
func (l *Leader) accepted(now time.Time, id model.ID) {
	if e := l.table.Get(id); e != nil {
		l.stats.Accepted++
		l.log.Info("job accepted", "req", id, "queue", e.Job.Queue.Name, "tasks", len(e.Tasks),
			"objective", l.workOf(e, &e.Stages[0]).Objective.Sub(now), "waited", now.Sub(e.Job.Accepted))
	}
	for _, w := range l.answers[id] {
		l.reply(w.conn, msgs.JobResponse{Seq: w.seq, Pending: -1})
	}
	delete(l.answers, id)
}

// refuseStaged refuses the jobs that no batch carries yet: they have certainly not
// run, and the store does not take them in time.
func (l *Leader) refuseStaged(now time.Time) {
	for _, e := range l.table.Unrecorded() {
		id := e.Job.ID
		waiters := l.answers[id]
		delete(l.answers, id)
		l.table.Drop(id)
		for _, w := range waiters {
			l.refuse(now, w.conn, &msgs.JobRequest{Seq: w.seq, Job: id, Queue: e.Job.Queue.Name}, codes.LogDown)
		}
		l.log.Info("job dropped before it was stored", "req", id, "storeAge", now.Sub(l.storeAt))
	}
}

func (l *Leader) cancel(now time.Time, conn uint64, a *msgs.JobRequest) {
	e := l.table.Get(a.Job)
	if e == nil {
		l.reply(conn, msgs.JobResponse{Seq: a.Seq, Code: codes.JobNotFound})
		return
	}
	if !e.State.Ended() {
		l.stats.Cancelled++
		l.log.Info("job cancelled", "req", a.Job, "queue", a.Queue, "state", e.State)
		l.table.Cancel(now, e)
		l.stopSurplus(now, e)
		l.changed = true
	}
	l.hold(conn, &msgs.Message{JobResponse: &msgs.JobResponse{Seq: a.Seq, Pending: -1}})
}

// state answers what the store holds, so that no caller is shown what a later
// leader does not know.
func (l *Leader) state(a *msgs.JobRequest) msgs.JobResponse {
	e := l.table.Get(a.Job)
	if e == nil || !e.InStore {
		return msgs.JobResponse{Seq: a.Seq, Code: codes.JobNotFound}
	}
	return msgs.JobResponse{Seq: a.Seq, State: e.Stored.String()}
}

// pending returns the number of a queue's jobs of which no task has started.
func (l *Leader) pending(queue string) int {
	n := 0
	for _, e := range l.table.Active() {
		if e.Job.Queue.Name == queue && e.InStore && e.Stored == table.Queued {
			n++
		}
	}
	return n
}
