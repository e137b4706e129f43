package place_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/base/ident"
	"github.com/ebonyarch/ebonyarch/internal/sched/learn"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

func vm(name string, cpu, memory int64) *place.VM {
	free := place.Resources{CPU: cpu, Memory: memory}
	return &place.VM{Name: name, Capacity: place.Resources{CPU: 16000, Memory: 60000}, Free: free}
}

func victim(n uint32, cpu int64, unsaved time.Duration) place.Victim {
	return place.Victim{
		Attempt: ident.Attempt{Task: ident.Task{Index: n}}, Size: place.Resources{CPU: cpu}, UnsavedWork: unsaved,
	}
}

var _ = Describe("placement", func() {
	small := &place.Task{Kind: "t/k", Size: place.Resources{CPU: 1000, Memory: 1000}}

	It("places a task only where all its resources fit", func() {
		vms := []*place.VM{vm("a", 500, 9000), vm("b", 9000, 500)}
		Expect(place.Choose(place.Pack{}, small, vms)).To(BeNil())
	})

	It("avoids VMs on which the task failed while it fits on others", func() {
		task := *small
		task.Avoid = []string{"a"}
		a, b := vm("a", 1000, 1000), vm("b", 16000, 60000)
		Expect(place.Choose(place.Pack{}, &task, []*place.VM{a, b})).To(BeIdenticalTo(b))
		Expect(place.Choose(place.Pack{}, &task, []*place.VM{a})).To(BeIdenticalTo(a))
	})

	It("gives a VM on probation one task at a time", func() {
		a := vm("a", 16000, 60000)
		a.Probation = true
		Expect(place.Choose(place.Pack{}, small, []*place.VM{a})).To(BeIdenticalTo(a))
		a.Assign(small)
		Expect(place.Choose(place.Pack{}, small, []*place.VM{a})).To(BeNil())
	})

	It("places no batch task where a service would slow down too much, until the task has waited long", func() {
		var m learn.Model
		for range 200 {
			m.Update(time.Unix(1e9, 0), "t/s", []learn.Load{{Kind: "t/loud", Share: 1}}, 0.5)
		}
		busy := vm("busy", 16000, 60000)
		busy.Services = []string{"t/s"}
		loud := &place.Task{Kind: "t/loud", Size: place.Resources{CPU: 1000}}
		busy.Assign(loud)
		Expect(place.Choose(place.Pack{Estimates: &m}, loud, []*place.VM{busy})).To(BeNil())
		loud.Waited = place.RelaxAfter
		Expect(place.Choose(place.Pack{Estimates: &m}, loud, []*place.VM{busy})).To(BeIdenticalTo(busy))
	})

	It("evicts the attempts that lose the least work, and no more than needed", func() {
		need := place.Resources{CPU: 4000}
		e, ok := place.ChooseVictims([]place.Victim{
			victim(1, 4000, time.Hour), victim(2, 1000, time.Second), victim(3, 4000, time.Minute),
		}, place.Resources{}, need)
		Expect(ok).To(BeTrue())
		Expect(e.Victims).To(HaveLen(1))
		Expect(e.Victims[0].Attempt.Index).To(BeEquivalentTo(3))
		_, ok = place.ChooseVictims([]place.Victim{victim(1, 1000, 0)}, place.Resources{}, need)
		Expect(ok).To(BeFalse())
	})
})

// BenchmarkChoose measures the placement of one task among the VMs of one cell, and
// among as many as in a deployment of the target size.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{62, 430} {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			vms := make([]*place.VM, n)
			for i := range vms {
				vms[i] = vm(fmt.Sprint(i), 8000, 30000)
				vms[i].Services = []string{"t/s"}
				vms[i].Kinds = []string{"t/a", "t/b", "t/a"}
			}
			policy := place.Pack{Estimates: &learn.Model{}, WaitingKinds: []place.WaitingKind{{Kind: "t/a", Count: 5}, {Kind: "t/b", Count: 5}}}
			task := &place.Task{Kind: "t/a", Size: place.Resources{CPU: 1000, Memory: 1000}}
			b.ReportAllocs()
			for b.Loop() {
				place.Choose(policy, task, vms)
			}
		})
	}
}
