package lead

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/jobs/table"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

// handleReport processes an agent's report of run ends.
func (l *Leader) handleReport(now time.Time, conn uint64, r *msgs.Report) {
	v := l.vms[r.VM]
	if v == nil || v.info.Incarnation != r.Incarnation {
		l.log.Info("ignored run ends of another incarnation", "vm", r.VM, "life", r.Incarnation, "ends", len(r.Ends))
		return
	}
	if l.replaced(v, conn) {
		l.log.Info("ignored run ends on an earlier connection", "vm", r.VM, "life", r.Incarnation, "ends", len(r.Ends))
		return
	}
	var last int64
	l.work += uint64(len(r.Ends))
	for _, e := range r.Ends {
		l.noteRefusal(now, v, e)
		l.endRun(now, v, runKey{e.Task, e.Run}, e.Outcome, e.Checkpoint, e.Reason)
		last = max(last, e.Number)
	}
	if last > 0 {
		l.sendWhenStored(conn, &msgs.Message{EndsStored: &msgs.EndsStored{VM: r.VM, Incarnation: r.Incarnation, Number: last}})
	}
}

// refusalReasons holds the reasons with which workers refuse to start a run. The outcome of
// such a run is msgs.Lost.
var refusalReasons = map[string]bool{
	port.ErrWorkerUnhealthy.Error(): true, port.ErrRunCapacity.Error(): true,
	port.ErrRunTicket.Error(): true, port.ErrRunInvalid.Error(): true,
}

// noteRefusal starts or extends the backoff of a step if a worker refused its run, and ends
// the backoff otherwise. A refusal also invalidates the step's ticket, all of them if that was the
// reason. If the worker refused because it is unhealthy, that counts as a failure in the health of its VM.
func (l *Leader) noteRefusal(now time.Time, v *vm, e msgs.RunEnd) {
	r := v.runs[runKey{e.Task, e.Run}]
	switch {
	case r == nil:
	case e.Outcome == msgs.Lost && refusalReasons[e.Reason]:
		l.stats.LostRefused++
		l.backoffs.noteRefused(now, stageKey(r.ref))
		if e.Reason == port.ErrRunCapacity.Error() {
			l.backoffs.noteFull(stageKey(r.ref), v.info.ID)
		}
		if a := l.advice[stageKey(r.ref)]; a != nil {
			a.refused(v.info.ID, v.info.Incarnation, e.Reason == port.ErrRunTicket.Error())
		}
		if e.Reason == port.ErrWorkerUnhealthy.Error() {
			v.health.runEnded(now, r, msgs.Failed, 0)
		}
	default:
		l.backoffs.reset(stageKey(r.ref))
	}
}

// endRun processes the end of one run.
func (l *Leader) endRun(now time.Time, v *vm, key runKey, outcome msgs.Outcome, checkpoint, reason string) {
	r := v.runs[key]
	v.remove(key)
	l.dropUnexpected(v, key)
	ref, err := model.ParseTaskRef(key.task)
	if err != nil {
		l.log.Warn("ignored a run end with an invalid task reference", "vm", v.info.ID, "task", key.task, "err", err)
		return
	}
	if outcome != msgs.Lost {
		l.noteStarted(now, v.info.ID, key, "ended")
	}
	before := l.endedBefore(ref, key.number, outcome)
	if _, known := l.table.EndRun(now, ref, key.number, outcome, checkpoint); !known {
		l.log.Info("ignored the end of a run that is not in the job table", "req", ref.Job, "task", key.task, "run", key.number, "vm", v.info.ID, "outcome", outcome, "epoch", l.epoch)
		return
	}
	l.placementDue = true
	l.countEnd(outcome)
	e := l.table.Get(ref.Job)
	took := time.Duration(0)
	if r != nil {
		took = now.Sub(r.since)
	} else if reason == "" {
		reason = "the run was no longer expected"
	}
	l.log.Info("run ended", "req", ref.Job, "task", key.task, "run", key.number, "vm", v.info.ID, "outcome", outcome,
		"took", took, "reason", reason, "state", e.State, "epoch", l.epoch)
	l.releaseGang(before.members)
	if r != nil {
		expected := l.durations.expect(r.entry, r.ref.Step)
		if r.restored {
			expected = 0
		}
		v.health.runEnded(now, r, outcome, expected)
		switch outcome {
		case msgs.Done:
			if !r.restored {
				l.durations.noteDone(r.entry, r.ref.Step, now.Sub(r.since))
			}
		case msgs.Failed:
			l.durations.noteFailed(r.ref, v.info.ID)
		}
	}
	l.stopNoLongerNeeded(now, e, ref, before)
}

// countEnd counts a run end by its outcome.
func (l *Leader) countEnd(o msgs.Outcome) {
	switch o {
	case msgs.Done:
		l.stats.Done++
	case msgs.Failed:
		l.stats.Failed++
	case msgs.Lost:
		l.stats.Lost++
	default:
		l.stats.OtherEnds++
	}
}

// ended says what had ended before the end of a run was processed.
type ended struct {
	// job and task are set if they had.
	job, task bool
	// members holds the runs of the gang that end with the run.
	members []table.PlacedRun
}

// endedBefore returns what has ended before the end of a run of a task is processed.
func (l *Leader) endedBefore(ref model.TaskRef, number uint32, outcome msgs.Outcome) ended {
	e := l.table.Get(ref.Job)
	if e == nil || e.Task(ref) == nil {
		return ended{}
	}
	before := ended{job: e.State.Ended(), task: e.Task(ref).Done}
	if st := e.Stage(ref); outcome == msgs.Done && e.StepOf(st).Gang && !before.task {
		before.members = e.RunsOf(st, number)
	}
	return before
}

// stopNoLongerNeeded orders the stop of the runs that are no longer needed since a run of a task has
// ended. before tells what had ended before that.
func (l *Leader) stopNoLongerNeeded(now time.Time, e *table.Entry, ref model.TaskRef, before ended) {
	st := e.Stage(ref)
	switch {
	case before.job:
	case e.State.Ended():
		l.stopSurplus(now, e)
	case before.task || !e.Task(ref).Done:
	case e.StepOf(st).Gang:
		l.stopSurplusOf(now, e, st.First, st.First+e.StepOf(st).Tasks)
	default:
		l.stopSurplusOf(now, e, st.First+ref.Index, st.First+ref.Index+1)
	}
}

// releaseGang releases the resources of all members of a gang's run that is done, since the end
// that one of them reports is enough. That one may have been given up before.
func (l *Leader) releaseGang(members []table.PlacedRun) {
	l.work += uint64(len(members))
	for _, p := range members {
		if v := l.vms[p.Run.VM]; v != nil {
			v.remove(runKey{p.Ref.String(), p.Run.Number})
		}
	}
}
