package fleet_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/fake/topics"
	"github.com/ebonyarch/ebonyarch/internal/proof/fleet"
)

// pendingSeeds is the number of worlds of each kind.
const pendingSeeds = 12

// Jobs whose starts were refused or lost were in no count of waiting jobs.
var _ = Describe("The number of jobs that have not begun", func() {
	refuse := func(w *fleet.World) {
		w.RefusedShare = 1
		w.After(9*time.Second, func() { w.RefusedShare = 0 })
	}
	delay := func(w *fleet.World) {
		w.DelayedShare = 1
		w.After(9*time.Second, func() { w.DelayedShare = 0 })
	}
	killLeaders := func(w *fleet.World) {
		for i := range 6 {
			w.After(time.Duration(i)*1300*time.Millisecond, func() { w.Leader().Kill(time.Second) })
		}
	}
	loseAnswers := func(w *fleet.World) {
		for i := range 6 {
			w.After(time.Duration(i)*1100*time.Millisecond, func() { w.After(400*time.Millisecond, w.Store.Disturb(topics.Faults{LoseReplies: true})) })
		}
	}
	silence := func(w *fleet.World) {
		for i, a := range w.Agents {
			w.After(time.Duration(i)*700*time.Millisecond, func() { a.Silent = true })
			w.After(time.Duration(i)*700*time.Millisecond+7*time.Second, func() { a.Silent = false })
		}
	}
	crash := func(w *fleet.World) {
		for i, a := range w.Agents {
			w.After(time.Duration(i)*900*time.Millisecond, func() { a.Crash(2 * time.Second) })
		}
	}
	DescribeTable("agrees with what workers have started, while", func(begunToo bool, faults ...func(*fleet.World)) {
		for seed := range uint64(pendingSeeds) {
			w := run(seed, func(w *fleet.World) {
				w.WatchPending(begunToo)
				for _, f := range faults {
					w.After(time.Second+time.Duration(seed)*233*time.Millisecond, func() { f(w) })
				}
			})
			Expect(w.Check()).To(BeEmpty(), fmt.Sprintf("seed %d", seed))
		}
	},
		Entry("nothing fails", true),
		Entry("all starts are refused", true, refuse),
		Entry("all starts are refused and leaders restart", true, refuse, killLeaders),
		Entry("starts get no response and are late", true, delay),
		Entry("starts get no response, answers of the store are lost and leaders restart", true, delay, loseAnswers, killLeaders),
		Entry("workers are silent", false, silence),
		Entry("workers are silent and leaders restart", false, silence, killLeaders),
		Entry("workers crash and leaders restart", false, crash, killLeaders),
	)
})
