// Package ledger accounts for the resources that the attempts on one VM hold, so
// that no attempt starts beyond the VM's capacity.
package ledger

import (
	"github.com/ebonyarch/ebonyarch/internal/base/ident"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// Ledger holds the reservations of one VM's processors, memory and accelerators.
// Its zero value has no capacity. It is not safe for concurrent use.
type Ledger struct {
	capacity resources
	// used is the sum of reserved. It exceeds capacity only if Adopt added an
	// attempt that did not fit.
	used     resources
	reserved map[ident.Attempt]resources
}

// resources is a vector of resources: processors in thousandths, memory in
// megabytes, and the number of accelerators.
type resources struct {
	cpu, memory, accelerators uint64
}

func resourcesOf(s *schema.Size) resources {
	return resources{uint64(s.GetCpuMilli()), uint64(s.GetMemoryMb()), uint64(s.GetAccelerators())}
}

func (a resources) plus(b resources) resources {
	return resources{a.cpu + b.cpu, a.memory + b.memory, a.accelerators + b.accelerators}
}

func (a resources) minus(b resources) resources {
	return resources{a.cpu - b.cpu, a.memory - b.memory, a.accelerators - b.accelerators}
}

func (a resources) within(b resources) bool {
	return a.cpu <= b.cpu && a.memory <= b.memory && a.accelerators <= b.accelerators
}

// New returns a ledger for a VM of the given capacity.
func New(capacity *schema.Size) *Ledger {
	return &Ledger{capacity: resourcesOf(capacity)}
}

// Reserve reserves the resources of an attempt and returns true, or returns false
// if they are not free. Reserving for the same attempt again changes nothing.
func (l *Ledger) Reserve(a ident.Attempt, size *schema.Size) bool {
	if _, ok := l.reserved[a]; ok {
		return true
	}
	want := resourcesOf(size)
	if !l.used.plus(want).within(l.capacity) {
		return false
	}
	l.Adopt(a, size)
	return true
}

// Adopt reserves the resources of an attempt that already runs, whether or not
// they are free.
func (l *Ledger) Adopt(a ident.Attempt, size *schema.Size) {
	if l.reserved == nil {
		l.reserved = map[ident.Attempt]resources{}
	}
	if _, ok := l.reserved[a]; ok {
		return
	}
	l.reserved[a] = resourcesOf(size)
	l.used = l.used.plus(resourcesOf(size))
}

// Release releases the resources of an attempt that has certainly stopped.
func (l *Ledger) Release(a ident.Attempt) {
	if size, ok := l.reserved[a]; ok {
		l.used = l.used.minus(size)
		delete(l.reserved, a)
	}
}

// Fits reports whether size is within the capacity of the VM, without regard to
// reservations.
func (l *Ledger) Fits(size *schema.Size) bool { return resourcesOf(size).within(l.capacity) }

// Used returns the sum of the reservations.
func (l *Ledger) Used() *schema.Size {
	return &schema.Size{
		CpuMilli: uint32(l.used.cpu), MemoryMb: uint32(l.used.memory), Accelerators: uint32(l.used.accelerators),
	}
}

// Overcommitted reports whether the reservations exceed the capacity, because of
// adopted attempts.
func (l *Ledger) Overcommitted() bool { return !l.used.within(l.capacity) }
