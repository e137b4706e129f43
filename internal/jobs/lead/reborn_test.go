package lead_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

// A worker that was started again under its id takes orders that were on their way to
// its earlier life: it has seen no fence. Soak, seed 304.
var _ = Describe("A worker that was started again", func() {
	const task = "0000000000000001.0.0.0"
	const before, after = 5, 6
	small := model.Step{Tasks: 1, Size: place.Resources{CPU: 1000, Memory: 1000}}
	var b *bench

	// announce lets the agent beside the worker speak of its new life.
	announce := func(synced bool, rows ...msgs.RunStatus) {
		b.seq++
		b.leader.Handle(b.now, firstConn, &msgs.Message{LeaseRequest: &msgs.LeaseRequest{
			Seq: b.seq, Synced: synced, RunsListed: synced, Runs: rows, VM: msgs.VM{
				ID: "vm-0", Node: "node-0", Incarnation: after, Service: "registry", Capacity: place.Resources{CPU: 16000, Memory: 64000},
			},
		}})
		b.pass(beforeLease)
	}

	BeforeEach(func() {
		b = newBench()
		b.join(0)
		j := job(1, small)
		b.ask(msgs.Submit, j, j.ID)
		b.pass(beforeLease)
		Expect(b.starts()).To(HaveLen(1))
	})

	It("keeps a run that its new life has begun", func() {
		announce(true, msgs.RunStatus{Task: task, Run: 1, Percent: 10})
		for _, o := range b.orders() {
			Expect(o.Stops).To(BeEmpty())
			for _, s := range o.Starts {
				Expect(s.Run).To(Equal(uint32(1)))
			}
		}
		b.leader.Handle(b.now, firstConn, &msgs.Message{Report: &msgs.Report{
			VM: "vm-0", Incarnation: after, Ends: []msgs.RunEnd{{Number: 1, Task: task, Run: 1, Outcome: msgs.Done}},
		}})
		b.pass(beforeLease)
		Expect(b.state("0000000000000001")).To(Equal("completed"))
	})

	It("ends what its new life does not have", func() {
		announce(true)
		starts := b.starts()
		Expect(starts).To(HaveLen(1))
		Expect(starts[0].Run).To(Equal(uint32(2)))
	})

	It("ends nothing before it has said what it runs", func() {
		announce(false)
		Expect(b.starts()).To(BeEmpty())
		announce(true, msgs.RunStatus{Task: task, Run: 1, Percent: 10})
		for _, s := range b.starts() {
			Expect(s.Run).To(Equal(uint32(1)))
		}
	})
})
