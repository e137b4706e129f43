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

// History is what callers and operators of a world did and were told.
type History struct {
	Calls       []*Call
	Submissions []*Submission
	Publishes   []*Put
	faults      []string
}

// Submission is one attempt to submit a job.
type Submission struct {
	Job   string
	Tasks uint32
	// At is when it was submitted.
	At   time.Time
	Done bool
	Code codes.Code
	// To is when it was answered.
	To time.Time
	// CancelledAt is when a cancellation was accepted, asked for at CancelFrom.
	CancelFrom, CancelledAt time.Time
}

// Put is one attempt to publish a team's configuration.
type Put struct {
	Team           string
	Base, Revision uint64
	Body           string
	// From and To are when it was called and answered.
	From, To time.Time
	Done     bool
	Code     codes.Code
}

func (h *History) fault(format string, args ...any) {
	h.faults = append(h.faults, fmt.Sprintf(format, args...))
}

// commit gives a record to an entry and calls done with its fate.
func (e *Entry) commit(r *schema.Record, done func(core.CommitResult)) {
	if e.Dead || e.world.Now.Before(e.pausedUntil) {
		done(core.CommitResult{Err: codes.New(codes.Unreachable, "no answer")})
		return
	}
	id, err := e.Core.Commit(e.clock(), r)
	if err != nil {
		done(core.CommitResult{Err: err})
		return
	}
	e.waiters[id] = func(f core.CommitResult) {
		if f.Err != nil && codes.Of(f.Err) == codes.Internal {
			f.Err = codes.New(codes.FateUnknown, "the entry died")
		}
		done(f)
	}
	e.pump()
}

// Submit submits a job at an entry and calls done with the result code.
func (e *Entry) Submit(team, key, kind string, tasks uint32, work time.Duration, done func(codes.Code)) *Submission {
	s := &Submission{Job: ident.BatchJob(team, key), Tasks: tasks, At: e.world.Now}
	e.world.History.Submissions = append(e.world.History.Submissions, s)
	finish := func(c codes.Code) {
		s.Done, s.Code, s.To = true, c, e.world.Now
		done(c)
	}
	t := e.Core.Fold().Team(team)
	if e.world.step(Submit, e.Proc) || e.Dead {
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
	}}}, func(f core.CommitResult) { finish(codes.Of(f.Err)) })
	return s
}

// CancelJob cancels a job at an entry.
func (e *Entry) CancelJob(team string, s *Submission) {
	from := e.world.Now
	e.commit(&schema.Record{Body: &schema.Record_Cancel{Cancel: &schema.JobCancel{Job: s.Job, Team: team}}},
		func(f core.CommitResult) {
			if f.Err == nil {
				s.CancelFrom, s.CancelledAt = from, e.world.Now
			}
		})
}

// Publish publishes a team's configuration at an entry.
func (e *Entry) Publish(team string, base uint64, body string, done func(codes.Code)) *Put {
	p := &Put{Team: team, Base: base, Body: body, From: e.world.Now}
	e.world.History.Publishes = append(e.world.History.Publishes, p)
	e.commit(&schema.Record{Body: &schema.Record_Config{Config: &schema.ConfigPut{
		Team: team, Base: base, Body: []byte(body), Author: e.Name,
	}}}, func(f core.CommitResult) {
		p.Done, p.Code, p.Revision, p.To = true, codes.Of(f.Err), f.Revision, e.world.Now
		done(p.Code)
	})
	return p
}

// Check returns everything that did not hold. It is called at the end, when all
// faults are healed and all work should have ended.
func (w *World) Check() []string {
	faults := slices.Clone(w.History.faults)
	add := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	for _, v := range w.VMs {
		v.Worker.RecordEnds()
	}
	for _, task := range w.Witness.Overlaps(w.Now) {
		add("task %s ran in two places at a time", task)
	}
	for _, start := range w.Witness.Overcommitted() {
		add("VM beyond its capacity: %s", start)
	}
	w.checkCalls(add)
	w.checkOrder(add)
	for _, e := range w.Entries {
		if e.Dead {
			continue
		}
		w.checkJobs(e, add)
		w.checkConfig(e, add)
	}
	return faults
}

// checkOrder judges the history of publishes and submissions as a whole.
func (w *World) checkOrder(add func(string, ...any)) {
	var publishes []check.Publish
	for _, p := range w.History.Publishes {
		publishes = append(publishes, check.Publish{
			Team: p.Team, Base: p.Base, Revision: p.Revision, Outcome: fateOf(p.Code, p.Done), From: p.From, To: p.To,
		})
	}
	if !check.Config(publishes) {
		add("the publishes have no order in which their answers are true")
	}
	var calls []check.JobCall
	seen := map[string]bool{}
	for _, s := range w.History.Submissions {
		calls = append(calls, check.JobCall{Key: s.Job, Action: check.Submit, Outcome: fateOf(s.Code, s.Done), From: s.At, To: s.To})
		for _, e := range w.Entries {
			if !e.Dead && e.Core.Ready() && !seen[s.Job] {
				seen[s.Job] = true
				calls = append(calls, check.JobCall{
					Key: s.Job, Action: check.Read, Observed: jobState(e.Core.Fold().Job(s.Job)), From: w.Now, To: w.Now.Add(1),
				})
			}
		}
		if s.CancelledAt.IsZero() {
			continue
		}
		calls = append(calls, check.JobCall{Key: s.Job, Action: check.Cancel, From: s.CancelFrom, To: s.CancelledAt})
	}
	if !check.Jobs(calls) {
		add("the calls about jobs have no order in which their answers are true")
	}
}

func fateOf(code codes.Code, done bool) check.Outcome {
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

func (w *World) checkCalls(add func(string, ...any)) {
	for _, c := range w.History.Calls {
		served := w.Witness.Served(c.ID)
		switch {
		case !c.Done:
			add("call %s got no outcome", c.ID)
		case !c.Idempotent && served > 1:
			add("non-idempotent call %s ran %d times", c.ID, served)
		case c.Code == codes.OK && served == 0:
			add("call %s was answered but never ran", c.ID)
		case c.SendCount == 1 && c.Code.Info().Ran == codes.RanNo && served > 0:
			add("call %s was told %s, not run, but ran", c.ID, c.Code)
		}
	}
}

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
			add("%s: job %s was told %s, not accepted, but exists", e.Name, s.Job, s.Code)
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
	completed, doubled, lost := w.Witness.Audit(accepted)
	if completed != len(accepted) {
		add("%s: %d tasks are completed, but %d of the attempts finished", e.Name, len(accepted), completed)
	}
	for _, task := range doubled {
		add("%s: the output of task %s counts twice", e.Name, task)
	}
	for _, task := range lost {
		add("%s: the output of task %s was thrown away", e.Name, task)
	}
}

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
				add("%s: revision %d of %s has another body than was accepted", e.Name, p.Revision, p.Team)
			}
		}
	}
}
