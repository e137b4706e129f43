package model_test

import (
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

	It("is checked", func() { Expect(job(func(*model.Job) {}).Validate()).To(Succeed()) })

	DescribeTable("is refused with a fault", func(change func(*model.Job)) {
		Expect(job(change).Validate()).NotTo(Succeed())
	},
		Entry("id", func(j *model.Job) { j.ID = "x" }),
		Entry("payload", func(j *model.Job) { j.Payload = strings.Repeat("x", 5000) }),
		Entry("no steps", func(j *model.Job) { j.Steps = nil }),
		Entry("no tasks", func(j *model.Job) { j.Steps[0].Tasks = 0 }),
		Entry("too many tasks", func(j *model.Job) { j.Steps[0].Tasks = 1 << 62; j.Steps[1].Tasks = 1 << 62 }),
		Entry("a size below zero", func(j *model.Job) { j.Steps[0].Size.CPU = -1 }),
		Entry("after itself", func(j *model.Job) { j.Steps[1].After = []int{1} }),
		Entry("repeated too often", func(j *model.Job) { j.Repeat = 1 << 40 }),
	)

	It("is due by its schedule", func() {
		start := time.Unix(50, 0)
		j := job(func(j *model.Job) { j.Repeat, j.StartAt, j.Interval = 3, start, time.Minute })
		Expect(j.Occurrences()).To(Equal(3))
		Expect(j.Due(2)).To(Equal(start.Add(2 * time.Minute)))
		Expect(job(func(*model.Job) {}).Due(0)).To(BeZero())
	})
})

var _ = Describe("A task's name", func() {
	It("is read as it is written", func() {
		ref := model.TaskRef{Job: id, Occurrence: 1, Step: 2, Index: 30}
		Expect(model.ParseTaskRef(ref.String())).To(Equal(ref))
	})

	DescribeTable("is refused", func(s string) {
		_, err := model.ParseTaskRef(s)
		Expect(err).To(HaveOccurred())
	},
		Entry("empty", ""), Entry("short", id+".0.1"), Entry("no id", "x.0.0.1"), Entry("below zero", id+".0.0.-1"), Entry("huge", id+".0.0.99999999999"),
	)
})

var _ = Describe("A configuration", func() {
	It("routes by host and the longest prefix", func() {
		c := model.Config{Queues: []model.Queue{{Name: "a", Host: "h", Prefix: "/p/"}, {Name: "b", Host: "h", Prefix: "/p/q/"}}}
		Expect(c.Route("H", "/p/q/x").Name).To(Equal("b"))
		Expect(c.Route("h", "/p/x").Name).To(Equal("a"))
		Expect(c.Route("other", "/p/x")).To(BeNil())
		Expect(c.Queue("b").Prefix).To(Equal("/p/q/"))
		Expect(c.Queue("c")).To(BeNil())
	})
})
