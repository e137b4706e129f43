package lead

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/book"
	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/jobs/plan"
)

// vm is what the leader knows of one VM.
type vm struct {
	info msgs.VM
	// conn is the agent's connection.
	conn uint64
	// synced is set while the agent is heard and has said all that runs.
	synced      bool
	lastContact time.Time
	// leaseExpiry is when the VM's lease has ended by every clock.
	leaseExpiry time.Time
	// runs holds the runs that may be present, by task and number.
	runs      map[runKey]*run
	placement plan.VM
	health    health
	// bestEffortUse is the processors that fillers used at the last report.
	bestEffortUse float64
	// reservedStage is the stage for which room is being made, until keptUntil.
	reservedStage plan.StageKey
	reservedUntil time.Time
}

// runKey names a run of a task.
type runKey struct {
	task   string
	number uint32
}

// run is a run that may be present at a VM.
type run struct {
	entry       *book.Entry
	ref         model.TaskRef
	number      uint32
	incarnation int64
	since       time.Time
	step        *model.Step
	stopped     bool
	// speedLimit is the pace that the run was given last.
	speedLimit int
	// ticket is the advisor's consent, if the queue needs one.
	ticket string
	// drainingBacklog is set while a lasting run works off what queued up while it was over its
	// target.
	drainingBacklog bool
	// overTargetSince is since when a lasting run has been over its target.
	overTargetSince time.Time
	// progress is how far the run is.
	progress progress
}

func newVM(info msgs.VM) *vm {
	v := &vm{info: info, runs: map[runKey]*run{}}
	v.updateInfo(info)
	return v
}

// updateInfo takes over what the agent says of the VM.
func (v *vm) updateInfo(info msgs.VM) {
	v.info = info
	v.placement.ID, v.placement.Service, v.placement.Zone = info.ID, info.Service, info.Zone
	v.placement.Labels, v.placement.Capacity = info.Labels, info.Capacity
}

func (v *vm) add(e *book.Entry, ref model.TaskRef, assigned book.Run, now time.Time) *run {
	r := &run{entry: e, ref: ref, number: assigned.Number, incarnation: assigned.Life, since: now, step: &e.Job.Steps[ref.Step], speedLimit: fullSpeed}
	v.runs[runKey{ref.String(), assigned.Number}] = r
	v.placement.Add(stageKey(ref), r.step)
	return r
}

func (v *vm) remove(key runKey) {
	if r := v.runs[key]; r != nil {
		delete(v.runs, key)
		v.placement.Remove(stageKey(r.ref), r.step)
	}
}

func stageKey(ref model.TaskRef) plan.StageKey {
	return plan.StageKey{Job: ref.Job, Occurrence: ref.Occurrence, Step: ref.Step}
}

// usable reports whether new work may go to the VM.
func (v *vm) usable(now time.Time) bool {
	return v.synced && !v.info.Draining && now.Sub(v.lastContact) < contactTimeout
}

// contactTimeout is how long a VM may be silent before it gets no new work.
const contactTimeout = 900 * time.Millisecond
