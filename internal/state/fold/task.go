package fold

import (
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/ident"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// TaskPhase is the phase of a task, from Waiting to a final one.
type TaskPhase uint8

// The phases of a task. Completed, Parked and Cancelled are final.
const (
	// Waiting tasks wait for a VM.
	Waiting TaskPhase = iota
	// Granted tasks have an attempt that is granted to a VM.
	Granted
	// Completed tasks succeeded.
	Completed
	// Parked tasks failed as often as their job allows and are not tried again.
	Parked
	// Cancelled tasks belong to a cancelled job or are removed replicas.
	Cancelled
)

var phaseNames = [...]string{"waiting", "granted", "completed", "parked", "cancelled"}

// String returns the name of the phase.
func (p TaskPhase) String() string { return phaseNames[p] }

// Ended reports whether p is final.
func (p TaskPhase) Ended() bool { return p >= Completed }

// Task is one task of a batch job, or one replica of a service.
type Task struct {
	Job   *Job
	Index uint32
	// State is the task's current phase.
	State TaskPhase
	// Epoch is the number of the latest attempt. Each grant raises it by one, and it
	// never falls.
	Epoch uint32
	// VM is the VM that the attempt is granted to; empty unless State is Granted.
	VM        string
	Failures  uint32
	Evictions uint32
	// Checkpoint is the latest saved progress; nil once the task has ended.
	Checkpoint []byte
	// ProgressSavedAt is the fold's clock at the latest grant or checkpoint. Work done
	// since then is lost if the VM fails.
	ProgressSavedAt time.Time
	// FailedOn lists VMs on which an attempt failed, each once.
	FailedOn []string
	// Reason explains the latest failure or refusal.
	Reason string
}

// Attempt returns the identity of the task's current attempt.
func (t *Task) Attempt() ident.Attempt {
	return ident.Attempt{Task: ident.Task{Job: t.Job.ID, Index: t.Index}, Epoch: t.Epoch}
}

// Task returns the task that ref identifies, or nil if there is none or the epoch
// of ref is not the current one.
func (f *Fold) Task(ref *schema.TaskRef) *Task {
	t := f.lookup(ref)
	if t == nil || t.Epoch != ref.GetEpoch() {
		return nil
	}
	return t
}

// lookup returns the task that ref identifies, whatever the epoch, or nil if there
// is none.
func (f *Fold) lookup(ref *schema.TaskRef) *Task {
	job := f.jobs[ref.GetJob()]
	if job == nil || int(ref.GetIndex()) >= len(job.Tasks) {
		return nil
	}
	return job.Tasks[ref.GetIndex()]
}

// GrantedTo returns the tasks whose attempts are granted to a VM, ordered by
// attempt.
func (f *Fold) GrantedTo(vm string) []*Task {
	tasks := make([]*Task, 0, len(f.granted[vm]))
	for t := range f.granted[vm] {
		tasks = append(tasks, t)
	}
	slices.SortFunc(tasks, func(a, b *Task) int { return a.Attempt().Compare(b.Attempt()) })
	return tasks
}

// VMsWithGrants returns the VMs to which attempts of a cell are granted, by name.
func (f *Fold) VMsWithGrants(cell string) []string {
	var vms []string
	for vm, tasks := range f.granted {
		for t := range tasks {
			if t.Job.Cell == cell {
				vms = append(vms, vm)
			}
			break // all tasks of a VM belong to one cell, so the first decides
		}
	}
	slices.Sort(vms)
	return vms
}

// grants gives attempts of waiting tasks to VMs.
func (f *Fold) grants(cell string, g *schema.Grants) {
	for _, vm := range g.GetVms() {
		for _, ref := range vm.GetTasks() {
			f.grant(cell, vm.GetVm(), ref)
		}
	}
}

// grant gives the next attempt of a waiting task to a VM, unless the team's quota
// is used up. Any other grant is ignored.
func (f *Fold) grant(cell, vm string, ref *schema.TaskRef) {
	t := f.lookup(ref)
	if t == nil || t.State != Waiting || t.Job.Cell != cell || ref.GetEpoch() != t.Epoch+1 {
		f.stats.Ignored++
		return
	}
	if !t.Job.Service {
		team := f.teams[t.Job.Team]
		if !team.HasQuotaFor(t.Job.Size) {
			f.stats.Ignored++
			return
		}
		team.used.add(t.Job.Size)
	}
	t.State, t.Epoch, t.VM, t.ProgressSavedAt = Granted, ref.GetEpoch(), vm, f.clock
	if f.granted[vm] == nil {
		f.granted[vm] = map[*Task]struct{}{}
	}
	f.granted[vm][t] = struct{}{}
	f.markChanged(t.Job.Cell, vm)
	f.addWaiting(t.Job, -1)
}

// release removes a task from its VM, or from the waiting tasks of its job. The
// caller then sets the new phase.
func (f *Fold) release(t *Task) {
	if t.State == Waiting {
		f.addWaiting(t.Job, -1)
		return
	}
	delete(f.granted[t.VM], t)
	f.markChanged(t.Job.Cell, t.VM)
	if len(f.granted[t.VM]) == 0 {
		delete(f.granted, t.VM)
	}
	t.VM = ""
	if !t.Job.Service {
		f.teams[t.Job.Team].used.remove(t.Job.Size)
	}
}

// requeue makes a granted task wait for its next attempt.
func (f *Fold) requeue(t *Task) {
	f.release(t)
	t.State = Waiting
	f.addWaiting(t.Job, 1)
}

// end gives a released task a final phase and updates its job and team.
func (f *Fold) end(t *Task, state TaskPhase) {
	t.State, t.Checkpoint = state, nil
	if t.Job.Service {
		return
	}
	if state == Completed {
		t.Job.Done++
	}
	t.Job.unfinished--
	f.teams[t.Job.Team].unfinished--
	if t.Job.unfinished == 0 {
		t.Job.Ended, t.Job.endedClock, t.Job.Input = f.batchTime, f.clock, nil
	}
}

// results applies the results of current attempts and ignores all others.
func (f *Fold) results(rs *schema.Results) {
	for _, r := range rs.GetResults() {
		t := f.Task(r.GetTask())
		if t == nil || t.State != Granted || t.VM != r.GetVm() {
			f.stats.Ignored++
			continue
		}
		f.result(t, r)
	}
}

// result applies the result of a task's current attempt.
func (f *Fold) result(t *Task, r *schema.Result) {
	if len(r.GetCheckpoint()) > 0 {
		t.Checkpoint = r.GetCheckpoint()
	}
	switch r.GetOutcome() {
	case schema.Outcome_OUTCOME_COMPLETED:
		if t.Job.Service {
			f.requeue(t)
			return
		}
		f.release(t)
		f.end(t, Completed)
	case schema.Outcome_OUTCOME_FAILED:
		f.failAttempt(t, r)
	case schema.Outcome_OUTCOME_EVICTED:
		t.Evictions++
		f.requeue(t)
	case schema.Outcome_OUTCOME_REFUSED:
		t.Reason = r.GetReason()
		f.requeue(t)
	case schema.Outcome_OUTCOME_CHECKPOINT:
		t.ProgressSavedAt = f.clock
	default:
		f.stats.Ignored++
	}
}

// failAttempt counts a failure. The task of a batch job is parked after the job's
// maximum of failures; replicas of services are always tried again.
func (f *Fold) failAttempt(t *Task, r *schema.Result) {
	t.Failures++
	t.Reason = r.GetReason()
	if !slices.Contains(t.FailedOn, r.GetVm()) {
		t.FailedOn = append(t.FailedOn, r.GetVm())
	}
	if t.Job.Service || t.Failures < t.Job.maxFailures {
		f.requeue(t)
		return
	}
	f.release(t)
	f.end(t, Parked)
}

// revoke makes all tasks that are granted to a VM wait again.
func (f *Fold) revoke(r *schema.VMRevoke) {
	for _, t := range f.GrantedTo(r.GetVm()) {
		f.requeue(t)
	}
}
