package lead

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/table"
)

// readopt takes back a run that was given up and is present nevertheless, so that its task does
// not run a second time beside it. A suspect keeps other work away from its VM again until it is
// proven. readopt returns nil if the task waits for no run.
func (l *Leader) readopt(now time.Time, v *vm, key runKey) *run {
	ref, err := model.ParseTaskRef(key.task)
	if err != nil {
		return nil
	}
	assigned := table.Run{Number: key.number, VM: v.info.ID, Incarnation: v.info.Incarnation, Node: v.info.Node}
	if !l.table.Readopt(ref, assigned) {
		return nil
	}
	l.log.Info("takes back a run that was given up", "req", ref.Job, "task", key.task, "run", key.number, "vm", v.info.ID, "life", v.info.Incarnation)
	e := l.table.Get(ref.Job)
	var from checkpoints
	r := v.add(e, ref, assigned, from.latest(e, ref), now)
	r.restored, r.speedUnknown, r.ordered = true, r.step.BestEffort, true
	if e.Suspect(ref, 0) {
		delete(l.suspectSince, ref)
		v.quarantine(r)
	}
	return r
}
