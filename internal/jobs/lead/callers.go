package lead

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/base/digest"
	"github.com/ebonyarch/ebonyarch/internal/jobs/admit"
	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/jobs/table"
)

// pendingReply identifies an entry's request that gets a response once its job is stored.
type pendingReply struct {
	conn uint64
	seq  uint64
}

// handleRequest processes a caller's request that an entry forwarded.
func (l *Leader) handleRequest(now time.Time, conn uint64, req *msgs.JobRequest) {
	switch req.Verb {
	case msgs.Submit:
		l.submit(now, conn, req)
	case msgs.Cancel:
		l.cancel(now, conn, req)
	case msgs.State, msgs.Pending:
		l.read(now, conn, req)
	default:
		l.reply(conn, msgs.JobResponse{Seq: req.Seq, Code: codes.BadRequest})
	}
}

// reply sends a response that does not depend on changes that are not stored yet.
func (l *Leader) reply(conn uint64, resp msgs.JobResponse) {
	l.send(conn, &msgs.Message{JobResponse: &resp})
}

// submit accepts a job. The response follows once the job is stored; a job that was
// submitted before is confirmed again.
func (l *Leader) submit(now time.Time, conn uint64, req *msgs.JobRequest) {
	if req.Spec == nil || req.Spec.ID != req.Job {
		l.reply(conn, msgs.JobResponse{Seq: req.Seq, Code: codes.BadRequest})
		return
	}
	if err := req.Spec.Validate(); err != nil {
		l.log.Warn("refused an invalid job", "req", req.Job, "err", err)
		l.reply(conn, msgs.JobResponse{Seq: req.Seq, Code: codes.JobInvalid})
		return
	}
	if !l.table.Storable(req.Spec) {
		l.log.Warn("refused a job that is larger than what the store takes", "req", req.Job, "steps", len(req.Spec.Steps))
		l.reply(conn, msgs.JobResponse{Seq: req.Seq, Code: codes.JobInvalid})
		return
	}
	e := l.table.Get(req.Job)
	if e != nil && e.InStore && !e.Unsubmitted {
		l.log.Info("job handed in again", "req", req.Job, "queue", req.Queue, "state", e.Stored)
		l.reply(conn, msgs.JobResponse{Seq: req.Seq, Pending: -1})
		return
	}
	if e == nil || e.Unsubmitted {
		if l.storeIsSlow(now) {
			l.refuse(now, conn, req, codes.LogDown)
			return
		}
		if l.full(table.MemoryOf(req.Spec)) {
			l.refuseFull(now, conn, req)
			return
		}
		l.accept(now, e, *req.Spec)
	}
	l.pendingReplies[req.Job] = append(l.pendingReplies[req.Job], pendingReply{conn, req.Seq})
}

// accept adds a job to the table. If the job was cancelled before, e is its entry, and no task
// of it starts.
func (l *Leader) accept(now time.Time, e *table.Entry, job model.Job) {
	job.Accepted = now
	if e != nil {
		l.log.Info("job handed in after its cancelling", "req", job.ID, "queue", job.Queue.Name, "since", now.Sub(e.Ended), "epoch", l.epoch)
		l.table.SubmitCancelled(e, job)
		return
	}
	e = l.table.Add(job)
	l.onTimePlan.noteAccepted(e, l.jobWork(e))
	l.placementDue = true
}

// full reports whether there is no memory for a further job, given in bytes.
func (l *Leader) full(memory int64) bool {
	return l.jobMemory > 0 && l.table.Memory()+memory > l.jobMemory
}

// refuseFull refuses a request for which there is no memory. A submission is refused once it is
// certain that no other entry has accepted the job.
func (l *Leader) refuseFull(now time.Time, conn uint64, req *msgs.JobRequest) {
	l.stats.RefusedFull++
	l.log.Info("no memory for a further job", "req", req.Job, "verb", req.Verb.String(), "queue", req.Queue,
		"jobs", l.table.Len(), "jobMemory", l.table.Memory(), "limit", l.jobMemory, "epoch", l.epoch)
	if req.Verb == msgs.Submit {
		l.holdForConfirmation(now, conn, &msgs.JobRequest{Seq: req.Seq, Verb: req.Verb, Queue: req.Queue, Job: req.Job})
		return
	}
	l.reply(conn, msgs.JobResponse{Seq: req.Seq, Code: codes.JobsFull, RetryAfter: admit.RetryAfter(0, req.Job)})
}

