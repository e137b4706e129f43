package lead

import (
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/jobs/table"
)

// handleCrashes counts the crashes that an agent witnessed. It must be called before the end of
// the incarnation is processed, so that the count is in the same batch as the end of the runs.
func (l *Leader) handleCrashes(now time.Time, conn uint64, crashes []msgs.Crash) {
	var last uint64
	for i := range crashes {
		l.countCrash(now, &crashes[i])
		last = max(last, crashes[i].Number)
	}
	l.sendWhenStored(conn, &msgs.Message{CrashesStored: &msgs.CrashesStored{Number: last}})
}

// countCrash counts one crash at the tasks that may be its cause.
func (l *Leader) countCrash(now time.Time, c *msgs.Crash) {
	runs := slices.Concat(c.Runs, c.Unanswered)
	cause, alone := l.attribute(runs)
	for _, run := range c.Runs {
		l.noteStarted(now, c.VM, runKey{run.Task, run.Run}, "crashed")
	}
	var counted []model.TaskRef
	for i, run := range runs {
		ref, err := model.ParseTaskRef(run.Task)
		if err != nil {
			l.log.Warn("ignored a crash with an invalid task reference", "vm", c.VM, "task", run.Task, "err", err)
			continue
		}
		attributed := l.causeOf(run) == cause
		excused := cause != "" && !attributed
		if !l.table.AddCrash(now, ref, table.Crash{Run: run.Run, Attributed: attributed && alone, Excused: excused, Doubtful: i >= len(c.Runs)}) {
			continue
		}
		counted = append(counted, ref)
		l.placementDue = true
		l.stats.Crashes++
		e := l.table.Get(ref.Job)
		l.log.Info("worker crashed under a task", "req", ref.Job, "task", run.Task, "run", run.Run, "vm", c.VM, "life", c.Incarnation,
			"suspects", len(runs), "unanswered", i >= len(c.Runs), "attributed", attributed, "alone", alone, "excused", excused, "crashes", len(e.Crashes(ref)),
			"state", e.State, "reason", e.Reason, "epoch", l.epoch)
		if e.State.Ended() {
			l.stats.GivenUp++
			l.stopSurplus(now, e)
		}
	}
	l.noteCrash(now, c.VM, counted)
}

// attribute returns the cause of a crash: the only possible one, in which case alone is set, or
// else the only one that is a suspect because of another crash. The latter happens by chance if
// workers crash for other reasons, so it excuses the others but is no proof. attribute returns an
// empty name if there is no such cause.
func (l *Leader) attribute(runs []msgs.RunRef) (cause string, alone bool) {
	causes, suspects := map[string]bool{}, map[string]bool{}
	for _, run := range runs {
		cause := l.causeOf(run)
		causes[cause] = true
		ref, err := model.ParseTaskRef(run.Task)
		if e := l.table.Get(ref.Job); err == nil && e != nil && e.Suspect(ref, run.Run) {
			suspects[cause] = true
		}
	}
	alone = len(causes) == 1
	if !alone {
		causes = suspects
	}
	if len(causes) > 1 {
		return "", false
	}
	for cause := range causes {
		return cause, alone
	}
	return "", false
}

// causeOf returns the name of a run's task, or that of the first task of its gang.
func (l *Leader) causeOf(run msgs.RunRef) string {
	if ref, err := model.ParseTaskRef(run.Task); err == nil {
		if e := l.table.Get(ref.Job); e != nil && e.Stage(ref) != nil && e.StepOf(e.Stage(ref)).Gang {
			ref.Index = 0
			return ref.String()
		}
	}
	return run.Task
}

// prove marks a run as proven.
func (v *vm) prove(r *run) {
	if r.proven {
		return
	}
	r.proven = true
	v.unproven--
	if r.inQuarantine {
		v.inQuarantine--
	}
}
