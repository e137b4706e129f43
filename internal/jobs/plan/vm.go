// Package plan decides in which order waiting work is placed, and where.
//
// All of it is plain functions of what the leader knows. Order answers floods: a
// job that can still meet its objective goes before one that cannot, whatever
// came first. Choose answers VMs that fill up unevenly: work goes where most is
// left, so that tasks which only get what others leave keep moving.
package plan

import (
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

// StageKey names a step of one occurrence of a job.
type StageKey struct {
	Job              model.ID
	Occurrence, Step int
}

// VM is what placement knows of a VM.
type VM struct {
	ID, Service, Zone string
	// Labels hold the VM's kind and its rack.
	Labels   []string
	Capacity place.Resources
	// Used is the room of all runs that may be present. It never exceeds Capacity
	// by the leader's own choice.
	Used place.Resources
	// BestEffortCPU is the processors that filler tasks ask for, in thousandths.
	BestEffortCPU int64
	// ReclaimableCPU is the processors that lasting tasks hold and do not use.
	ReclaimableCPU int64
	// Lasting is the number of lasting tasks.
	Lasting int
	// Stages counts the runs of each stage.
	Stages map[StageKey]int
	// Suspicion grows with failures and slowness against the other VMs; 0 is none.
	Suspicion float64
	// Probing is set if the VM gets one task at a time to find out whether it works.
	Probing bool
	// Runs is the number of runs that may be present.
	Runs int
	// Overloaded VMs get no further fillers.
	Overloaded bool
	// InterferenceCost returns what a filler costs the lasting tasks on the VM; nil is nothing.
	InterferenceCost func(filler *model.Step) float64
	// WouldOverload reports whether a filler would take a lasting task on the VM over its
	// target; nil is no.
	WouldOverload func(filler *model.Step) bool
}

// Add accounts for a run of a step, Remove takes it back.
func (v *VM) Add(key StageKey, s *model.Step) { v.change(key, s, 1) }

// Remove takes back what Add accounted for.
func (v *VM) Remove(key StageKey, s *model.Step) { v.change(key, s, -1) }

// unusedShare is the part of a lasting task's processors that others may count on,
// as a divisor: lasting tasks are sized for their peak.
const unusedShare = 2

func (v *VM) change(key StageKey, s *model.Step, n int) {
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
	if s.Filler {
		v.BestEffortCPU += int64(n) * s.Size.CPU
	}
	if s.Lasting {
		v.Lasting += n
		v.ReclaimableCPU += int64(n) * s.Size.CPU / unusedShare
	}
}

// Free returns the room that is left.
func (v *VM) Free() place.Resources { return v.Capacity.Minus(v.Used) }

// spare returns the processors that nothing asks for; it may be negative.
func (v *VM) spare() int64 { return v.Capacity.CPU - v.Used.CPU - v.BestEffortCPU }

// Task is a task to place.
type Task struct {
	Key     StageKey
	Step    *model.Step
	Service string
	// Avoid holds VMs on which the task failed; they are the last resort.
	Avoid []string
	// Wait is how long the task has been ready.
	Wait time.Duration
	// NeedsTicket tasks run only on VMs for which Tickets holds a ticket.
	NeedsTicket bool
	Tickets     map[string]string
	// Urgent tasks take room that fillers count on.
	Urgent bool
}

// allows reports whether the VM may run the task at all, room aside.
func (v *VM) allows(t *Task) bool {
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

// fits reports whether the task has room on the VM now.
func (v *VM) fits(t *Task) bool {
	if (v.Probing && v.Runs > 0) || (v.Overloaded && t.Step.Filler && !t.Urgent) {
		return false
	}
	if !v.Free().Covers(t.Step.ResourceRequest()) {
		return false
	}
	if t.Urgent {
		return true
	}
	if t.Step.Filler && v.WouldOverload != nil && v.WouldOverload(t.Step) {
		return false
	}
	return v.spare()+v.ReclaimableCPU >= t.Step.Size.CPU
}
