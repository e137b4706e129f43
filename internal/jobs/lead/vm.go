package lead

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/jobs/plan"
	"github.com/ebonyarch/ebonyarch/internal/jobs/table"
)

// vm is what the leader knows of one VM.
type vm struct {
	info msgs.VM
	// conn is the agent's connection.
	conn uint64
	// synced is set while the agent is heard and has said all that runs.
	synced  bool
	heardAt time.Time
	// until is when the VM's lease has ended by every clock.
	until time.Time
	// runs holds the runs that may be present, by task and number.
	runs   map[runKey]*run
	room   plan.VM
	health health
	// fillerUse is the processors that fillers used at the last report.
	fillerUse float64
	// kept is the stage for which room is being made, until keptUntil.
	kept      plan.StageKey
	keptUntil time.Time
}

// runKey names a run of a task.
type runKey struct {
	task   string
	number uint32
}

// run is a run that may be present at a VM.
type run struct {
	entry   *table.Entry
	ref     model.TaskRef
	number  uint32
	life    int64
	since   time.Time
	step    *model.Step
	stopped bool
	// percent is the pace that the run was given last.
	percent int
	// ticket is the advisor's consent, if the queue needs one.
	ticket string
	// drains is set while a lasting run works off what queued up while it was over its
	// target.
	drains bool
	// overSince is since when a lasting run has been over its target.
	overSince time.Time
	// progress is how far the run is.
	progress progress
}

func newVM(info msgs.VM) *vm {
	v := &vm{info: info, runs: map[runKey]*run{}}
	v.describe(info)
	return v
}

// describe takes over what the agent says of the VM.
func (v *vm) describe(info msgs.VM) {
	v.info = info
	v.room.ID, v.room.Service, v.room.Zone = info.ID, info.Service, info.Zone
	v.room.Labels, v.room.Capacity = info.Labels, info.Capacity
}

func (v *vm) add(e *table.Entry, ref model.TaskRef, r table.Run, now time.Time) *run {
	it := &run{entry: e, ref: ref, number: r.Number, life: r.Incarnation, since: now, step: &e.Job.Steps[ref.Step], percent: fullPace}
	v.runs[runKey{ref.String(), r.Number}] = it
	v.room.Add(stageKey(ref), it.step)
	return it
}

func (v *vm) remove(key runKey) {
	if it := v.runs[key]; it != nil {
		delete(v.runs, key)
		v.room.Remove(stageKey(it.ref), it.step)
	}
}

func stageKey(ref model.TaskRef) plan.StageKey {
	return plan.StageKey{Job: ref.Job, Occurrence: ref.Occurrence, Step: ref.Step}
}

// usable reports whether new work may go to the VM.
func (v *vm) usable(now time.Time) bool {
	return v.synced && !v.info.Draining && now.Sub(v.heardAt) < silentAfter
}

// silentAfter is how long a VM may be silent before it gets no new work.
const silentAfter = 900 * time.Millisecond
