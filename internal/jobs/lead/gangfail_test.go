package lead_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

// A gang was shown as failed after one run of two allowed, as two of its members had failed in that.
var _ = Describe("A gang of which two members fail on different VMs", func() {
	const vms, attempts = 24, 2
	step := model.Step{Tasks: 20, Gang: true, MaxPerVM: 1, Size: place.Resources{CPU: 3000, Memory: 2000}, Estimate: 2700 * time.Millisecond}

	// runOnce lets a run of the gang end on whichever VMs it is, those of the failing members as failed.
	runOnce := func(h *harness, failing int) int {
		number := 0
		for i, o := range h.orders() {
			if len(o.Starts) == 0 {
				continue
			}
			outcome := msgs.Broken
			if i < failing {
				outcome = msgs.Failed
			}
			var n int
			_, err := fmt.Sscanf(o.VM, "vm-%d", &n)
			Expect(err).NotTo(HaveOccurred())
			number = int(o.Starts[0].Run)
			h.leader.Handle(h.now, uint64(firstAgentConn+n), &msgs.Message{Report: &msgs.Report{VM: o.VM, Incarnation: 5, Ends: []msgs.RunEnd{
				{Number: int64(number), Task: o.Starts[0].Task, Run: o.Starts[0].Run, Outcome: outcome},
			}}})
		}
		h.keepLeases(vms)
		h.advance(flushTime)
		return number
	}

	It("starts again, fails after as many runs as are allowed, and makes only their VMs suspect", func() {
		h := newHarness()
		for n := range vms {
			h.join(n)
		}
		gang := job(1, step)
		gang.Queue.MaxAttempts = attempts
		h.submit(gang)
		h.advance(flushTime)
		Expect(runOnce(h, 2)).To(Equal(1))
		suspects := 0
		for _, v := range h.leader.State(h.now).VMs {
			if v.Suspicion > 0 {
				suspects++
			}
		}
		Expect(suspects).To(Equal(2))
		Expect(runOnce(h, 3)).To(Equal(2), "it had failed once")
		Expect(h.starts()).To(BeEmpty())
		Expect(h.state(gang.ID)).To(Equal("failed"), "it has failed twice, as often as is allowed")
	})
})
