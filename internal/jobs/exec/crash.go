package exec

import (
	"cmp"
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

const (
	// provenAfter is how long the worker must have run a task for it to be ruled out that
	// the task crashes the worker at its start.
	provenAfter = 500 * time.Millisecond
	// maxCrashes bounds the crashes that wait for the leader to store them.
	maxCrashes = 64
)

// noteCrash records that the worker's incarnation has ended unexpectedly, with the runs that
// may have caused it. A worker that drains ends as planned. Runs that were ordered when no
// process listened any more never started, and one whose start timed out has hardly done so:
// a crash ends the call's connection.
func (a *Agent) noteCrash(now time.Time) {
	if a.vm.Draining || !a.present {
		return
	}
	crashedAt := now
	if !a.silentSince.IsZero() {
		crashedAt = a.silentSince
	}
	var suspects, unanswered []msgs.RunRef
	for k, r := range a.runs {
		switch {
		case r.proven, !r.presentSince.IsZero() && crashedAt.Sub(r.presentSince) >= provenAfter:
			continue
		case !r.present && !r.brokenOff:
			continue
		case !a.noWorkerSince.IsZero() && r.orderedAt.After(a.noWorkerSince):
			continue
		}
		if ref := (msgs.RunRef{Task: k.task, Run: k.number}); r.present {
			suspects = append(suspects, ref)
		} else {
			unanswered = append(unanswered, ref)
		}
	}
	a.log.Info("the worker crashed", "vm", a.vm.ID, "life", a.vm.Incarnation, "runs", len(a.runs), "unproven", len(suspects), "unanswered", len(unanswered),
		"since", now.Sub(crashedAt))
	if len(suspects)+len(unanswered) == 0 {
		return
	}
	sortRefs(suspects)
	sortRefs(unanswered)
	a.lastCrash++
	a.crashes = append(a.crashes, msgs.Crash{Number: a.lastCrash, VM: a.vm.ID, Incarnation: a.vm.Incarnation, Runs: suspects, Unanswered: unanswered})
	if n := len(a.crashes) - maxCrashes; n > 0 {
		a.log.Warn("dropped crashes that no leader has stored", "vm", a.vm.ID, "crashes", n)
		a.crashes = a.crashes[n:]
	}
}

// noteStartedNext records that the known process of the worker may not have started the runs that
// the next one lists and that no poll of the known one has listed: the next process has responded
// to their starts.
func (a *Agent) noteStartedNext(next port.PollResult) {
	note := func(k runKey) {
		if r := a.runs[k]; r != nil && !r.seen {
			r.present, r.presentSince = false, time.Time{}
		}
	}
	for _, status := range next.Running {
		note(runKey{status.Task, status.Run})
	}
	for _, e := range next.Ended {
		note(runKey{e.Task, e.Run})
	}
}

// CrashesStored processes the leader's message that it has stored crashes.
func (a *Agent) CrashesStored(m *msgs.CrashesStored) {
	a.crashes = slices.DeleteFunc(a.crashes, func(c msgs.Crash) bool { return c.Number <= m.Number })
}

// proveRuns marks the runs that the worker has just listed provenAfter after their start.
func (a *Agent) proveRuns(now time.Time) {
	for _, r := range a.runs {
		if !r.listed || r.proven {
			continue
		}
		if r.presentSince.IsZero() {
			r.presentSince = now
		}
		r.proven = now.Sub(r.presentSince) >= provenAfter
	}
}

// unproven returns the runs that are not proven.
func (a *Agent) unproven() *msgs.Unproven {
	u := &msgs.Unproven{}
	for k, r := range a.runs {
		if !r.proven {
			u.Runs = append(u.Runs, msgs.RunRef{Task: k.task, Run: k.number})
		}
	}
	sortRefs(u.Runs)
	return u
}

// sortRefs sorts runs by task and number.
func sortRefs(refs []msgs.RunRef) {
	slices.SortFunc(refs, func(x, y msgs.RunRef) int {
		if c := cmp.Compare(x.Task, y.Task); c != 0 {
			return c
		}
		return cmp.Compare(x.Run, y.Run)
	})
}
