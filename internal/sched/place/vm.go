// Package place chooses VMs for tasks.
//
// A Policy scores one VM for one task; Choose returns the VM with the best score
// among those on which the task fits. Scores depend only on the arguments and the
// fields of the policy, so that policies can be compared on the same input.
package place

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// Resources is a vector of resources: processors in thousandths, memory in
// megabytes, and the number of accelerators. The free resources of an
// overcommitted VM are negative. The state of a leader shows the fields in JSON
// under their Go names.
type Resources struct {
	CPU, Memory, Accelerators int64
}

// ResourcesOf converts a schema.Size.
func ResourcesOf(s *schema.Size) Resources {
	return Resources{int64(s.GetCpuMilli()), int64(s.GetMemoryMb()), int64(s.GetAccelerators())}
}

// Minus returns a minus b.
func (a Resources) Minus(b Resources) Resources {
	return Resources{a.CPU - b.CPU, a.Memory - b.Memory, a.Accelerators - b.Accelerators}
}

// Plus returns the sum of a and b.
func (a Resources) Plus(b Resources) Resources {
	return Resources{a.CPU + b.CPU, a.Memory + b.Memory, a.Accelerators + b.Accelerators}
}

// Covers reports whether b fits in a.
func (a Resources) Covers(b Resources) bool {
	return b.CPU <= a.CPU && b.Memory <= a.Memory && b.Accelerators <= a.Accelerators
}

// VM is a VM as a policy sees it.
type VM struct {
	Name, Zone, Rack string
	Capacity, Free   Resources
	// Services and Kinds hold the Kind of each replica and of each batch task on
	// the VM, one element for each attempt.
	Services, Kinds []string
	// Probation limits the VM to one task at a time because tasks failed on it.
	Probation bool
}

// Assign adds a task to the VM and subtracts its size from the free resources.
func (v *VM) Assign(t *Task) {
	v.Free = v.Free.Minus(t.Size)
	if t.Service {
		v.Services = append(v.Services, t.Kind)
	} else {
		v.Kinds = append(v.Kinds, t.Kind)
	}
}

// Task is a task to place, as a policy sees it.
type Task struct {
	// Kind is "team/kind", or "team/service" for a replica.
	Kind    string
	Size    Resources
	Service bool
	// Avoid holds the names of the VMs on which the task failed.
	Avoid []string
	// SlowdownPerCPU is the result of Pack.SlowdownPerCPU for the kind.
	SlowdownPerCPU float64
	// Waited is how long the task has been waiting.
	Waited time.Duration
}
