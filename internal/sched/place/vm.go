// Package place chooses VMs for tasks.
//
// A Policy scores one VM for one task; Choose takes the best that fits. Policies
// are plain functions of what is known, so that they can be compared on equal
// input.
package place

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// Resources is a vector of resources; it may be negative while a VM is overfull.
type Resources struct {
	CPU, Memory, Accelerators int64
}

// ResourcesOf converts a size.
func ResourcesOf(s *schema.Size) Resources {
	return Resources{int64(s.GetCpuMilli()), int64(s.GetMemoryMb()), int64(s.GetAccelerators())}
}

// Minus returns a less b.
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

// VM is what a policy knows of a VM.
type VM struct {
	Name, Zone, Rack string
	Capacity, Free   Resources
	// Services and Kinds name what runs on the VM, once for each attempt.
	Services, Kinds []string
	// Probation VMs get one task at a time.
	Probation bool
}

// Assign accounts for an attempt that is to run on the VM.
func (v *VM) Assign(t *Task) {
	v.Free = v.Free.Minus(t.Size)
	if t.Service {
		v.Services = append(v.Services, t.Kind)
	} else {
		v.Kinds = append(v.Kinds, t.Kind)
	}
}

// Task is what a policy knows of a task to place.
type Task struct {
	// Kind is "team/kind", or "team/service" for a replica.
	Kind    string
	Size    Resources
	Service bool
	// Avoid lists VMs on which the task failed.
	Avoid []string
	// SlowdownPerCPU is the kind's, see Pack.
	SlowdownPerCPU float64
	// Waited is how long the task has been waiting.
	Waited time.Duration
}
