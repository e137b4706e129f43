package lead

import (
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/jobs/plan"
	"github.com/ebonyarch/ebonyarch/internal/jobs/table"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

// vm is the leader's state of one VM.
type vm struct {
	// info is the agent's latest description of the VM.
	info msgs.VM
	// conn is the agent's connection. Later connections have higher numbers.
	conn uint64
	// synced is set while the agent is connected and has listed all present runs.
	synced bool
	// listSeq is the sequence number of the latest Synced lease request.
	listSeq uint64
	// lastContact is the time of the latest lease request.
	lastContact time.Time
	// leaseExpiry is when the VM's lease has ended even by the slowest allowed clock.
	leaseExpiry time.Time
	// runs holds the runs that may be present, by task and number.
	runs map[runKey]*run
	// unexpected holds what the runs take that the agent lists and that this leader does not
	// expect at the VM. They take capacity until they have ended.
	unexpected map[runKey]place.Resources
	// placement is the VM's state for package plan. What the runs take that are unexpected is
	// part of placement.Used.
	placement plan.VM
	// unproven is the number of runs that are not proven, inQuarantine that of those among them
	// which keep other work away.
	unproven, inQuarantine int
	// heldUntil is until when the VM gets no work because a suspect waits for it.
	heldUntil time.Time
	health    health
	// targeted holds the runs with a latency target.
	targeted map[runKey]*run
	// services holds the long-running ones among them, by stage.
	services []*service
	// bestEffortCPU holds the processors that best-effort runs request which are not to be stopped, by
	// image, in thousandths of a processor.
	bestEffortCPU map[string]int64
	// allBestEffortCPU is their sum.
	allBestEffortCPU int64
	// fullLoads holds what these runs add to the utilization of long-running tasks at full speed, by
	// the image of the latter. It is valid during a placement pass, and empty if it must be computed.
	fullLoads map[string]float64
	// bestEffortUse is the number of processors that best-effort runs used according to
	// the latest report.
	bestEffortUse float64
	// reservedStage is the stage for which preemption freed capacity, reservedUntil when
	// that reservation ends.
	reservedStage plan.StageKey
	reservedUntil time.Time
}

// service is a long-running stage with a latency target that has runs on a VM.
type service struct {
	key  plan.StageKey
	step *model.Step
	// runs is the number of its runs on the VM.
	runs int
}

// runKey identifies a run by its task and its number.
type runKey struct {
	task   string
	number uint32
}

// run is a run that may be present at a VM.
type run struct {
	entry  *table.Entry
	ref    model.TaskRef
	number uint32
	// incarnation is the worker incarnation that the run belongs to.
	incarnation int64
	// since is when this leader assigned the run or took it over. restored is set if it took
	// the run over, so that the time of its start is unknown.
	since    time.Time
	restored bool
	step     *model.Step
	// checkpoint is the one that the run resumes from, empty if there is none. It does not change:
	// all members of a gang must resume from the same one, also if an order is repeated.
	checkpoint string
	// checkpointTooLarge is set once the worker has listed a checkpoint that cannot be stored.
	checkpointTooLarge bool
	// ordered is set once this leader has given the order to start the run.
	ordered bool
	// started is set once it is certain that the run has started.
	started bool
	// stopped is set once the order to stop the run was given.
	stopped bool
	// speedLimit is the latest speed limit ordered for the run, in percent. speedUnknown is
	// set while an earlier leader may have ordered another one.
	speedLimit   int
	speedUnknown bool
	// proven is set once the run has certainly not crashed the worker at its start. Until then,
	// a run with inQuarantine set keeps other work away from the VM.
	proven, inQuarantine bool
	// ticket is the advisor's permission to run on the VM, if the queue needs one.
	ticket string
	// drainingBacklog is set while a long-running run works through the queue that built
	// up while it was over its target.
	drainingBacklog bool
	// overTargetSince is when a long-running run exceeded its target, zero if it has not.
	overTargetSince time.Time
	progress        progress
}

func newVM(info msgs.VM) *vm {
	v := &vm{info: info, runs: map[runKey]*run{}, targeted: map[runKey]*run{}, bestEffortCPU: map[string]int64{}}
	v.updateInfo(info)
	return v
}

// updateInfo stores the agent's description of the VM.
func (v *vm) updateInfo(info msgs.VM) {
	v.info = info
	v.placement.ID, v.placement.Service, v.placement.Zone = info.ID, info.Service, info.Zone
	v.placement.Labels, v.placement.Capacity = info.Labels, info.Capacity
}

// extendLease records when the lease that is granted now ends. Until the VM is synced, its worker
// may accept a lease of an earlier leader too, so a later end stays in force.
func (v *vm) extendLease(expiry time.Time) {
	if v.synced || expiry.After(v.leaseExpiry) {
		v.leaseExpiry = expiry
	}
}

// unwanted reports whether the run must end: the order to stop it was given, its task is
// completed, or its job has ended.
func (r *run) unwanted() bool {
	return r.stopped || r.entry.State.Ended() || r.entry.Task(r.ref).Done
}

// add accounts for a run on the VM that resumes from a checkpoint, if that is not empty.
func (v *vm) add(e *table.Entry, ref model.TaskRef, assigned table.Run, checkpoint string, now time.Time) *run {
	r := &run{entry: e, ref: ref, number: assigned.Number, incarnation: assigned.Incarnation, since: now, step: &e.Job.Steps[ref.Step], speedLimit: fullSpeed, checkpoint: checkpoint}
	key := runKey{ref.String(), assigned.Number}
	v.runs[key] = r
	if r.step.LatencyTarget > 0 {
		v.targeted[key] = r
	}
	v.countService(r, 1)
	v.countBestEffort(r, 1)
	v.placement.Add(stageKey(ref), r.step)
	v.unproven++
	return r
}

// remove drops a run and releases its resources.
func (v *vm) remove(key runKey) {
	r := v.runs[key]
	if r == nil {
		return
	}
	delete(v.runs, key)
	delete(v.targeted, key)
	v.fullLoads = nil
	v.countService(r, -1)
	if !r.stopped {
		v.countBestEffort(r, -1)
	}
	v.prove(r)
	v.placement.Remove(stageKey(r.ref), r.step)
}

// stop marks a run as one that the order to stop was given for.
func (v *vm) stop(r *run) {
	if !r.stopped {
		r.stopped = true
		v.countBestEffort(r, -1)
		v.fullLoads = nil
	}
}

// countService adds n runs of the stage of a run to services, if it belongs there.
func (v *vm) countService(r *run, n int) {
	if !r.step.LongRunning || r.step.LatencyTarget <= 0 {
		return
	}
	key := stageKey(r.ref)
	i := slices.IndexFunc(v.services, func(s *service) bool { return s.key == key })
	if i < 0 {
		v.services = append(v.services, &service{key: key, step: r.step})
		i = len(v.services) - 1
	}
	if v.services[i].runs += n; v.services[i].runs == 0 {
		v.services = slices.Delete(v.services, i, i+1)
	}
}

// countBestEffort adds n times what a run requests to bestEffortCPU, if it is a best-effort one.
func (v *vm) countBestEffort(r *run, n int64) {
	if !r.step.BestEffort {
		return
	}
	v.bestEffortCPU[r.step.Image] += n * r.step.Size.CPU
	v.allBestEffortCPU += n * r.step.Size.CPU
	if v.bestEffortCPU[r.step.Image] == 0 {
		delete(v.bestEffortCPU, r.step.Image)
	}
}

// stageKey returns the key of a task's stage.
func stageKey(ref model.TaskRef) plan.StageKey {
	return plan.StageKey{Job: ref.Job, Occurrence: ref.Occurrence, Step: ref.Step}
}

// usable reports whether new work may go to the VM.
func (v *vm) usable(now time.Time) bool {
	return v.synced && !v.info.Draining && now.Sub(v.lastContact) < contactTimeout
}

// contactTimeout is the time since the last contact after which a VM gets no new work.
const contactTimeout = 900 * time.Millisecond
