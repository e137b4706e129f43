// Package plan decides in which order waiting tasks are placed, and on which VMs.
//
// Its functions depend only on their arguments. LateJobs and SortStages handle bursts:
// a job that can still meet its objective is placed before one that cannot, whichever
// was accepted first. Choose balances the load: most tasks are placed where most
// processors are free, so that best-effort tasks, which only get what others leave,
// make progress.
package plan

import (
	"slices"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

// StageKey identifies a stage, that is a step of one occurrence of a job.
type StageKey struct {
	Job              model.ID
	Occurrence, Step int
}

// VM is the state of a VM as far as placement depends on it. Processors are counted in
// thousandths.
type VM struct {
	ID, Service, Zone string
	// Labels holds the VM's kind and its rack.
	Labels   []string
	Capacity place.Resources
	// Used is the sum of the resource requests of all runs that may be present. The
	// leader places no task that would make it exceed Capacity.
	Used place.Resources
	// BestEffortCPU is the number of processors that best-effort tasks request.
	BestEffortCPU int64
	// ReclaimableCPU is the number of processors that long-running tasks reserve but are
	// assumed not to use.
	ReclaimableCPU int64
	// LongRunning is the number of long-running tasks.
	LongRunning int
	// Stages holds the number of runs of each stage.
	Stages map[StageKey]int
	// Suspicion is a score that grows with failures of runs and with slowness compared
	// to the expected run times; 0 is that of a healthy VM.
	Suspicion float64
	// Probing is set if the VM gets one task at a time as a test of its health.
	Probing bool
	// Quarantined is set while the VM gets no task because of one that may crash the worker.
	Quarantined bool
	// Runs is the number of runs that may be present, MaxRuns its limit; 0 means unlimited.
	Runs, MaxRuns int
	// Overloaded is set if a long-running task on the VM has been over its latency
	// target. The VM then gets no further best-effort tasks, except urgent ones.
	Overloaded bool
	// InterferenceCost returns the cost of the interference of a best-effort task with
	// the long-running tasks on the VM. If it is nil, there is none.
	InterferenceCost func(step *model.Step) float64
	// WouldOverload reports whether a best-effort task would take a long-running task on
	// the VM over its latency target. If it is nil, none would.
	WouldOverload func(step *model.Step) bool
}

// Add accounts for a run of a step.
func (v *VM) Add(key StageKey, s *model.Step) { v.account(key, s, 1) }

// Remove reverts an Add with the same arguments.
func (v *VM) Remove(key StageKey, s *model.Step) { v.account(key, s, -1) }

// reclaimableDivisor is the divisor by which the processors of a long-running task give
// the number of them that other tasks may use. Long-running tasks are sized for their
// peak load.
const reclaimableDivisor = 2

// account adds n runs of a step; a negative n removes them.
func (v *VM) account(key StageKey, s *model.Step, n int) {
	if v.Stages == nil {
		v.Stages = map[StageKey]int{}
	}
	if n > 0 {
		v.Used = v.Used.Plus(s.ResourceRequest())
	} else {
		v.Used = v.Used.Minus(s.ResourceRequest())
	}
	v.Runs += n
	v.Stages[key] += n
	if v.Stages[key] <= 0 {
		delete(v.Stages, key)
	}
	if s.BestEffort {
		v.BestEffortCPU += int64(n) * s.Size.CPU
	}
	if s.LongRunning {
		v.LongRunning += n
		v.ReclaimableCPU += int64(n) * s.Size.CPU / reclaimableDivisor
	}
}

// Free returns the resources that are not reserved.
func (v *VM) Free() place.Resources { return v.Capacity.Minus(v.Used) }

// spareCPU returns the processors that no task requests. It is negative if best-effort
// tasks request more than the others leave.
func (v *VM) spareCPU() int64 { return v.Capacity.CPU - v.Used.CPU - v.BestEffortCPU }

// Task is a task to place.
type Task struct {
	Key     StageKey
	Step    *model.Step
	Service string
	// Avoid holds the ids of VMs on which the task has failed, or which lacked capacity for it.
	// They are the last resort.
	Avoid []string
	// NeedsTicket is set if the task may run only on VMs for which Tickets, by VM id,
	// holds a ticket of the advisor.
	NeedsTicket bool
	Tickets     map[string]string
	// Urgent is set if a best-effort task may take processors that other best-effort tasks
	// request, and start even on an overloaded VM. Other tasks always may take them.
	Urgent bool
}

// eligible reports whether the VM may run the task, regardless of its free capacity.
func (v *VM) eligible(t *Task) bool {
	if v.Service != t.Service {
		return false
	}
	if _, ok := t.Tickets[v.ID]; t.NeedsTicket && !ok {
		return false
	}
	if t.Step.Requires != "" && !slices.Contains(v.Labels, t.Step.Requires) {
		return false
	}
	return t.Step.MaxPerVM <= 0 || v.Stages[t.Key] < t.Step.MaxPerVM
}

// fits reports whether the VM has enough free capacity for the task and accepts new
// tasks of its kind.
func (v *VM) fits(t *Task) bool {
	if v.Quarantined || (v.Probing && v.Runs > 0) || (v.Overloaded && t.Step.BestEffort && !t.Urgent) {
		return false
	}
	if !v.Free().Covers(t.Step.ResourceRequest()) || v.MaxRuns > 0 && v.Runs >= v.MaxRuns {
		return false
	}
	if !t.Step.BestEffort || t.Urgent {
		return true
	}
	if v.WouldOverload != nil && v.WouldOverload(t.Step) {
		return false
	}
	return v.spareCPU()+v.ReclaimableCPU >= t.Step.Size.CPU
}
