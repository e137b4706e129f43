package tasks_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/fake/tasks"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

// The tasks of two jobs; the first two belong to the same gang if there are gangs.
const (
	task    = "00000000000000aa.0.0.0"
	sibling = "00000000000000aa.0.0.1"
	other   = "00000000000000bb.0.0.0"
)

var _ = Describe("A run that saves checkpoints", func() {
	const lease = time.Hour
	var (
		now     time.Time
		witness *tasks.Witness
		worker  *tasks.Worker
		members int
	)
	BeforeEach(func() {
		now, witness, members = time.Unix(1_800_000_000, 0), &tasks.Witness{}, 0
		worker = tasks.New(now, "vm-1", place.Resources{CPU: 4000}, func(task string, run uint32) tasks.Plan {
			return tasks.Plan{
				Size: place.Resources{CPU: 1000}, Work: time.Second, Members: members, SaveInterval: 200 * time.Millisecond,
				Checkpoint: func(n int) string { return fmt.Sprintf("%s run %d save %d", task, run, n) },
			}
		}, witness)
	})
	start := func(task string, run uint32, checkpoint string) {
		o := port.StartOrder{Order: port.Order{Task: task, Run: run}, Checkpoint: checkpoint, Deadline: lease}
		Expect(worker.Start(now, o)).To(Succeed())
	}
	poll := func() port.PollResult {
		res, err := worker.Poll(now, port.Poll{})
		Expect(err).NotTo(HaveOccurred())
		return res
	}

	It("lists the latest one, and one more when it is stopped", func() {
		start(task, 1, "")
		Expect(poll().Running[0].Checkpoint).To(BeEmpty())
		now = now.Add(450 * time.Millisecond)
		Expect(poll().Running[0].Checkpoint).To(Equal(task + " run 1 save 2"))
		Expect(worker.Stop(now, port.Order{Task: task, Run: 1})).To(Succeed())
		now = now.Add(100 * time.Millisecond)
		Expect(poll().Ended).To(HaveExactElements(And(HaveField("Outcome", msgs.Stopped), HaveField("Checkpoint", task+" run 1 save 3"))))
	})

	It("resumes where its checkpoint was saved", func() {
		start(task, 1, "")
		now = now.Add(600 * time.Millisecond)
		saved := poll().Running[0].Checkpoint
		worker.Restart(now)
		start(task, 2, saved)
		now = now.Add(399 * time.Millisecond)
		Expect(poll().Ended).To(BeEmpty())
		now = now.Add(time.Millisecond)
		Expect(poll().Ended).To(HaveExactElements(HaveField("Outcome", msgs.Done)))
		Expect(witness.Faults()).To(BeEmpty())
		Expect(witness.Resumed()).To(Equal(1))
	})

	It("must not start with another task's checkpoint", func() {
		start(other, 1, "")
		start(sibling, 1, "")
		now = now.Add(300 * time.Millisecond)
		poll()
		start(task, 1, other+" run 1 save 1")
		Expect(witness.Faults()).To(HaveExactElements(ContainSubstring("a checkpoint that it has not produced")))
		start(task, 2, sibling+" run 1 save 1")
		Expect(witness.Faults()).To(ContainElement(ContainSubstring("run 2 starts on vm-1 with a checkpoint that it has not produced")))
	})

	It("may start with a checkpoint of another member of its gang", func() {
		members = 2
		start(task, 1, "")
		start(sibling, 1, "")
		now = now.Add(300 * time.Millisecond)
		poll()
		worker.Restart(now)
		start(task, 2, sibling+" run 1 save 1")
		start(sibling, 2, sibling+" run 1 save 1")
		Expect(witness.Faults()).To(BeEmpty())
	})

	It("is not done before its gang is complete, however far its checkpoint was", func() {
		members = 2
		start(task, 1, "")
		start(sibling, 1, "")
		now = now.Add(900 * time.Millisecond)
		saved := poll().Running[0].Checkpoint
		worker.Restart(now)
		start(task, 2, saved)
		now = now.Add(2 * time.Second)
		Expect(poll().Running).To(HaveLen(1))
		start(sibling, 2, saved)
		now = now.Add(200 * time.Millisecond)
		Expect(poll().Ended).To(HaveExactElements(HaveField("Outcome", msgs.Done), HaveField("Outcome", msgs.Done)))
	})
})

var _ = Describe("A run without a run time", func() {
	It("lasts until it is stopped", func() {
		now := time.Unix(1_800_000_000, 0)
		worker := tasks.New(now, "vm-1", place.Resources{}, func(string, uint32) tasks.Plan { return tasks.Plan{} }, &tasks.Witness{})
		Expect(worker.Start(now, port.StartOrder{Order: port.Order{Task: task, Run: 1}, Deadline: 2 * time.Hour})).To(Succeed())
		Expect(worker.Runs(now.Add(time.Hour))).To(HaveExactElements(tasks.Run{Task: task, Number: 1, StartedAt: now}))
		Expect(worker.Stop(now.Add(time.Hour), port.Order{Task: task, Run: 1})).To(Succeed())
		Expect(worker.Runs(now.Add(time.Hour + 100*time.Millisecond))).To(BeEmpty())
	})
})

var _ = Describe("CheckStart", func() {
	It("sees each order that starts a run, and what it returns is recorded", func() {
		now := time.Unix(1_800_000_000, 0)
		witness := &tasks.Witness{CheckStart: func(_ time.Time, worker string, o port.StartOrder) []string {
			return []string{worker + " starts " + o.Task + " with " + o.Payload}
		}}
		worker := tasks.New(now, "vm-1", place.Resources{}, func(string, uint32) tasks.Plan { return tasks.Plan{} }, witness)
		o := port.StartOrder{Order: port.Order{Task: task, Run: 1}, Payload: "payload", Deadline: time.Hour}
		Expect(worker.Start(now, o)).To(Succeed())
		Expect(worker.Start(now, o)).To(Succeed())
		Expect(witness.Faults()).To(HaveExactElements("vm-1 starts " + task + " with payload"))
	})
})
