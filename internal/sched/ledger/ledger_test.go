package ledger_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/ebonyarch/ebonyarch/internal/base/ident"
	"github.com/ebonyarch/ebonyarch/internal/sched/ledger"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

var _ = Describe("the ledger", func() {
	It("never exceeds the capacity, in any order of reservations and releases", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			capacity := &schema.Size{CpuMilli: 4000, MemoryMb: 4000, Accelerators: 2}
			l := ledger.New(capacity)
			reserved := map[ident.Attempt]*schema.Size{}
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				a := ident.Attempt{Task: ident.Task{Job: "j", Index: rapid.Uint32Range(0, 9).Draw(t, "task")}}
				size := &schema.Size{
					CpuMilli: rapid.Uint32Range(0, 3000).Draw(t, "cpu"), MemoryMb: rapid.Uint32Range(0, 3000).Draw(t, "mem"),
					Accelerators: rapid.Uint32Range(0, 2).Draw(t, "acc"),
				}
				if rapid.Bool().Draw(t, "take") {
					if l.Reserve(a, size) && reserved[a] == nil {
						reserved[a] = size
					}
				} else {
					l.Release(a)
					delete(reserved, a)
				}
				sum := &schema.Size{}
				for _, s := range reserved {
					sum.CpuMilli += s.CpuMilli
					sum.MemoryMb += s.MemoryMb
					sum.Accelerators += s.Accelerators
				}
				u := l.Used()
				if u.CpuMilli != sum.CpuMilli || u.MemoryMb != sum.MemoryMb || u.Accelerators != sum.Accelerators {
					t.Fatalf("used %v, sum of the reservations %v", u, sum)
				}
				if l.Overcommitted() {
					t.Fatalf("overcommitted: %v", u)
				}
			}
		})
	})

	It("reserves nothing more while adopted attempts exceed the capacity", func() {
		l := ledger.New(&schema.Size{CpuMilli: 1000})
		l.Adopt(ident.Attempt{Epoch: 1}, &schema.Size{CpuMilli: 1500})
		Expect(l.Overcommitted()).To(BeTrue())
		Expect(l.Reserve(ident.Attempt{Epoch: 2}, &schema.Size{CpuMilli: 1})).To(BeFalse())
		l.Release(ident.Attempt{Epoch: 1})
		Expect(l.Reserve(ident.Attempt{Epoch: 2}, &schema.Size{CpuMilli: 1000})).To(BeTrue())
	})
})
