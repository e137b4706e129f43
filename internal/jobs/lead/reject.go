package lead

import (
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/jobs/table"
)

// Rejected must be called instead of Stored if the store does not accept what the batch in flight
// holds, and so never carries it out. The next batches hold its changes again, but those of fewer
// jobs, until the one that the store rejects is known. Its progress is then divided or, if it was
// before, the job is given up, so that it does not hold back others. Rejected returns false if
// nothing can be left out.
func (l *Leader) Rejected(now time.Time, err error) bool {
	b := l.inFlight
	if b == nil {
		return true
	}
	l.inFlight, l.flushedAt, l.placementDue = nil, now, true
	l.stats.Rejected++
	jobs := b.changes.Jobs()
	l.log.Error("the store rejects a batch for what it holds", "jobs", len(jobs), "records", len(b.Records), "err", err, "epoch", l.epoch)
	l.table.Requeue(&b.changes)
	l.heldForStore = append(slices.Clone(b.messages), l.heldForStore...)
	l.heldRequests = append(slices.Clone(b.requests), l.heldRequests...)
	alone := l.maxBatchJobs == 1
	l.maxBatchJobs = max(1, len(jobs)/2)
	if !alone {
		return true
	}
	if len(jobs) == 0 {
		return false
	}
	if e := jobs[0]; e.Divide() {
		l.log.Warn("the progress of a job is divided, as the store rejects it", "req", e.Job.ID, "tasks", len(e.Tasks))
		return true
	}
	l.giveUpUnstorable(now, jobs, err)
	return true
}

// growBatches lets batches hold more jobs again after one was stored.
func (l *Leader) growBatches() {
	if l.maxBatchJobs *= 2; l.maxBatchJobs > maxLimitedJobs {
		l.maxBatchJobs = 0
	}
}

// maxLimitedJobs is the number of jobs beyond which batches are not limited to a number of jobs.
const maxLimitedJobs = 64

// giveUpUnstorable gives up jobs whose records the store does not take. One that was not accepted
// yet is refused, any other fails.
func (l *Leader) giveUpUnstorable(now time.Time, jobs []*table.Entry, err error) {
	for _, e := range jobs {
		l.stats.Unstorable++
		l.log.Error("the store does not take the records of a job", "req", e.Job.ID, "tasks", len(e.Tasks), "accepted", e.InStore,
			"state", e.State, "runs", e.RunCount, "err", err, "epoch", l.epoch)
		switch {
		case !e.InStore && !e.State.Ended():
			l.dropUnstorable(now, e)
		case l.table.Withhold(now, e):
			l.stopSurplus(now, e)
		default:
			l.table.Skip(e)
		}
		l.placementDue = true
	}
}

// dropUnstorable refuses a job that is not in the store. No order to start a run of it was sent.
func (l *Leader) dropUnstorable(now time.Time, e *table.Entry) {
	id := e.Job.ID
	for _, p := range e.Runs() {
		if v := l.vms[p.Run.VM]; v != nil {
			v.remove(runKey{p.Ref.String(), p.Run.Number})
		}
	}
	l.table.Drop(id)
	for _, p := range l.pendingReplies[id] {
		l.stats.Refused++
		l.reply(p.conn, msgs.JobResponse{Seq: p.seq, Code: codes.JobInvalid})
	}
	delete(l.pendingReplies, id)
	l.log.Info("job refused", "req", id, "queue", e.Job.Queue.Name, "code", int(codes.JobInvalid), "reason", "the store does not take it", "waited", now.Sub(e.Job.Accepted))
}
