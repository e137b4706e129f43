package lead_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

// waveSize is the number of tasks that a wide step has at most.
const waveSize = 160

// BenchmarkWave measures the placement of a wide best-effort step, all of whose tasks fit, on
// VMs with long-running tasks of several images.
func BenchmarkWave(b *testing.B) {
	for _, vms := range []int{30, 100, 300, 1000} {
		b.Run(fmt.Sprintf("VMs=%d", vms), func(b *testing.B) {
			RegisterTestingT(b)
			h := newLoadedHarness(vms)
			id := 10_000
			for b.Loop() {
				b.StopTimer()
				id++
				wave := job(id, model.Step{
					Tasks: waveSize, BestEffort: true, Image: fmt.Sprint("best-effort-", id%30),
					Size: place.Resources{CPU: 1000, Memory: 100}, Estimate: time.Second,
				})
				h.request(msgs.Submit, wave, wave.ID)
				h.now = h.now.Add(20 * time.Millisecond)
				b.StartTimer()
				placed := h.nextBatch()
				b.StopTimer()
				Expect(placed).To(BeTrue())
				h.confirmBatch()
				Expect(h.endRuns()).To(Equal(waveSize))
				h.keepLeases(vms)
				b.StartTimer()
			}
		})
	}
}

// newLoadedHarness returns a leader whose VMs have four long-running tasks each.
func newLoadedHarness(vms int) *harness {
	const images, tasksPerJob = 16, 20
	h := newHarness()
	for n := range vms {
		h.join(n)
	}
	for n := range 4 * vms / tasksPerJob {
		j := job(n+1, model.Step{
			Tasks: tasksPerJob, LongRunning: true, Image: fmt.Sprint("long-running-", n%images), LatencyTarget: 25 * time.Millisecond,
			Size: place.Resources{CPU: 2000, Memory: 1000},
		})
		h.request(msgs.Submit, j, j.ID)
	}
	for started := 0; started < 4*vms/tasksPerJob*tasksPerJob; {
		h.advance(100 * time.Millisecond)
		started += len(h.starts())
		h.keepLeases(vms)
	}
	return h
}

// keepLeases lets all VMs contact the leader.
func (h *harness) keepLeases(vms int) {
	for n := range vms {
		h.seq++
		h.leader.Handle(h.now, uint64(firstAgentConn+n), &msgs.Message{LeaseRequest: &msgs.LeaseRequest{Seq: h.seq, VM: vmInfo(n)}})
	}
	h.out = nil
}

// endRuns reports the runs that were started since the last call as done, and returns their
// number.
func (h *harness) endRuns() int {
	ends, count := map[string][]msgs.RunEnd{}, 0
	for _, o := range h.orders() {
		for _, s := range o.Starts {
			count++
			ends[o.VM] = append(ends[o.VM], msgs.RunEnd{Task: s.Task, Run: s.Run, Outcome: msgs.Done})
		}
	}
	for vm, list := range ends {
		h.seq++
		h.leader.Handle(h.now, firstAgentConn, &msgs.Message{Report: &msgs.Report{VM: vm, Incarnation: 5, Ends: list}})
	}
	h.advance(40 * time.Millisecond)
	return count
}
