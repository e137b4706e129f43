package lead_test

import (
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

var _ = Describe("Runs without progress", func() {
	// In a large fleet many runs are slow at a time, and one of them makes a whole step late.
	It("are moved in proportion to the fleet, those of jobs that can be on time first", func() {
		const vms = 100
		const searches = 2 // in each round below
		h := newHarness()
		for n := range vms {
			h.join(n)
		}
		step := model.Step{Tasks: vms / 2, Size: place.Resources{CPU: 2000, Memory: 1000}, Estimate: 10 * time.Second}
		for n, stretch := range []float64{0.5, 2} {
			j := job(n+1, step)
			j.Queue.Stretch = stretch
			h.request(msgs.Submit, j, j.ID)
		}
		h.advance(100 * time.Millisecond)
		runs := map[int][]msgs.RunStatus{}
		for _, o := range h.orders() {
			n, err := strconv.Atoi(strings.TrimPrefix(o.VM, "vm-"))
			Expect(err).NotTo(HaveOccurred())
			for _, s := range o.Starts {
				runs[n] = append(runs[n], msgs.RunStatus{Task: s.Task, Run: s.Run, Percent: 10})
			}
		}
		Expect(runs).To(HaveLen(vms))
		var stops []msgs.Stop
		for round := 0; round < 8 && len(stops) == 0; round++ {
			for n := range vms {
				h.requestLease(n, false, runs[n]...)
			}
			h.advance(400 * time.Millisecond)
			stops = h.stops()
		}
		Expect(len(stops)).To(BeNumerically(">", searches*vms/10))
		Expect(stops).To(HaveEach(HaveField("Task", HavePrefix("0000000000000002"))))
	})
})
