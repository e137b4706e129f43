package world

import (
	"fmt"
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/base/ident"
	"github.com/ebonyarch/ebonyarch/internal/node/core"
	"github.com/ebonyarch/ebonyarch/internal/proof/check"
	"github.com/ebonyarch/ebonyarch/internal/state/fold"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// History holds the calls that callers and operators made and their results.
type History struct {
	Calls       []*Call
	Submissions []*Submission
	Cancels     []*CancelCall
	Reads       []*ReadCall
	Publishes   []*PublishCall
	// violations holds what was found wrong during the run.
	violations []string
}

// Submission is one call that submits a job.
type Submission struct {
	Job   string
	Tasks uint32
	// SubmittedAt is the start of the call.
	SubmittedAt time.Time
	// Done is set when the call has returned Code.
	Done bool
	Code codes.Code
	// To is the end of the call.
	To time.Time
	// CancelFrom and CancelledAt are the start and the end of the call that
	// cancelled the job. They are zero if no such call succeeded.
	CancelFrom, CancelledAt time.Time
}

// PublishCall is one call that publishes a team's configuration.
type PublishCall struct {
	Team           string
	Base, Revision uint64
	Body           string
	// From and To are the start and the end of the call.
	From, To time.Time
	// Done is set when the call has returned Code.
	Done bool
	Code codes.Code
}

func (h *History) addViolation(format string, args ...any) {
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

// commit commits a record at the entry and calls done with the result.
func (e *Entry) commit(r *schema.Record, done func(core.CommitResult)) {
	if e.Dead || e.world.Now.Before(e.pausedUntil) {
		done(core.CommitResult{Err: codes.New(codes.Unreachable, "no reply")})
		return
	}
	id, err := e.Core.Commit(e.clock(), r)
	if err != nil {
		done(core.CommitResult{Err: err})
		return
	}
	e.pendingCommits[id] = func(res core.CommitResult) {
		if res.Err != nil && codes.Of(res.Err) == codes.Internal {
			res.Err = codes.New(codes.FateUnknown, "the entry died")
		}
		done(res)
	}
	e.appendPending()
}

// Submit submits a job to the entry and calls done with the result code.
func (e *Entry) Submit(team, key, kind string, tasks uint32, work time.Duration, done func(codes.Code)) *Submission {
	s := &Submission{Job: ident.BatchJob(team, key), Tasks: tasks, SubmittedAt: e.world.Now}
	e.world.History.Submissions = append(e.world.History.Submissions, s)
	finish := func(c codes.Code) {
		s.Done, s.Code, s.To = true, c, e.world.Now
		done(c)
	}
	t := e.Core.Fold().Team(team)
	if e.world.reachStep(Submit, e.Proc) || e.Dead {
		finish(codes.Unreachable)
		return s
	}
	if t == nil {
		finish(codes.UnknownTeam)
		return s
	}
	k := t.Config.Batch[kind]
	e.commit(&schema.Record{Cell: "main", Body: &schema.Record_Job{Job: &schema.JobAccept{
		Job: s.Job, Team: team, Key: key, BodyHash: []byte(kind), Kind: kind, Tasks: tasks, Size: k.Size(),
		Urgent: k.Urgent, MaxFailures: k.FailureLimit(), WorkMs: uint32(work.Milliseconds()),
	}}}, func(res core.CommitResult) { finish(codes.Of(res.Err)) })
	return s
}

// Publish sends a team's configuration to the entry and calls done with the result
// code. base is the revision that it replaces.
func (e *Entry) Publish(team string, base uint64, body string, done func(codes.Code)) *PublishCall {
	p := &PublishCall{Team: team, Base: base, Body: body, From: e.world.Now}
	e.world.History.Publishes = append(e.world.History.Publishes, p)
	e.commit(&schema.Record{Body: &schema.Record_Config{Config: &schema.ConfigPut{
		Team: team, Base: base, Body: []byte(body), Author: e.Name,
	}}}, func(res core.CommitResult) {
		p.Done, p.Code, p.Revision, p.To = true, codes.Of(res.Err), res.Revision, e.world.Now
		done(p.Code)
	})
	return p
}

// Check returns a description of each violated invariant. It is meant for the end
// of a run, when no fault is left and all jobs should have ended.
func (w *World) Check() []string {
	violations := slices.Clone(w.History.violations)
	add := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	for _, v := range w.VMs {
		v.Worker.RecordEnds()
	}
	for _, task := range w.Witness.Overlaps(w.Now) {
		add("task %s had two attempts running at a time", task)
	}
	for _, start := range w.Witness.Overcommitted() {
		add("VM over its capacity: %s", start)
	}
	w.checkCalls(add)
	w.checkCancelled(add)
	w.checkLinearizable(add)
	for _, e := range w.Entries {
		if e.Dead {
			continue
		}
		w.checkJobs(e, add)
		w.checkConfig(e, add)
	}
	return violations
}

// checkLinearizable checks that the results of all publish calls, and those of all
// job calls, can be explained by calls that take effect one after the other.
func (w *World) checkLinearizable(add func(string, ...any)) {
	var checker check.Checker
	var publishes []check.Publish
	for _, p := range w.History.Publishes {
		publishes = append(publishes, check.Publish{
			Team: p.Team, Base: p.Base, Revision: p.Revision, Outcome: outcomeOf(p.Code, p.Done), From: p.From, To: p.To,
		})
	}
	if !checker.Config(publishes) {
		add("no order of the publish calls explains their results")
	}
	if !checker.Jobs(w.jobCalls()) {
		add("no order of the job calls explains their results")
	}
}

// outcomeOf returns what the caller learned from a call with the given result code.
func outcomeOf(code codes.Code, done bool) check.Outcome {
	switch {
	case !done:
		return check.Unknown
	case code == codes.OK:
		return check.Done
	case code == codes.ConfigStale:
		return check.Refused
	case code.Info().Ran == codes.RanNo:
		return check.NotRun
	}
	return check.Unknown
}

// checkCalls checks that each call has an outcome that matches how often it ran.
func (w *World) checkCalls(add func(string, ...any)) {
	for _, c := range w.History.Calls {
		served := w.Witness.Served(c.ID)
		switch {
		case !c.Done:
			add("call %s got no outcome", c.ID)
		case !c.Idempotent && served > 1:
			add("non-idempotent call %s ran %d times", c.ID, served)
		case c.Code == codes.OK && served == 0:
			add("call %s succeeded but never ran", c.ID)
		case c.SendCount == 1 && c.Code.Info().Ran == codes.RanNo && served > 0:
			add("call %s returned %s, not run, but ran", c.ID, c.Code)
		}
	}
}

// checkJobs checks an entry's state of all jobs: that they exist if and only if
// they were accepted, that their tasks have ended, and that the output of each
// completed task counts exactly once.
func (w *World) checkJobs(e *Entry, add func(string, ...any)) {
	accepted := map[ident.Attempt]bool{}
	mayExist := map[string]bool{}
	for _, s := range w.History.Submissions {
		mayExist[s.Job] = mayExist[s.Job] || s.Code == codes.OK || s.Code.Info().Ran == codes.RanUnknown
	}
	for _, s := range w.History.Submissions {
		job := e.Core.Fold().Job(s.Job)
		switch {
		case job == nil && s.Code == codes.OK:
			add("%s: accepted job %s is lost", e.Name, s.Job)
		case job != nil && !mayExist[s.Job]:
			add("%s: the submission of job %s returned %s, not accepted, but the job exists", e.Name, s.Job, s.Code)
		}
		if job == nil {
			continue
		}
		for _, t := range job.Tasks {
			if !t.State.Ended() {
				add("%s: task %s/%d is still %s on %q, epoch %d", e.Name, s.Job, t.Index, t.State, t.VM, t.Epoch)
			}
			if t.State == fold.Completed {
				accepted[t.Attempt()] = true
			}
			if t.State == fold.Parked {
				add("%s: task %s/%d is parked: %s", e.Name, s.Job, t.Index, t.Reason)
			}
		}
	}
	completed, duplicated, lost := w.Witness.Audit(accepted)
	if completed != len(accepted) {
		add("%s: %d tasks are completed, but %d of the attempts finished", e.Name, len(accepted), completed)
	}
	for _, task := range duplicated {
		add("%s: the output of task %s counts twice", e.Name, task)
	}
	for _, task := range lost {
		add("%s: the output of task %s was discarded", e.Name, task)
	}
}

// checkConfig checks that an entry has every published configuration, or a newer
// one, and that the history holds it unchanged.
func (w *World) checkConfig(e *Entry, add func(string, ...any)) {
	for _, p := range w.History.Publishes {
		if p.Code != codes.OK || !p.Done {
			continue
		}
		t := e.Core.Fold().Team(p.Team)
		if t == nil || t.Revision < p.Revision {
			add("%s: accepted revision %d of %s is not in force", e.Name, p.Revision, p.Team)
			continue
		}
		for _, c := range t.History {
			if c.GetRevision() == p.Revision && string(c.GetBody()) != p.Body {
				add("%s: revision %d of %s has a different body than the accepted one", e.Name, p.Revision, p.Team)
			}
		}
	}
}
