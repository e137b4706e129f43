package world

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/node/core"
	"github.com/ebonyarch/ebonyarch/internal/proof/check"
	"github.com/ebonyarch/ebonyarch/internal/sched/leader"
	"github.com/ebonyarch/ebonyarch/internal/state/fold"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// CancelCall is one call that cancels a job.
type CancelCall struct {
	Job string
	// From and To are the start and the end of the call.
	From, To time.Time
	// Done is set when the call has returned Code.
	Done bool
	Code codes.Code
}

// ReadCall is one call that reads the state of a job.
type ReadCall struct {
	Job string
	// From and To are the start and the end of the call.
	From, To time.Time
	// Done is set when the call has returned Code and, if that is codes.OK, Observed.
	Done     bool
	Code     codes.Code
	Observed check.JobState
}

// CancelJob sends a request to cancel a job to the entry.
func (e *Entry) CancelJob(team string, s *Submission) {
	c := &CancelCall{Job: s.Job, From: e.world.Now}
	e.world.History.Cancels = append(e.world.History.Cancels, c)
	e.commit(&schema.Record{Body: &schema.Record_Cancel{Cancel: &schema.JobCancel{Job: s.Job, Team: team}}},
		func(res core.CommitResult) {
			c.Done, c.Code, c.To = true, codes.Of(res.Err), e.world.Now
			if res.Err == nil {
				s.CancelFrom, s.CancelledAt = c.From, c.To
			}
		})
}

// ReadJob sends a request for the state of a job to the entry, which handles it when it
// is no longer paused.
func (e *Entry) ReadJob(job string) *ReadCall {
	c := &ReadCall{Job: job, From: e.world.Now}
	e.world.History.Reads = append(e.world.History.Reads, c)
	e.world.runAfter(e.Proc, oneWayDelay, func() { e.handleRead(c) })
	return c
}

// handleRead answers a call that reads the state of a job. A job that has ended changes
// no more; any other state needs a read barrier.
func (e *Entry) handleRead(c *ReadCall) {
	finish := func(err error) {
		c.Done, c.Code, c.To = true, codes.Of(err), e.world.Now
		c.Observed = jobState(e.Core.Fold().Job(c.Job))
	}
	if j := e.Core.Fold().Job(c.Job); j != nil && !j.Ended.IsZero() && e.Core.Keeps(e.clock(), j) {
		finish(nil)
		return
	}
	id, err := e.Core.Barrier()
	if err != nil {
		finish(err)
		return
	}
	e.pendingBarriers[id] = finish
	e.readForBarriers()
}

func jobState(j *fold.Job) check.JobState {
	switch {
	case j == nil:
		return check.Absent
	case j.Cancelled:
		return check.Cancelled
	case !j.Ended.IsZero():
		return check.Completed
	}
	return check.Open
}

// jobCalls returns all calls that concern jobs, and a last read of each job.
func (w *World) jobCalls() []check.JobCall {
	var calls []check.JobCall
	seen := map[string]bool{}
	for _, s := range w.History.Submissions {
		calls = append(calls, check.JobCall{
			Key: s.Job, Action: check.Submit, Outcome: outcomeOf(s.Code, s.Done), From: s.SubmittedAt, To: s.To,
		})
		for _, e := range w.Entries {
			if !e.Dead && e.Core.Ready() && !seen[s.Job] {
				seen[s.Job] = true
				calls = append(calls, check.JobCall{
					Key: s.Job, Action: check.Read, Observed: jobState(e.Core.Fold().Job(s.Job)), From: w.Now, To: w.Now.Add(1),
				})
			}
		}
	}
	for _, c := range w.History.Cancels {
		calls = append(calls, check.JobCall{
			Key: c.Job, Action: check.Cancel, Outcome: outcomeOf(c.Code, c.Done), From: c.From, To: c.To,
		})
	}
	for _, c := range w.History.Reads {
		if c.Done && c.Code == codes.OK {
			calls = append(calls, check.JobCall{Key: c.Job, Action: check.Read, Observed: c.Observed, From: c.From, To: c.To})
		}
	}
	return calls
}

// cancelledStartLimit is how long after a job was cancelled an attempt of it may start. A
// leader acts at most TermLease after it read its state, and a VM carries out the reply
// within the lease that comes with it. Their clocks may run slow by a tenth.
const cancelledStartLimit = (leader.TermLease + leader.VMLease) * 11 / 10

// checkCancelled checks that no attempt of a cancelled job starts later than
// cancelledStartLimit after the caller was told.
func (w *World) checkCancelled(add func(string, ...any)) {
	cancelledAt := map[string]time.Time{}
	for _, c := range w.History.Cancels {
		if _, known := cancelledAt[c.Job]; !known && c.Done && c.Code == codes.OK {
			cancelledAt[c.Job] = c.To
		}
	}
	for _, run := range w.Witness.Runs() {
		at, ok := cancelledAt[run.Attempt.Job]
		if late := run.From.Sub(at); ok && late > cancelledStartLimit {
			add("%s: attempt %s started %s after its job was cancelled", run.VM, run.Attempt, late)
		}
	}
}
