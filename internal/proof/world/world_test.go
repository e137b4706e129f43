package world_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/fake/plog"
	"github.com/ebonyarch/ebonyarch/internal/proof/world"
)

const teamConfig = `{
  "services": {"registry": {"replicas": %d, "cpu": 1, "memory": "1GB"}},
  "batch": {"bulk": {"cpu": 1, "memory": "1GB"}, "rush": {"cpu": 4, "memory": "1GB", "urgent": true}},
}`

func ignore(codes.Code) {}

// newWorld returns a world with 3 entries and some VMs, where team "t" has a
// service with the given number of replicas and two kinds of batch tasks.
func newWorld(seed uint64, vms, replicas int) *world.World {
	w := world.New(seed)
	for range 3 {
		w.AddEntry()
	}
	for range vms {
		w.AddVM()
	}
	w.Run(2 * time.Second)
	w.Entries[0].Publish("t", 0, fmt.Sprintf(teamConfig, replicas), ignore)
	w.Run(2 * time.Second)
	return w
}

// leader returns the entry that leads the cell, or nil.
func leader(w *world.World) *world.Entry {
	for _, e := range w.Entries {
		if !e.Dead && e.Core.Leader("main").Leads(w.Now) {
			return e
		}
	}
	return nil
}

// taskCounts returns how many tasks of a job are completed and granted.
func taskCounts(w *world.World, s *world.Submission) (done, granted int) {
	for _, e := range w.Entries {
		if e.Dead {
			continue
		}
		for _, t := range e.Core.Fold().Job(s.Job).Tasks {
			switch t.State.String() {
			case "completed":
				done++
			case "granted":
				granted++
			}
		}
		return done, granted
	}
	return 0, 0
}

