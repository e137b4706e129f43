package lead

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/plan"
	"github.com/ebonyarch/ebonyarch/internal/jobs/table"
)

// waitingStages returns the stages with tasks that may start now. It leaves out the unexpected ones,
// of which a VM still runs a task that is to be stopped there, so that no task runs twice.
func (l *Leader) waitingStages(now time.Time, unexpected map[plan.StageKey]bool) []plan.WaitingStage {
	var stages []plan.WaitingStage
	for _, e := range l.table.Active() {
		l.trackIdle(now, e)
		l.work += uint64(len(e.Stages))
		described := occurrenceDescription{leader: l, entry: e}
		for i := range e.Stages {
			st := &e.Stages[i]
			if len(st.Waiting) == 0 || !e.Ready(now, st) {
				continue
			}
			w := described.stage(st)
			if !unexpected[w.Key] && l.backoffs.elapsed(now, w.Key) {
				stages = append(stages, w)
			}
		}
	}
	return stages
}

// maxIdle is how long a job may have no run while its service's VMs are underused. After that, one of
// its best-effort tasks starts even where no processors are free.
const maxIdle = 1500 * time.Millisecond

// trackIdle updates the time since which a job has no run. The start of one ends it, see
// noteStarted.
func (l *Leader) trackIdle(now time.Time, e *table.Entry) {
	if _, idle := l.idle[e.Job.ID]; !idle && e.RunCount == 0 {
		l.idle[e.Job.ID] = now
	}
}

// idleTooLong reports whether a job has had no run for longer than maxIdle.
func (l *Leader) idleTooLong(now time.Time, e *table.Entry) bool {
	since, idle := l.idle[e.Job.ID]
	return idle && e.RunCount == 0 && now.Sub(since) > maxIdle
}

// occurrenceDescription describes the stages of a job, those of an occurrence one after the other. What
// they have in common is computed once.
type occurrenceDescription struct {
	leader *Leader
	entry  *table.Entry
	common *plan.WaitingStage
}

// stage describes a stage for package plan.
func (d *occurrenceDescription) stage(st *table.Stage) plan.WaitingStage {
	if d.common == nil || d.common.Key.Occurrence != st.Occurrence {
		w := d.leader.describeStage(d.entry, st)
		d.common = &w
	}
	w := *d.common
	w.Key.Step, w.LongRunning = st.Step, d.entry.StepOf(st).LongRunning
	return w
}

// describeStage describes a stage for package plan.
func (l *Leader) describeStage(e *table.Entry, st *table.Stage) plan.WaitingStage {
	q := &e.Job.Queue
	l.work += uint64(len(e.Job.Steps))
	total, remaining := l.durations.criticalPath(e, st.Occurrence, l.onTimePlan.inProgress)
	begin := e.Job.Accepted
	if due := e.Job.Due(st.Occurrence); due.After(begin) {
		begin = due
	}
	objective := time.Duration(q.Stretch*float64(total)) + q.TargetLatency
	return plan.WaitingStage{
		Key:         plan.StageKey{Job: e.Job.ID, Occurrence: st.Occurrence, Step: st.Step},
		LongRunning: e.StepOf(st).LongRunning, Priority: q.Priority, RemainingTime: remaining, Accepted: begin,
		Objective: begin.Add(objective), UsefulUntil: begin.Add(lateFactor * objective),
		PlannedLate: l.onTimePlan.plannedLate(e.Job.ID, st.Occurrence),
	}
}
