package lead

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/jobs/table"
)

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
