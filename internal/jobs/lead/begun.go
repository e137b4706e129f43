package lead

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
)

// noteListed marks the runs that a lease request lists and that are proven, and records which of
// those that it lists have certainly started. Agents also list runs of which they only have the
// order to start them.
func (l *Leader) noteListed(now time.Time, req *msgs.LeaseRequest, u *msgs.Unproven) {
	v := l.vms[req.VM.ID]
	if v == nil || !req.RunsListed || req.VM.Incarnation != v.info.Incarnation {
		return
	}
	unproven := map[runKey]bool{}
	if u != nil {
		for _, run := range u.Runs {
			unproven[runKey{run.Task, run.Run}] = true
		}
	}
	for _, status := range req.Runs {
		key := runKey{status.Task, status.Run}
		r := v.runs[key]
		if r != nil && !r.proven && !unproven[key] {
			v.prove(r)
			l.placementDue = l.placementDue || len(l.suspectSince) > 0
		}
		if started := u != nil && !unproven[key] || measured(status); !started || (r != nil && r.started) {
			continue
		}
		l.noteStarted(now, v.info.ID, key, "listed")
		if r != nil {
			r.started = true
		}
	}
}

// measured reports whether a status has a value that only the worker's list of present runs has.
func measured(status msgs.RunStatus) bool {
	return status.Percent > 0 || status.Measurement > 0 || status.Checkpoint != ""
}

// noteStarted records that a run certainly started. The job has begun then, and is not idle.
func (l *Leader) noteStarted(now time.Time, vm string, key runKey, seen string) {
	ref, err := model.ParseTaskRef(key.task)
	if err != nil {
		return
	}
	delete(l.idle, ref.Job)
	if l.table.NoteStarted(ref, key.number) {
		l.log.Info("job has begun", "req", ref.Job, "task", key.task, "run", key.number, "vm", vm, "seen", seen,
			"sinceAccepted", now.Sub(l.table.Get(ref.Job).Job.Accepted), "epoch", l.epoch)
	}
}
