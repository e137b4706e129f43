package lead_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
)

// The checkpoint of any member of a gang is valid for the whole gang, but all members of one run
// must be given the same.
var _ = Describe("A gang that resumes", func() {
	var h *harness
	// members holds the tasks by the VM that runs them.
	var members [2]string

	place := func() {
		for _, o := range h.orders() {
			for n := range members {
				if o.VM == vmInfo(n).ID && len(o.Starts) > 0 {
					members[n] = o.Starts[0].Task
				}
			}
		}
		Expect(members).To(ConsistOf("0000000000000001.0.0.0", "0000000000000001.0.0.1"))
	}

	BeforeEach(func() {
		h = newHarness()
		h.join(0)
		h.join(1)
		h.submit(job(1, saving(2, func(s *model.Step) { s.Gang = true })))
		h.advance(flushTime)
		place()
	})

	// restart ends run 1 with the given checkpoints and returns the starts of run 2.
	restart := func(first, second string) []msgs.Start {
		h.end(0, members[0], 1, msgs.Broken, first)
		h.end(1, members[1], 1, msgs.Broken, second)
		h.advance(flushTime)
		out := h.out
		starts := h.starts()
		h.out = out
		place()
		return starts
	}

	DescribeTable("gives all members one checkpoint that a member has saved", func(first, second string) {
		starts := restart(first, second)
		Expect(starts).To(HaveLen(2))
		Expect(starts[0].Checkpoint).To(And(Equal(starts[1].Checkpoint), BeElementOf(first, second), Not(BeEmpty())))
	},
		Entry("if only the first one has", "a", ""),
		Entry("if only the second one has", "", "b"),
		Entry("if both have", "a", "b"),
	)

	It("gives none if no member has saved one", func() {
		Expect(restart("", "")).To(And(HaveLen(2), HaveEach(HaveField("Checkpoint", ""))))
	})

	// The worker of one member stops it before the other one has started, and its stop saves
	// another checkpoint.
	DescribeTable("does not start a member once another one has ended", func(stopped, other int, takeover bool) {
		restart("a", "b")
		h.end(stopped, members[stopped], 2, msgs.Stopped, "at the stop")
		h.advance(flushTime)
		h.out = nil
		if takeover {
			h.lead(epoch + 1)
		}
		h.join(other)
		h.advance(flushTime)
		out := h.out
		Expect(h.startsOf(members[other])).To(BeEmpty(), "it would wait for the other one in vain")
		h.out = out
		Expect(h.stops()).To(ConsistOf(And(HaveField("Task", members[other]), HaveField("Run", uint32(2)))))
	},
		Entry("at the first VM", 0, 1, false),
		Entry("at the second VM", 1, 0, false),
		Entry("at the first VM, under the next leader", 0, 1, true),
		Entry("at the second VM, under the next leader", 1, 0, true),
	)

	It("orders a member again that its VM lists, though another one has ended", func() {
		restart("a", "b")
		h.end(0, members[0], 2, msgs.Stopped, "at the stop")
		h.join(1, listed(members[1], 2, "b"))
		Expect(h.startsOf(members[1])).To(HaveLen(1), "its agent needs the details of a present run")
	})

	It("gives a member whose order is repeated the checkpoint that the others were given, though they list later ones", func() {
		given := restart("a", "b")[0].Checkpoint
		h.requestLease(0, false, listed(members[0], 2, "later"))
		h.requestLease(1, false, listed(members[1], 2, "later"))
		h.join(1)
		Expect(h.startsOf(members[1])).To(ConsistOf(And(HaveField("Run", uint32(2)), HaveField("Checkpoint", given))))
	})

	It("gives both members the same checkpoint under the next leader", func() {
		restart("a", "b")
		h.lead(epoch + 1)
		h.join(0)
		h.join(1)
		h.advance(flushTime)
		starts := h.starts()
		Expect(starts).To(HaveLen(2))
		Expect(starts[0].Checkpoint).To(And(Equal(starts[1].Checkpoint), BeElementOf("a", "b")))
	})
})
