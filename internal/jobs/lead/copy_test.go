package lead_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

var _ = Describe("A task that may run in copies", func() {
	const task, id = "0000000000000001.0.0.0", "0000000000000001"
	step := model.Step{Tasks: 1, Speculative: true, Estimate: 500 * time.Millisecond, Size: place.Resources{CPU: 1000, Memory: 1000}}
	var b *bench

	// straggle lets the first run stand still until there is a copy, and returns all
	// starts on the second VM and all stops.
	straggle := func(d time.Duration) (copies []msgs.Start, stops []msgs.Stop) {
		for end := b.now.Add(d); b.now.Before(end); {
			b.beat(0, false, msgs.RunStatus{Task: task, Run: 1, Percent: 10})
			b.beat(1, false)
			b.pass(400 * time.Millisecond)
			for _, o := range b.orders() {
				if o.VM == "vm-1" {
					copies = append(copies, o.Starts...)
				}
				stops = append(stops, o.Stops...)
			}
		}
		return copies, stops
	}

	end := func(n int, run uint32) {
		b.leader.Handle(b.now, uint64(firstConn+n), &msgs.Message{Report: &msgs.Report{
			VM: []string{"vm-0", "vm-1"}[n], Incarnation: 5, Ends: []msgs.RunEnd{{Number: 1, Task: task, Run: run, Outcome: msgs.Done}},
		}})
		b.pass(beforeLease)
	}

	BeforeEach(func() {
		b = newBench()
		b.join(0)
		j := job(1, step)
		b.ask(msgs.Submit, j, j.ID)
		b.pass(beforeLease)
		b.join(1)
		b.out = nil
	})

	It("gets one copy if it stands still, and goes on itself", func() {
		copies, stops := straggle(6 * time.Second)
		Expect(copies).To(ConsistOf(HaveField("Run", uint32(2))))
		Expect(stops).To(BeEmpty())
	})

	DescribeTable("is done when the first of them is, and the other is stopped", func(n int, run, other uint32) {
		straggle(4 * time.Second)
		end(n, run)
		Expect(b.stops()).To(ConsistOf(msgs.Stop{Task: task, Run: other}))
		Expect(b.state(id)).To(Equal("completed"))
	},
		Entry("the copy", 1, uint32(2), uint32(1)),
		Entry("the first run", 0, uint32(1), uint32(2)),
	)
})
