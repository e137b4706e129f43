package world_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/proof/world"
)

const benchConfig = `{
  "services": {"registry": {"replicas": 100, "cpu": 1, "memory": "1GB"}},
  "batch": {"bulk": {"cpu": 1, "memory": "1GB"}, "rush": {"cpu": 4, "memory": "1GB", "urgent": true}},
}`

// fleet returns a world with 3 entries, the given number of VMs and a service with
// 100 replicas.
func fleet(vms int) *world.World {
	w := world.New(1)
	for range 3 {
		w.AddEntry()
	}
	for range vms {
		w.AddVM()
	}
	w.Run(2 * time.Second)
	w.Entries[0].Publish("t", 0, benchConfig, ignore)
	w.Run(8 * time.Second)
	return w
}

// BenchmarkJournal reports the appends and kilobytes per second that the log takes
// at 72 task starts per second, for two fleet sizes.
func BenchmarkJournal(b *testing.B) {
	for _, vms := range []int{100, 430} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			for b.Loop() {
				w := fleet(vms)
				appends, size := w.Log.Appends()
				starts := len(w.Witness.Runs())
				const seconds = 20
				for i := range seconds {
					w.Entries[i%3].Submit("t", fmt.Sprint(i), "bulk", 72, 4*time.Second, ignore)
					w.Run(time.Second)
				}
				a, s := w.Log.Appends()
				b.ReportMetric(float64(a-appends)/seconds, "appends/s")
				b.ReportMetric(float64(s-size)/seconds/1024, "KB/s")
				b.ReportMetric(float64(len(w.Witness.Runs())-starts)/seconds, "starts/s")
			}
		})
	}
}

// BenchmarkUrgent reports how long urgent tasks take to start on a fleet of 430 VMs,
// the target size, that is full of batch tasks.
func BenchmarkUrgent(b *testing.B) {
	for b.Loop() {
		w := fleet(430)
		w.Entries[0].Submit("t", "fill", "bulk", 4000, time.Hour, ignore)
		w.Run(30 * time.Second)
		var waits []time.Duration
		for i := range 100 {
			w.Entries[i%3].Submit("t", fmt.Sprint("u", i), "rush", 10, time.Hour, ignore)
			w.Run(500 * time.Millisecond)
			if i%10 == 9 {
				w.Run(5 * time.Second)
			}
		}
		w.Run(20 * time.Second)
		for _, s := range w.History.Submissions[1:] {
			for _, r := range w.Witness.Runs() {
				if r.Attempt.Job == s.Job && r.Attempt.Epoch == 1 {
					waits = append(waits, r.From.Sub(s.SubmittedAt))
				}
			}
		}
		slices.Sort(waits)
		b.ReportMetric(waits[len(waits)/2].Seconds(), "median-s")
		b.ReportMetric(waits[len(waits)*999/1000].Seconds(), "p99.9-s")
		b.ReportMetric(float64(len(waits)), "started")
	}
}

// BenchmarkRecovery reports the time from a failure until the cell has a leader and
// all tasks are assigned to live VMs again.
func BenchmarkRecovery(b *testing.B) {
	for _, loss := range []struct {
		name       string
		vms        func(i int) bool
		killLeader bool
	}{
		{"vm", func(i int) bool { return i == 5 }, false},
		{"rack", func(i int) bool { return i/2 == 3 }, false},
		{"zone", func(i int) bool { return i%3 == 1 }, false},
		{"leader", func(int) bool { return false }, true},
		{"leader and vm", func(i int) bool { return i == 5 }, true},
	} {
		b.Run(loss.name, func(b *testing.B) {
			for b.Loop() {
				w := fleet(90)
				s := w.Entries[0].Submit("t", "work", "bulk", 200, time.Hour, ignore)
				w.Run(5 * time.Second)
				if loss.killLeader {
					leader(w).Kill()
				}
				for i, v := range w.VMs {
					if loss.vms(i) {
						v.Fail()
					}
				}
				from := w.Now
				for !recovered(w, s) && w.Now.Sub(from) < 10*time.Minute {
					w.Run(100 * time.Millisecond)
				}
				b.ReportMetric(w.Now.Sub(from).Seconds(), "recovered-s")
			}
		})
	}
}

// recovered reports whether the cell has a leader and every task of the job is
// assigned to a live VM.
func recovered(w *world.World, s *world.Submission) bool {
	l := leader(w)
	if l == nil {
		return false
	}
	dead := map[string]bool{}
	for _, v := range w.VMs {
		dead[v.Name] = v.Dead
	}
	for _, t := range l.Core.Fold().Job(s.Job).Tasks {
		if t.VM == "" || dead[t.VM] {
			return false
		}
	}
	return true
}