var _ = Describe("a cell", func() {
	It("has at most one leader at a time, and a new one after the leader dies", func() {
		w := newWorld(1, 2, 1)
		first := leader(w)
		Expect(first).NotTo(BeNil())
		first.Kill()
		for range 200 {
			w.Run(100 * time.Millisecond)
			leading := 0
			for _, e := range w.Entries {
				if !e.Dead && e.Core.Leader("main").Leads(w.Now) {
					leading++
				}
			}
			Expect(leading).To(BeNumerically("<=", 1))
		}
		Expect(leader(w)).NotTo(BeNil())
	})

	It("has a new leader within 2.5 s after the leader leaves", func() {
		w := newWorld(1, 2, 1)
		first := leader(w)
		first.Core.Leave(w.Now)
		w.Run(2500 * time.Millisecond)
		Expect(leader(w)).NotTo(BeNil())
		Expect(leader(w)).NotTo(BeIdenticalTo(first))
	})

	It("starts urgent tasks within 5.1 s on a fleet full of batch tasks", func() {
		w := newWorld(1, 4, 1)
		w.Entries[0].Submit("t", "fill", "bulk", 200, time.Hour, ignore)
		w.Run(10 * time.Second)
		urgent := w.Entries[1].Submit("t", "now", "rush", 4, time.Hour, ignore)
		w.Run(5100 * time.Millisecond)
		_, granted := taskCounts(w, urgent)
		Expect(granted).To(Equal(4))
		started := 0
		for _, run := range w.Witness.Runs() {
			if run.Attempt.Job == urgent.Job {
				started++
			}
		}
		Expect(started).To(Equal(4))
		Expect(w.Witness.Overcommitted()).To(BeEmpty())
	})

	It("runs batch tasks during an hour without the log, each on one VM at a time", func() {
		w := newWorld(1, 3, 1)
		s := w.Entries[0].Submit("t", "long", "bulk", 20, 50*time.Minute, ignore)
		w.Run(5 * time.Second)
		w.LogDownUntil = w.Now.Add(time.Hour)
		w.Run(time.Hour)
		finished := 0
		for _, run := range w.Witness.Runs() {
			if run.Attempt.Job == s.Job && !run.To.IsZero() {
				finished++
			}
		}
		Expect(finished).To(Equal(20))
		w.Run(30 * time.Second)
		done, _ := taskCounts(w, s)
		Expect(done).To(Equal(20))
		Expect(w.Witness.Overlaps(w.Now)).To(BeEmpty())
	})

	It("refuses jobs at once while the log is down, with a code that says they did not run", func() {
		w := newWorld(1, 2, 1)
		w.LogDownUntil = w.Now.Add(time.Minute)
		w.Run(5 * time.Second)
		var code codes.Code
		w.Entries[0].Submit("t", "k", "bulk", 1, time.Second, func(c codes.Code) { code = c })
		Expect(code).To(Equal(codes.LogDown))
	})

	It("stops batch tasks when their lease expires if the leader dies while the log is down", func() {
		w := newWorld(1, 2, 1)
		s := w.Entries[0].Submit("t", "long", "bulk", 6, 20*time.Minute, ignore)
		w.Run(5 * time.Second)
		w.LogDownUntil = w.Now.Add(3 * time.Minute)
		w.Run(20 * time.Second)
		leader(w).Kill()
		w.Run(30 * time.Second)
		for _, run := range w.Witness.Runs() {
			Expect(run.To).NotTo(BeZero(), "attempt still runs after its lease has expired")
		}
		w.Run(10 * time.Minute)
		_, granted := taskCounts(w, s)
		Expect(granted).To(Equal(6))
		Expect(w.Witness.Overlaps(w.Now)).To(BeEmpty())
	})

	It("does not revoke tasks of a VM whose lease an old leader may still renew", func() {
		w := newWorld(1, 2, 1)
		s := w.Entries[0].Submit("t", "long", "bulk", 6, 30*time.Minute, ignore)
		w.Run(5 * time.Second)
		old := leader(w)
		w.LogDownUntil = w.Now.Add(time.Minute)
		w.Run(30 * time.Second) // by now the other entries have granted promises to the leader
		for _, e := range w.Entries {
			if e != old {
				for _, v := range w.VMs {
					w.Cut(v.Proc, e.Proc, 10*time.Minute)
				}
				w.Cut(old.Proc, e.Proc, 10*time.Minute)
				w.Cut(e.Proc, old.Proc, 10*time.Minute)
			}
		}
		w.Pause(old.Proc, 40*time.Second) // another entry may claim the leadership when the log is available again
		w.Run(5 * time.Minute)
		Expect(w.Witness.Overlaps(w.Now)).To(BeEmpty())
		Expect(s.Done).To(BeTrue())
	})

	It("ends the leadership of an entry if only that entry loses the log, as the others grant no promises", func() {
		w := newWorld(1, 2, 1)
		old := leader(w)
		w.CutLog(old.Proc, time.Minute)
		w.Run(6 * time.Second)
		Expect(old.Core.Leader("main").Leads(w.Now)).To(BeFalse())
	})

	It("does not revoke tasks on unreachable VMs while an old leader with promises may renew their leases", func() {
		w := newWorld(1, 2, 1)
		s := w.Entries[0].Submit("t", "long", "bulk", 12, time.Hour, ignore)
		w.Run(5 * time.Second)
		w.AddVM() // capacity to restart tasks that would be revoked
		w.Run(2 * time.Second)
		old := leader(w)
		w.LogDownUntil = w.Now.Add(30 * time.Second)
		w.CutLog(old.Proc, 10*time.Minute)
		w.Run(15 * time.Second) // by now the other entries have granted promises to the leader
		for _, e := range w.Entries {
			if e != old {
				w.Cut(w.VMs[0].Proc, e.Proc, 10*time.Minute)
				w.Cut(w.VMs[1].Proc, e.Proc, 10*time.Minute)
			}
		}
		w.Run(25 * time.Second)
		Expect(w.VMs[2].Host.Runner.Term()).To(BeEquivalentTo(2), "term of the VM that the new leader can reach")
		w.Run(5 * time.Minute)
		running := 0
		for _, run := range w.Witness.Runs() {
			if run.Attempt.Job == s.Job && run.To.IsZero() {
				running++
			}
		}
		Expect(running).To(Equal(12), "tasks that still run where they were")
		Expect(leader(w)).NotTo(BeNil())
		Expect(w.Witness.Overlaps(w.Now)).To(BeEmpty())
	})

	It("keeps all tasks running under a new leader when only the old one loses the log", func() {
		w := newWorld(1, 3, 1)
		s := w.Entries[0].Submit("t", "long", "bulk", 18, time.Hour, ignore)
		w.Run(5 * time.Second)
		w.CutLog(leader(w).Proc, time.Minute)
		w.Run(20 * time.Second)
		Expect(leader(w)).NotTo(BeNil())
		running := 0
		for _, run := range w.Witness.Runs() {
			if run.Attempt.Job == s.Job && run.To.IsZero() {
				running++
			}
		}
		Expect(running).To(Equal(18))
	})

	It("revokes tasks only after the leases that an old leader without the log renewed have expired", func() {
		w := newWorld(1, 3, 1)
		s := w.Entries[0].Submit("t", "long", "bulk", 18, time.Hour, ignore)
		w.Run(5 * time.Second)
		w.AddVM() // capacity to restart the revoked tasks
		w.Run(2 * time.Second)
		old := leader(w)
		w.CutLog(old.Proc, time.Minute)
		for _, e := range w.Entries {
			if e != old {
				w.Cut(w.VMs[0].Proc, e.Proc, time.Minute)
			}
		}
		w.Run(4 * time.Second)
		w.Pause(w.VMs[0].Proc, 30*time.Second) // its worker keeps running until the lease expires
		w.Run(2 * time.Minute)
		Expect(w.Witness.Overlaps(w.Now)).To(BeEmpty())
		_, granted := taskCounts(w, s)
		Expect(granted).To(Equal(18))
	})

	It("applies a burst of 50 configurations at all entries and VMs within 6 s", func() {
		w := newWorld(1, 2, 1)
		for i := range 50 {
			team := fmt.Sprintf("team-%d", i)
			w.Entries[i%3].Publish(team, 0, fmt.Sprintf(teamConfig, 0), ignore)
		}
		w.Run(6 * time.Second)
		for _, e := range w.Entries {
			Expect(e.Core.Fold().Teams()).To(HaveLen(51))
		}
		for _, v := range w.VMs {
			_, version := v.Host.LastLeaderReply()
			Expect(version).To(BeEquivalentTo(51))
		}
	})

	It("restarts all entries from the snapshot when the log has deleted older records", func() {
		w := newWorld(1, 2, 1)
		s := w.Entries[0].Submit("t", "k", "bulk", 4, time.Second, ignore)
		w.Run(40 * time.Second)
		w.Log.Set(plog.Faults{Retain: 60})
		for _, e := range w.Entries {
			e.Kill()
		}
		for _, e := range w.Entries {
			e.Restart()
		}
		w.Run(10 * time.Second)
		done, _ := taskCounts(w, s)
		Expect(done).To(Equal(4))
	})

	It("restarts all entries one by one without losing a task", func() {
		w := newWorld(1, 3, 2)
		s := w.Entries[0].Submit("t", "k", "bulk", 30, 10*time.Second, ignore)
		for i := range 3 {
			w.Entries[i].Core.Leave(w.Now)
			w.Run(2 * time.Second)
			w.Entries[i].Kill()
			w.Entries[i].Restart()
			w.Run(8 * time.Second)
		}
		w.Run(time.Minute)
		done, _ := taskCounts(w, s)
		Expect(done).To(Equal(30))
		Expect(w.Check()).To(BeEmpty())
	})

	It("spreads a service's replicas over availability zones", func() {
		w := newWorld(1, 6, 3)
		w.Run(5 * time.Second)
		zones := map[string]bool{}
		for _, m := range w.Entries[0].Core.Members().Present() {
			if len(m.GetReplicas()) > 0 {
				zones[m.GetZone()] = true
			}
		}
		Expect(zones).To(HaveLen(3))
	})
})
