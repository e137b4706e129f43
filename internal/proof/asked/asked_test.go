package asked_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/proof/asked"
)

// id is the job's id, goneAt the time of the response to its cancellation.
const id = "00000000000000aa"

var goneAt = time.Unix(1_800_000_000, 0)

// start returns an order to start a task.
func start(task, payload string) port.StartOrder {
	return port.StartOrder{Order: port.Order{Task: id + task, Run: 1}, Payload: payload}
}

// after returns the time at which d has passed since the job was cancelled.
func after(d time.Duration) time.Time { return goneAt.Add(d) }

var _ = Describe("A start", func() {
	var (
		job *asked.Job
		vm  asked.Faults
	)
	BeforeEach(func() {
		job = &asked.Job{Payload: "a\x00b", Steps: []model.Step{{Tasks: 2}}}
		vm = asked.Faults{}
	})

	It("may be of a task that was asked for", func() {
		Expect(job.CheckStart(goneAt, start(".0.0.1", "a\x00b"), &vm)).To(BeEmpty())
	})

	DescribeTable("breaks the rule",
		func(task, payload, what string) {
			Expect(job.CheckStart(goneAt, start(task, payload), &vm)).To(ConsistOf(ContainSubstring(what)))
		},
		Entry("with an index that the step lacks", ".0.0.2", "a\x00b", "no such task"),
		Entry("with a step that the job lacks", ".0.1.0", "a\x00b", "no such task"),
		Entry("with an occurrence that the job lacks", ".1.0.0", "a\x00b", "no such task"),
		Entry("with no task", "", "a\x00b", "no such task"),
		Entry("with another payload", ".0.0.0", "a", "with payload"),
	)

	It("breaks the rule if nobody submitted the job", func() {
		job = nil
		Expect(job.CheckStart(goneAt, start(".0.0.0", ""), &vm)).To(ConsistOf(ContainSubstring("nobody")))
	})

	It("breaks the rule later than CancelDelay after the cancellation", func() {
		job.GoneAt, job.GoneStatus = goneAt, 410
		o := start(".0.0.0", "a\x00b")
		Expect(job.CheckStart(after(asked.CancelDelay), o, &vm)).To(BeEmpty())
		Expect(job.CheckStart(after(asked.CancelDelay+1), o, &vm)).To(ConsistOf(ContainSubstring("after the response 410")))
	})

	It("is excused by a fault of its VM only until ContactDelay after it", func() {
		job.GoneAt = goneAt
		o := start(".0.0.0", "a\x00b")
		vm.Until(after(time.Second))
		Expect(job.CheckStart(after(time.Second+asked.ContactDelay), o, &vm)).To(BeEmpty())
		Expect(job.CheckStart(after(time.Second+asked.ContactDelay+1), o, &vm)).To(HaveLen(1))
	})

	It("is excused while a fault of its VM is in effect", func() {
		job.GoneAt = goneAt
		end := vm.Begin()
		Expect(job.CheckStart(after(time.Hour), start(".0.0.0", "a\x00b"), &vm)).To(BeEmpty())
		end()
	})
})

var _ = Describe("A run", func() {
	const (
		grace = asked.CancelDelay + asked.StopTime
		lease = 6 * time.Second
	)
	var (
		job                asked.Job
		vm, entries, store asked.Faults
		started            time.Time
	)
	BeforeEach(func() {
		job = asked.Job{GoneAt: goneAt}
		vm, entries, store = asked.Faults{}, asked.Faults{}, asked.Faults{}
		started = after(-time.Second)
	})
	outlasts := func(d time.Duration) bool { return job.Outlasts(after(d), started, &vm, &entries, &store) }

	It("of a job that was not cancelled may go on", func() {
		job.GoneAt = time.Time{}
		Expect(outlasts(time.Hour)).To(BeFalse())
	})

	It("has to be over after a calm stretch", func() {
		Expect(outlasts(grace)).To(BeFalse())
		Expect(outlasts(grace + 1)).To(BeTrue())
	})

	DescribeTable("may go on until the stretch after a fault of",
		func(which func() *asked.Faults) {
			which().Until(after(time.Second))
			Expect(outlasts(time.Second + grace)).To(BeFalse())
			Expect(outlasts(time.Second + grace + 1)).To(BeTrue())
		},
		Entry("its VM", func() *asked.Faults { return &vm }),
		Entry("an entry", func() *asked.Faults { return &entries }),
		Entry("the store", func() *asked.Faults { return &store }),
	)

	It("has to be over after a lease even if its VM and entries are disturbed all the while", func() {
		defer vm.Begin()()
		defer entries.Begin()()
		Expect(outlasts(grace + lease)).To(BeFalse())
		Expect(outlasts(grace + lease + 1)).To(BeTrue())
	})

	It("that was started late counts from ContactDelay after its start", func() {
		started = after(time.Minute)
		Expect(outlasts(time.Minute + asked.ContactDelay + grace)).To(BeFalse())
		Expect(outlasts(time.Minute + asked.ContactDelay + grace + 1)).To(BeTrue())
	})
})
