package fleet

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
)

const (
	// pendingInterval is the time between two requests for the number of jobs that have not begun.
	pendingInterval = 250 * time.Millisecond
	// pendingAge is how old the number may be. An entry that was replaced meanwhile knows of no
	// later job.
	pendingAge = 2500 * time.Millisecond
	// begunBound is how long after its first start a job may be counted, whatever happens to entries
	// and connections meanwhile. It covers a lease, after which a VM counts as lost.
	begunBound = 8 * time.Second
)

// WatchPending asks the entries in turn for the number of jobs that have not begun, and checks it
// against what workers have started. If begunToo is set, it must not count jobs that began long ago.
func (w *World) WatchPending(begunToo bool) { w.watchPending(0, begunToo) }

func (w *World) watchPending(n int, begunToo bool) {
	w.After(pendingInterval, func() { w.watchPending(n+1, begunToo) })
	waiting, possible := w.notBegun(w.Now)
	req := msgs.JobRequest{Verb: msgs.Pending, Queue: callersQueue}
	w.Entries[n%len(w.Entries)].accept(req, func(resp msgs.JobResponse) {
		if resp.Code != codes.OK {
			return
		}
		atLeast := 0
		for _, id := range waiting {
			if j := w.Callers.jobs[id]; !w.started(j, w.Now) && !j.cancelling && w.stateOf(id) != "failed" {
				atLeast++
			}
		}
		if resp.Pending < atLeast || (begunToo && resp.Pending > possible) {
			w.Callers.addFault("%s: %d jobs are said to be waiting, want %d to %d", w.Now.Format("05.000"), resp.Pending, atLeast, possible)
		}
	})
}

// notBegun returns the accepted jobs of which no task has started, and the number of jobs that may
// count as such.
func (w *World) notBegun(now time.Time) (waiting []model.ID, possible int) {
	for id, j := range w.Callers.jobs {
		if j.accepted && !j.cancelling && now.Sub(j.acceptedAt) > pendingAge && !w.started(j, now) {
			waiting = append(waiting, id)
		}
		if !w.started(j, now.Add(-begunBound)) {
			possible++
		}
	}
	return waiting, possible
}

// started reports whether a worker had started a task of a job by a time.
func (w *World) started(j *submission, by time.Time) bool {
	for s := range j.spec.Steps {
		for i := range j.spec.Steps[s].Tasks {
			at, ok := w.Witness.FirstStart(model.TaskRef{Job: j.spec.ID, Step: s, Index: i}.String())
			if ok && !at.After(by) {
				return true
			}
		}
	}
	return false
}
