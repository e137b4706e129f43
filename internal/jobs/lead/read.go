package lead

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/jobs/admit"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/jobs/table"
)

// maxReadAge is the maximum age of what callers are told of the progress of jobs.
const maxReadAge = 2 * time.Second

// unreadableRetryAfter is the retry delay for a job whose progress only another leader may be able
// to read.
const unreadableRetryAfter = time.Second

// heldRequest is a caller's request whose response waits until the store has confirmed an append
// that was sent after the request arrived. Only then is it certain that no other entry had
// accepted, cancelled or completed jobs that this leader does not know of.
type heldRequest struct {
	conn    uint64
	request *msgs.JobRequest
}

// read responds to a request that changes nothing. A final state is true whichever entry leads now,
// and other progress may be maxReadAge old. That there is no such job must be confirmed by the store.
func (l *Leader) read(now time.Time, conn uint64, req *msgs.JobRequest) {
	resp, certain := l.lookup(req)
	if certain || resp.Code == codes.OK && l.StoreAge(now) <= maxReadAge {
		l.reply(conn, resp)
		return
	}
	l.holdForConfirmation(now, conn, req)
}

// lookup returns the response to a request that changes nothing, from the jobs and states in the
// store. certain is set if the response is true whichever entry leads now.
func (l *Leader) lookup(req *msgs.JobRequest) (resp msgs.JobResponse, certain bool) {
	resp.Seq = req.Seq
	if req.Verb == msgs.Pending {
		resp.Pending = l.pending(req.Queue)
		return resp, false
	}
	e := l.table.Get(req.Job)
	unknown := e == nil || !e.InStore || e.Unsubmitted
	if req.Verb == msgs.Submit { // there was no memory for the job
		resp.Pending = -1
		if unknown {
			resp.Code, resp.RetryAfter = codes.JobsFull, admit.RetryAfter(0, req.Job)
		}
		return resp, false
	}
	if unknown {
		resp.Code = codes.JobNotFound
		return resp, false
	}
	if e.Unreadable {
		resp.Code, resp.RetryAfter = codes.NotReady, unreadableRetryAfter
		return resp, true
	}
	resp.State = e.Stored.String()
	return resp, e.Stored.Ended()
}

// pending returns the number of a queue's stored jobs of which no task has started.
func (l *Leader) pending(queue string) int {
	n := 0
	for _, e := range l.table.Active() {
		if e.Job.Queue.Name == queue && e.InStore && e.Stored == table.Queued {
			n++
		}
	}
	return n
}

// holdForConfirmation holds a request until the store has confirmed the leadership, or refuses it
// if the store is too slow.
func (l *Leader) holdForConfirmation(now time.Time, conn uint64, req *msgs.JobRequest) {
	if l.storeIsSlow(now) {
		l.refuseUnconfirmed(now, heldRequest{conn, req})
		return
	}
	l.heldRequests = append(l.heldRequests, heldRequest{conn, req})
}

// answerHeld responds to requests that were held until the store confirmed the leadership.
func (l *Leader) answerHeld(now time.Time, requests []heldRequest) {
	for _, h := range requests {
		resp, _ := l.lookup(h.request)
		if resp.Code == codes.JobNotFound {
			l.logNotFound(now, h.request)
		}
		l.reply(h.conn, resp)
	}
}

// refuseHeld refuses the requests that wait for the store, if it is too slow to answer in time.
func (l *Leader) refuseHeld(now time.Time) {
	held := l.heldRequests
	l.heldRequests = nil
	if b := l.inFlight; b != nil {
		held = append(b.requests, held...)
		b.requests = nil
	}
	for _, h := range held {
		l.refuseUnconfirmed(now, h)
	}
}

// refuseUnconfirmed refuses a request whose answer this leader only knows from memory.
func (l *Leader) refuseUnconfirmed(now time.Time, h heldRequest) {
	req := h.request
	after := admit.RetryAfter(l.StoreWait(now), req.Job)
	l.log.Info("request refused, as the store does not confirm the leadership", "req", req.Job, "verb", req.Verb.String(),
		"queue", req.Queue, "retryAfter", after, "storeWaits", l.StoreWait(now), "storeAge", l.StoreAge(now), "epoch", l.epoch)
	l.reply(h.conn, msgs.JobResponse{Seq: req.Seq, Code: codes.LogDown, RetryAfter: after})
}

// logNotFound logs that a request names a job that this leader does not know.
func (l *Leader) logNotFound(now time.Time, req *msgs.JobRequest) {
	l.log.Info("job not found", "req", req.Job, "verb", req.Verb.String(), "queue", req.Queue,
		"epoch", l.epoch, "leadingFor", now.Sub(l.since), "storeAge", l.StoreAge(now), "jobs", l.table.Len())
}
