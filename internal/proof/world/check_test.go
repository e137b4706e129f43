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

var _ = Describe("Check", func() {
	// admit runs a request on a worker directly, without an entry or an agent.
	admit := func(w *world.World, id string) {
		for _, v := range w.VMs {
			if _, err := v.Worker.Admit(port.Request{ID: id, Team: "t", Service: "registry"}); err == nil {
				return
			}
		}
		Fail("no replica runs")
	}

	DescribeTable("finds violated invariants",
		func(corrupt func(w *world.World), want string) {
			w := newWorld(1, 2, 1)
			w.Run(5 * time.Second)
			Expect(w.Check()).To(BeEmpty())
			corrupt(w)
			Expect(strings.Join(w.Check(), "\n")).To(ContainSubstring(want))
		},
		Entry("a non-idempotent request ran twice", func(w *world.World) {
			admit(w, "x")
			admit(w, "x")
			w.History.Calls = append(w.History.Calls, &world.Call{ID: "x", Done: true, SendCount: 1})
		}, "ran 2 times"),
		Entry("a request whose result says that it was not run, but that ran", func(w *world.World) {
			admit(w, "x")
			w.History.Calls = append(w.History.Calls, &world.Call{ID: "x", Done: true, SendCount: 1, Code: codes.Leaving})
		}, "not run, but ran"),
		Entry("a request that succeeded, but never ran", func(w *world.World) {
			w.History.Calls = append(w.History.Calls, &world.Call{ID: "x", Done: true, SendCount: 1, Idempotent: true})
		}, "never ran"),
		Entry("a request without an outcome", func(w *world.World) {
			w.History.Calls = append(w.History.Calls, &world.Call{ID: "x", SendCount: 1, Idempotent: true})
		}, "no outcome"),
		Entry("an accepted job that is lost", func(w *world.World) {
			w.History.Submissions = append(w.History.Submissions,
				&world.Submission{Job: "x", Done: true, SubmittedAt: w.Now, To: w.Now})
		}, "is lost"),
		Entry("an accepted revision that is not in force", func(w *world.World) {
			p := &world.PublishCall{Team: "t", Base: 8, Revision: 9, Done: true, From: w.Now, To: w.Now}
			w.History.Publishes = append(w.History.Publishes, p)
		}, "is not in force"),
		Entry("an attempt that started long after its job was cancelled", func(w *world.World) {
			s := w.Entries[0].Submit("t", "k", "bulk", 1, time.Second, ignore)
			w.Run(10 * time.Second)
			c := &world.CancelCall{Job: s.Job, From: w.Now.Add(-time.Minute), To: w.Now.Add(-time.Minute), Done: true}
			w.History.Cancels = append(w.History.Cancels, c)
		}, "after its job was cancelled"),
		Entry("a read that shows an accepted job as absent", func(w *world.World) {
			s := w.Entries[0].Submit("t", "k", "bulk", 1, time.Second, ignore)
			w.Run(10 * time.Second)
			c := &world.ReadCall{Job: s.Job, From: w.Now, To: w.Now, Done: true}
			w.History.Reads = append(w.History.Reads, c)
		}, "no order of the job calls"),
		Entry("publish calls whose results no order explains", func(w *world.World) {
			p := &world.PublishCall{Team: "t", Base: 0, Revision: 1, Done: true, From: w.Now, To: w.Now}
			w.History.Publishes = append(w.History.Publishes, p)
		}, "no order"),
	)
})
