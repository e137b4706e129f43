package world_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/proof/world"
)

var _ = Describe("the check of a run", func() {
	// admit runs a request on a worker behind the system's back.
	admit := func(w *world.World, id string) {
		for _, v := range w.VMs {
			if _, err := v.Worker.Admit(port.Request{ID: id, Team: "t", Service: "registry"}); err == nil {
				return
			}
		}
		Fail("no replica runs")
	}

	DescribeTable("refuses histories that must not be",
		func(spoil func(w *world.World), want string) {
			w := up(1, 2, 1)
			w.Run(5 * time.Second)
			Expect(w.Check()).To(BeEmpty())
			spoil(w)
			Expect(strings.Join(w.Check(), "\n")).To(ContainSubstring(want))
		},
		Entry("a non-idempotent request ran twice", func(w *world.World) {
			admit(w, "x")
			admit(w, "x")
			w.History.Calls = append(w.History.Calls, &world.Call{ID: "x", Done: true, SendCount: 1})
		}, "ran 2 times"),
		Entry("told 'not run', but ran", func(w *world.World) {
			admit(w, "x")
			w.History.Calls = append(w.History.Calls, &world.Call{ID: "x", Done: true, SendCount: 1, Code: codes.Leaving})
		}, "not run, but ran"),
		Entry("answered, but never ran", func(w *world.World) {
			w.History.Calls = append(w.History.Calls, &world.Call{ID: "x", Done: true, SendCount: 1, Idempotent: true})
		}, "never ran"),
		Entry("no outcome at all", func(w *world.World) {
			w.History.Calls = append(w.History.Calls, &world.Call{ID: "x", SendCount: 1, Idempotent: true})
		}, "no outcome"),
		Entry("an accepted job that is lost", func(w *world.World) {
			w.History.Submissions = append(w.History.Submissions, &world.Submission{Job: "x", Done: true, At: w.Now, To: w.Now})
		}, "is lost"),
		Entry("an accepted revision that is not in force", func(w *world.World) {
			p := &world.Put{Team: "t", Base: 8, Revision: 9, Done: true, From: w.Now, To: w.Now}
			w.History.Publishes = append(w.History.Publishes, p)
		}, "is not in force"),
		Entry("publishes without a true order", func(w *world.World) {
			p := &world.Put{Team: "t", Base: 0, Revision: 1, Done: true, From: w.Now, To: w.Now}
			w.History.Publishes = append(w.History.Publishes, p)
		}, "no order"),
	)
})
