// Package ledger keeps what the attempts on one VM hold, so that the VM is
// never given more than it has.
package ledger

import (
	"github.com/ebonyarch/ebonyarch/internal/base/ident"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// Ledger is the account of one VM's processors, memory and accelerators. Its
// zero value has no capacity. It is not safe for concurrent use.
type Ledger struct {
	capacity amount
	// used is the sum of held and never exceeds capacity, unless Adopt found
	// the VM overfull.
	used amount
	held map[ident.Attempt]amount
}

type amount struct {
	cpu, memory, accelerators uint64
}

func amountOf(s *schema.Size) amount {
	return amount{uint64(s.GetCpuMilli()), uint64(s.GetMemoryMb()), uint64(s.GetAccelerators())}
}

func (a amount) plus(b amount) amount {
	return amount{a.cpu + b.cpu, a.memory + b.memory, a.accelerators + b.accelerators}
}

func (a amount) minus(b amount) amount {
	return amount{a.cpu - b.cpu, a.memory - b.memory, a.accelerators - b.accelerators}
}

func (a amount) within(b amount) bool {
	return a.cpu <= b.cpu && a.memory <= b.memory && a.accelerators <= b.accelerators
}

// New returns a ledger for a VM of the given capacity.
func New(capacity *schema.Size) *Ledger {
	return &Ledger{capacity: amountOf(capacity)}
}

// Reserve enters an attempt if it fits. Taking an attempt twice changes nothing.
func (l *Ledger) Reserve(a ident.Attempt, size *schema.Size) bool {
	if _, ok := l.held[a]; ok {
		return true
	}
	want := amountOf(size)
	if !l.used.plus(want).within(l.capacity) {
		return false
	}
	l.Adopt(a, size)
	return true
}

// Adopt enters an attempt that runs already, whether or not it fits.
func (l *Ledger) Adopt(a ident.Attempt, size *schema.Size) {
	if l.held == nil {
		l.held = map[ident.Attempt]amount{}
	}
	if _, ok := l.held[a]; ok {
		return
	}
	l.held[a] = amountOf(size)
	l.used = l.used.plus(amountOf(size))
}

// Release removes an attempt that certainly stopped.
func (l *Ledger) Release(a ident.Attempt) {
	if size, ok := l.held[a]; ok {
		l.used = l.used.minus(size)
		delete(l.held, a)
	}
}

// Fits reports whether a VM without any attempt would have room for size.
func (l *Ledger) Fits(size *schema.Size) bool { return amountOf(size).within(l.capacity) }

// Used returns what all attempts hold.
func (l *Ledger) Used() *schema.Size {
	return &schema.Size{
		CpuMilli: uint32(l.used.cpu), MemoryMb: uint32(l.used.memory), Accelerators: uint32(l.used.accelerators),
	}
}

// Overcommitted reports whether adopted attempts exceed the capacity.
func (l *Ledger) Overcommitted() bool { return !l.used.within(l.capacity) }
