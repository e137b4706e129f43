package model_test

import (
	"math"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
)

const id = "00000000000000aa"

var _ = Describe("A job", func() {
	job := func(change func(*model.Job)) *model.Job {
		j := &model.Job{ID: id, Steps: []model.Step{{Tasks: 2}, {Tasks: 1, After: []int{0}}}}
		change(j)
		return j
	}

	It("is valid", func() { Expect(job(func(*model.Job) {}).Validate()).To(Succeed()) })

	DescribeTable("is invalid with", func(change func(*model.Job)) {
		Expect(job(change).Validate()).NotTo(Succeed())
	},
		Entry("a malformed id", func(j *model.Job) { j.ID = "x" }),
		Entry("a payload that is too long", func(j *model.Job) { j.Payload = strings.Repeat("x", 5000) }),
		Entry("no steps", func(j *model.Job) { j.Steps = nil }),
		Entry("no tasks", func(j *model.Job) { j.Steps[0].Tasks = 0 }),
		Entry("too many tasks", func(j *model.Job) { j.Steps[0].Tasks = 1 << 62; j.Steps[1].Tasks = 1 << 62 }),
		Entry("a negative size", func(j *model.Job) { j.Steps[0].Size.CPU = -1 }),
		Entry("a step that depends on itself", func(j *model.Job) { j.Steps[1].After = []int{1} }),
		Entry("too many occurrences", func(j *model.Job) { j.Repeat = 1 << 40 }),
		Entry("a last occurrence that no time can name", func(j *model.Job) { j.Repeat, j.Interval = 2000, math.MaxInt64/2 }),
		Entry("a start that can't be stored", func(j *model.Job) { j.StartAt = time.UnixMilli(math.MaxInt64) }),
		Entry("a size whose sum over all tasks overflows", func(j *model.Job) { j.Steps[0].Size.Memory = math.MaxInt64 }),
		Entry("a negative estimate", func(j *model.Job) { j.Steps[0].Estimate = -1 }),
		Entry("an estimate that overflows in sums", func(j *model.Job) { j.Steps[0].Estimate = math.MaxInt64 }),
		Entry("a negative latency target", func(j *model.Job) { j.Steps[0].LatencyTarget = -1 }),
	)

	It("has occurrences that are due according to its schedule", func() {
		start := time.Unix(50, 0)
		j := job(func(j *model.Job) { j.Repeat, j.StartAt, j.Interval = 3, start, time.Minute })
		Expect(j.Occurrences()).To(Equal(3))
		Expect(j.Due(2)).To(Equal(start.Add(2 * time.Minute)))
		Expect(job(func(*model.Job) {}).Due(0)).To(BeZero())
	})
})

var _ = Describe("A task's name", func() {
	It("is parsed to the reference that it was formatted from", func() {
		ref := model.TaskRef{Job: id, Occurrence: 1, Step: 2, Index: 30}
		Expect(model.ParseTaskRef(ref.String())).To(Equal(ref))
	})

	DescribeTable("is not parsed if it", func(s string) {
		_, err := model.ParseTaskRef(s)
		Expect(err).To(HaveOccurred())
	},
		Entry("is empty", ""), Entry("has too few parts", id+".0.1"), Entry("has no valid id", "x.0.0.1"), Entry("has a negative number", id+".0.0.-1"), Entry("has a number out of range", id+".0.0.99999999999"),
	)
})

var _ = Describe("A configuration", func() {
	It("routes by host and longest path prefix", func() {
		c := model.Config{Queues: []model.Queue{{Name: "a", Host: "h", Prefix: "/p/"}, {Name: "b", Host: "h", Prefix: "/p/q/"}}}
		Expect(c.Route("H", "/p/q/x").Name).To(Equal("b"))
		Expect(c.Route("h", "/p/x").Name).To(Equal("a"))
		Expect(c.Route("other", "/p/x")).To(BeNil())
		Expect(c.Queue("b").Prefix).To(Equal("/p/q/"))
		Expect(c.Queue("c")).To(BeNil())
	})
})