// refuse refuses a job and tells the caller when to retry.
func (l *Leader) refuse(now time.Time, conn uint64, req *msgs.JobRequest, code codes.Code) {
	after := admit.RetryAfter(l.StoreWait(now), req.Job)
	l.stats.Refused++
	l.log.Info("job refused", "req", req.Job, "queue", req.Queue, "code", int(code), "reason", code.String(),
		"retryAfter", after, "storeWaits", l.StoreWait(now), "epoch", l.epoch)
	l.reply(conn, msgs.JobResponse{Seq: req.Seq, Code: code, RetryAfter: after})
}

// confirmAccepted responds to the requests that wait for a job that is now stored.
func (l *Leader) confirmAccepted(now time.Time, id model.ID) {
	if e := l.table.Get(id); e != nil {
		l.stats.Accepted++
		l.log.Info("job accepted", "req", id, "queue", e.Job.Queue.Name, "tasks", len(e.Tasks), "payload", digest.Text(e.Job.Payload),
			"objective", l.describeStage(e, &e.Stages[0]).Objective.Sub(now), "waited", now.Sub(e.Job.Accepted))
	}
	for _, p := range l.pendingReplies[id] {
		l.reply(p.conn, msgs.JobResponse{Seq: p.seq, Pending: -1})
	}
	delete(l.pendingReplies, id)
}

// refuseUnrecorded refuses the jobs that no batch contains yet. They have certainly not run,
// and the store is too slow to accept them in time. It keeps those with orders to start runs,
// which leave with the next batch, and those that were cancelled, so that no copy of them runs.
func (l *Leader) refuseUnrecorded(now time.Time) {
	for _, e := range l.table.Unrecorded() {
		if e.RunCount > 0 || e.State.Ended() {
			continue
		}
		id := e.Job.ID
		pending := l.pendingReplies[id]
		delete(l.pendingReplies, id)
		l.table.Drop(id)
		for _, p := range pending {
			l.refuse(now, p.conn, &msgs.JobRequest{Seq: p.seq, Job: id, Queue: e.Job.Queue.Name}, codes.LogDown)
		}
		l.log.Info("job dropped before it was stored", "req", id, "storeAge", now.Sub(l.storeConfirmedAt))
	}
}

// cancel cancels a job and orders the stop of its runs. A job that does not exist is cancelled
// too: its submission may still be on its way. The response follows once that is stored.
func (l *Leader) cancel(now time.Time, conn uint64, req *msgs.JobRequest) {
	e := l.table.Get(req.Job)
	if e != nil && e.Unsubmitted && e.InStore {
		l.holdForConfirmation(now, conn, req) // a successor may have accepted it since
		return
	}
	if e == nil && l.storeIsSlow(now) {
		l.refuseUnconfirmed(now, heldRequest{conn, req})
		return
	}
	if e == nil && l.full(0) {
		l.refuseFull(now, conn, req)
		return
	}
	if e == nil {
		l.logNotFound(now, req)
		e = l.table.CancelEarly(now, req.Job)
	}
	if !e.State.Ended() {
		l.stats.Cancelled++
		l.log.Info("job cancelled", "req", req.Job, "queue", req.Queue, "state", e.State, "runs", e.RunCount, "epoch", l.epoch, "storeAge", l.StoreAge(now))
		l.table.Cancel(now, e)
		l.stopSurplus(now, e)
		l.placementDue = true
	}
	resp := msgs.JobResponse{Seq: req.Seq, Pending: -1}
	if e.Unsubmitted {
		resp.Code = codes.JobNotFound
	}
	l.sendWhenStored(conn, &msgs.Message{JobResponse: &resp})
}
