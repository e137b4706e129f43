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

// up returns a world with 3 entries and VMs that serve a team.
func up(seed uint64, vms, replicas int) *world.World {
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

func leader(w *world.World) *world.Entry {
	for _, e := range w.Entries {
		if !e.Dead && e.Core.Leader("main").Leads(w.Now) {
			return e
		}
	}
	return nil
}

func counts(w *world.World, s *world.Submission) (done, granted int) {
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
	It("has one leader at a time, and another soon after it dies", func() {
		w := up(1, 2, 1)
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

	It("passes leadership on quickly when the leader leaves in good order", func() {
		w := up(1, 2, 1)
		first := leader(w)
		first.Core.Leave(w.Now)
		w.Run(2500 * time.Millisecond)
		Expect(leader(w)).NotTo(BeNil())
		Expect(leader(w)).NotTo(BeIdenticalTo(first))
	})

	It("starts urgent work within 5.1 s on a fleet full of batch work", func() {
		w := up(1, 4, 1)
		w.Entries[0].Submit("t", "fill", "bulk", 200, time.Hour, ignore)
		w.Run(10 * time.Second)
		urgent := w.Entries[1].Submit("t", "now", "rush", 4, time.Hour, ignore)
		w.Run(5100 * time.Millisecond)
		_, granted := counts(w, urgent)
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

	It("goes on with batch work through an hour without the log, one holder a task", func() {
		w := up(1, 3, 1)
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
		done, _ := counts(w, s)
		Expect(done).To(Equal(20))
		Expect(w.Witness.Overlaps(w.Now)).To(BeEmpty())
	})

	It("refuses jobs at once while the log is down, and says that they did not run", func() {
		w := up(1, 2, 1)
		w.LogDownUntil = w.Now.Add(time.Minute)
		w.Run(5 * time.Second)
		var code codes.Code
		w.Entries[0].Submit("t", "k", "bulk", 1, time.Second, func(c codes.Code) { code = c })
		Expect(code).To(Equal(codes.LogDown))
	})

	It("stops batch work at the lease's end if the leader dies while the log is down", func() {
		w := up(1, 2, 1)
		s := w.Entries[0].Submit("t", "long", "bulk", 6, 20*time.Minute, ignore)
		w.Run(5 * time.Second)
		w.LogDownUntil = w.Now.Add(3 * time.Minute)
		w.Run(20 * time.Second)
		leader(w).Kill()
		w.Run(30 * time.Second)
		for _, run := range w.Witness.Runs() {
			Expect(run.To).NotTo(BeZero(), "still runs without any lease")
		}
		w.Run(10 * time.Minute)
		_, granted := counts(w, s)
		Expect(granted).To(Equal(6))
		Expect(w.Witness.Overlaps(w.Now)).To(BeEmpty())
	})

	It("does not take work from a VM that an old leader may still keep alive", func() {
		w := up(1, 2, 1)
		s := w.Entries[0].Submit("t", "long", "bulk", 6, 30*time.Minute, ignore)
		w.Run(5 * time.Second)
		old := leader(w)
		w.LogDownUntil = w.Now.Add(time.Minute)
		w.Run(30 * time.Second) // the others have promised by now
		for _, e := range w.Entries {
			if e != old {
				for _, v := range w.VMs {
					w.Cut(v.Proc, e.Proc, 10*time.Minute)
				}
				w.Cut(old.Proc, e.Proc, 10*time.Minute)
				w.Cut(e.Proc, old.Proc, 10*time.Minute)
			}
		}
		w.Pause(old.Proc, 40*time.Second) // another may claim once the log is back
		w.Run(5 * time.Minute)
		Expect(w.Witness.Overlaps(w.Now)).To(BeEmpty())
		Expect(s.Done).To(BeTrue())
	})

	It("stops acting when it is cut off from the log alone, and is promised nothing", func() {
		w := up(1, 2, 1)
		old := leader(w)
		w.CutLog(old.Proc, time.Minute)
		w.Run(6 * time.Second)
		Expect(old.Core.Leader("main").Leads(w.Now)).To(BeFalse())
	})

	It("leaves work to an old leader that was promised so, on VMs that it cannot reach", func() {
		w := up(1, 2, 1)
		s := w.Entries[0].Submit("t", "long", "bulk", 12, time.Hour, ignore)
		w.Run(5 * time.Second)
		w.AddVM() // room for what would be revoked
		w.Run(2 * time.Second)
		old := leader(w)
		w.LogDownUntil = w.Now.Add(30 * time.Second)
		w.CutLog(old.Proc, 10*time.Minute)
		w.Run(15 * time.Second) // the others have promised by now
		for _, e := range w.Entries {
			if e != old {
				w.Cut(w.VMs[0].Proc, e.Proc, 10*time.Minute)
				w.Cut(w.VMs[1].Proc, e.Proc, 10*time.Minute)
			}
		}
		w.Run(25 * time.Second)
		Expect(w.VMs[2].Host.Runner.Term()).To(BeEquivalentTo(2), "whom it can reach follows the new leader")
		w.Run(5 * time.Minute)
		running := 0
		for _, run := range w.Witness.Runs() {
			if run.Attempt.Job == s.Job && run.To.IsZero() {
				running++
			}
		}
		Expect(running).To(Equal(12), "they go on where they were")
		Expect(leader(w)).NotTo(BeNil())
		Expect(w.Witness.Overlaps(w.Now)).To(BeEmpty())
	})

	It("goes on under another leader when one is cut off from the log alone", func() {
		w := up(1, 3, 1)
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

	It("waits for leases that an old leader without the log went on to renew", func() {
		w := up(1, 3, 1)
		s := w.Entries[0].Submit("t", "long", "bulk", 18, time.Hour, ignore)
		w.Run(5 * time.Second)
		w.AddVM() // room for what is revoked
		w.Run(2 * time.Second)
		old := leader(w)
		w.CutLog(old.Proc, time.Minute)
		for _, e := range w.Entries {
			if e != old {
				w.Cut(w.VMs[0].Proc, e.Proc, time.Minute)
			}
		}
		w.Run(4 * time.Second)
		w.Pause(w.VMs[0].Proc, 30*time.Second) // its worker goes on to the lease's end
		w.Run(2 * time.Minute)
		Expect(w.Witness.Overlaps(w.Now)).To(BeEmpty())
		_, granted := counts(w, s)
		Expect(granted).To(Equal(18))
	})

	It("puts configuration in force everywhere within 6 s, in a burst of 50", func() {
		w := up(1, 2, 1)
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

	It("starts an entry from the snapshot when the log retains little else", func() {
		w := up(1, 2, 1)
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
		done, _ := counts(w, s)
		Expect(done).To(Equal(4))
	})

	It("replaces all entries one by one without losing anything", func() {
		w := up(1, 3, 2)
		s := w.Entries[0].Submit("t", "k", "bulk", 30, 10*time.Second, ignore)
		for i := range 3 {
			w.Entries[i].Core.Leave(w.Now)
			w.Run(2 * time.Second)
			w.Entries[i].Kill()
			w.Entries[i].Restart()
			w.Run(8 * time.Second)
		}
		w.Run(time.Minute)
		done, _ := counts(w, s)
		Expect(done).To(Equal(30))
		Expect(w.Check()).To(BeEmpty())
	})

	It("spreads a service's replicas over availability zones", func() {
		w := up(1, 6, 3)
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
