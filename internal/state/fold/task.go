package fold

import (
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/ident"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// TaskPhase is where a task stands.
type TaskPhase uint8

// The phases of a task. Completed, Parked and Cancelled are final.
const (
	Waiting TaskPhase = iota
	Granted
	Completed
	Parked
	Cancelled
)

var phaseNames = [...]string{"waiting", "granted", "completed", "parked", "cancelled"}

// String returns the name of the phase.
func (p TaskPhase) String() string { return phaseNames[p] }

// Ended reports whether p is final.
func (p TaskPhase) Ended() bool { return p >= Completed }

// Task is one unit of a job, or one replica of a service.
type Task struct {
	Job   *Job
	Index uint32
	State TaskPhase
	// Epoch numbers the attempts; it grows with each grant and never falls.
	Epoch uint32
	// VM holds the attempt while State is Granted, else it is empty.
	VM         string
	Failures   uint32
	Evictions  uint32
	Checkpoint []byte
	// ProgressSavedAt is the fold's clock at the latest grant or checkpoint: work done since
	// then is lost if the VM fails.
	ProgressSavedAt time.Time
	// FailedOn lists VMs on which an attempt failed, each once.
	FailedOn []string
	Reason   string
}

// Attempt returns the identity of the task's current attempt.
func (t *Task) Attempt() ident.Attempt {
	return ident.Attempt{Task: ident.Task{Job: t.Job.ID, Index: t.Index}, Epoch: t.Epoch}
}

// Task returns the task that ref names if its epoch is current, else nil.
func (f *Fold) Task(ref *schema.TaskRef) *Task {
	t := f.lookup(ref)
	if t == nil || t.Epoch != ref.GetEpoch() {
		return nil
	}
	return t
}

func (f *Fold) lookup(ref *schema.TaskRef) *Task {
	job := f.jobs[ref.GetJob()]
	if job == nil || int(ref.GetIndex()) >= len(job.Tasks) {
		return nil
	}
	return job.Tasks[ref.GetIndex()]
}

// GrantedTo returns the attempts granted to a VM, in order.
func (f *Fold) GrantedTo(vm string) []*Task {
	tasks := make([]*Task, 0, len(f.held[vm]))
	for t := range f.held[vm] {
		tasks = append(tasks, t)
	}
	slices.SortFunc(tasks, func(a, b *Task) int { return a.Attempt().Compare(b.Attempt()) })
	return tasks
}

// VMsWithGrants returns the VMs that hold attempts of a cell, by name.
func (f *Fold) VMsWithGrants(cell string) []string {
	var vms []string
	for vm, tasks := range f.held {
		for t := range tasks {
			if t.Job.Cell == cell {
				vms = append(vms, vm)
			}
			break // the VMs of a cell hold tasks of that cell alone
		}
	}
	slices.Sort(vms)
	return vms
}

func (f *Fold) grants(cell string, g *schema.Grants) {
	for _, vm := range g.GetVms() {
		for _, ref := range vm.GetTasks() {
			f.grant(cell, vm.GetVm(), ref)
		}
	}
}

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
	if f.held[vm] == nil {
		f.held[vm] = map[*Task]struct{}{}
	}
	f.held[vm][t] = struct{}{}
	f.touch(t.Job.Cell, vm)
	f.setWaiting(t.Job, -1)
}

// release takes a task off its VM or out of the queue.
func (f *Fold) release(t *Task) {
	if t.State == Waiting {
		f.setWaiting(t.Job, -1)
		return
	}
	delete(f.held[t.VM], t)
	f.touch(t.Job.Cell, t.VM)
	if len(f.held[t.VM]) == 0 {
		delete(f.held, t.VM)
	}
	t.VM = ""
	if !t.Job.Service {
		f.teams[t.Job.Team].used.remove(t.Job.Size)
	}
}

func (f *Fold) requeue(t *Task) {
	f.release(t)
	t.State = Waiting
	f.setWaiting(t.Job, 1)
}

// end makes a released task final.
func (f *Fold) end(t *Task, state TaskPhase) {
	t.State, t.Checkpoint = state, nil
	if t.Job.Service {
		return
	}
	if state == Completed {
		t.Job.Done++
	}
	t.Job.open--
	f.teams[t.Job.Team].open--
	if t.Job.open == 0 {
		t.Job.Ended, t.Job.endedClock, t.Job.Input = f.at, f.clock, nil
	}
}

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
		f.failed(t, r)
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

func (f *Fold) failed(t *Task, r *schema.Result) {
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

func (f *Fold) revoke(r *schema.VMRevoke) {
	for _, t := range f.GrantedTo(r.GetVm()) {
		f.requeue(t)
	}
}
