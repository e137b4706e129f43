package lead_test

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

// A new leader took the time since it took a run over for the run time, so that the other runs
// of the step seemed slow.
var _ = Describe("Runs that were started under an earlier leader", func() {
	It("are not moved because another one of their step ends soon after the change of leader", func() {
		h := newHarness()
		const vms = 3
		for n := range vms {
			h.join(n)
		}
		step := model.Step{Tasks: 2, Size: place.Resources{CPU: 2000, Memory: 1000}, Estimate: 10 * time.Second, MaxPerVM: 1}
		j := job(1, step)
		h.request(msgs.Submit, j, j.ID)
		h.advance(100 * time.Millisecond)
		runs := startedRuns(h)
		Expect(runs).To(HaveLen(2))
		h.lead(epoch + 1)
		first := slices.Min(slices.Collect(maps.Keys(runs)))
		for n := range vms {
			h.join(n, runs[n]...)
		}
		h.leader.Handle(h.now, uint64(firstAgentConn+first), &msgs.Message{Report: &msgs.Report{
			VM: vmInfo(first).ID, Incarnation: vmInfo(first).Incarnation,
			Ends: []msgs.RunEnd{{Number: 1, Task: runs[first][0].Task, Run: 1, Outcome: msgs.Done}},
		}})
		delete(runs, first)
		for round := range 5 {
			for n := range vms {
				for i := range runs[n] {
					runs[n][i].Percent = 40 + 4*round
				}
				h.requestLease(n, false, runs[n]...)
			}
			h.advance(400 * time.Millisecond)
		}
		Expect(h.stops()).To(BeEmpty())
	})
})

// startedRuns returns the runs that were ordered, by the number of the VM.
func startedRuns(h *harness) map[int][]msgs.RunStatus {
	runs := map[int][]msgs.RunStatus{}
	for _, o := range h.orders() {
		n, err := strconv.Atoi(strings.TrimPrefix(o.VM, "vm-"))
		Expect(err).NotTo(HaveOccurred())
		for _, s := range o.Starts {
			runs[n] = append(runs[n], msgs.RunStatus{Task: s.Task, Run: s.Run, Percent: 10})
		}
	}
	return runs
}

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
		runs := startedRuns(h)
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

	// The runs that gain most were tried in each search, also if they could go nowhere else.
	It("are moved although others, which gain more, can run on no other VM", func() {
		h := newHarness()
		for n := range 3 {
			h.join(n)
		}
		labelled := vmInfo(0)
		labelled.Labels = []string{"only"}
		contact := func(n int, synced bool, runs ...msgs.RunStatus) {
			if n != 0 {
				h.requestLease(n, synced, runs...)
				return
			}
			h.seq++
			h.leader.Handle(h.now, firstAgentConn, &msgs.Message{LeaseRequest: &msgs.LeaseRequest{
				Seq: h.seq, Synced: synced, RunsListed: true, Runs: runs, VM: labelled,
			}})
		}
		contact(0, true)
		bound := model.Step{Tasks: 12, Size: place.Resources{CPU: 100, Memory: 100}, Estimate: time.Second, Requires: "only"}
		free := model.Step{Tasks: 1, Size: place.Resources{CPU: 100, Memory: 100}, Estimate: 9 * time.Second}
		for n, step := range []model.Step{bound, free} {
			j := job(n+1, step)
			j.Queue.Stretch = 100 // neither is late
			h.submit(j)
		}
		h.advance(100 * time.Millisecond)
		runs := startedRuns(h)
		var stops []msgs.Stop
		for round := 0; round < 10 && len(stops) == 0; round++ {
			for n := range 3 {
				contact(n, false, runs[n]...)
			}
			h.advance(400 * time.Millisecond)
			stops = h.stops()
		}
		Expect(stops).To(ConsistOf(HaveField("Task", "0000000000000002.0.0.0")))
	})
})
