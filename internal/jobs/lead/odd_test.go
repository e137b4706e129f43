package lead_test

import (
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
)

var _ = Describe("A leader that receives a job that no entry would forward", func() {
	const odd, good = model.ID("00000000000000ee"), model.ID("00000000000000aa")
	submit := func(h *harness, id model.ID, step model.Step) {
		h.leader.Handle(h.now, 1, &msgs.Message{JobRequest: &msgs.JobRequest{
			Seq: 1, Verb: msgs.Submit, Job: id, Spec: &model.Job{ID: id, Steps: []model.Step{step}},
		}})
	}

	DescribeTable("refuses it and accepts others", func(step model.Step) {
		h := newHarness()
		submit(h, odd, step)
		out := h.leader.TakeOutbound()
		Expect(out).To(HaveLen(1))
		Expect(out[0].Message.JobResponse.Code).To(Equal(codes.JobInvalid))
		submit(h, good, model.Step{Tasks: 1})
		h.now = h.now.Add(time.Second)
		batch := h.leader.NextBatch(h.now)
		Expect(batch.Records).To(ContainElement(HaveField("Key", "job/"+string(good))))
	},
		Entry("a negative number of tasks", model.Step{Tasks: -5}),
		Entry("more tasks than memory holds", model.Step{Tasks: math.MaxInt64 / 2}),
		Entry("a dependency on a step that it has not", model.Step{Tasks: 1, After: []int{7}}),
	)
})
