package lead_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

const (
	// firstTask is the only task of job 1, secondTask that of job 2.
	firstTask, secondTask = "0000000000000001.0.0.0", "0000000000000002.0.0.0"
	// largeCPU is more than half of a VM's processors.
	largeCPU = 9000
)

// saving is a step whose tasks save checkpoints. Each VM runs one of them.
func saving(tasks int, change func(*model.Step)) model.Step {
	s := model.Step{Tasks: tasks, Size: place.Resources{CPU: largeCPU, Memory: 1000}, Estimate: 5 * time.Second, Checkpoints: true}
	change(&s)
	return s
}

// listed returns a run that its worker lists with a checkpoint.
func listed(task string, run uint32, checkpoint string) msgs.RunStatus {
	return msgs.RunStatus{Task: task, Run: run, Checkpoint: checkpoint, Percent: 50}
}

// end reports the end of a run at VM n.
func (h *harness) end(n int, task string, run uint32, o msgs.Outcome, checkpoint string) {
	number := int64(1)
	if o == msgs.Lost {
		number = 0
	}
	h.leader.Handle(h.now, uint64(firstAgentConn+n), &msgs.Message{Report: &msgs.Report{VM: vmInfo(n).ID, Incarnation: 5, Ends: []msgs.RunEnd{
		{Number: number, Task: task, Run: run, Outcome: o, Checkpoint: checkpoint},
	}}})
}

// startsOf advances the time until orders are sent, and returns the starts of a task.
func (h *harness) startsOf(task string) []msgs.Start {
	h.advance(flushTime)
	var list []msgs.Start
	for _, s := range h.starts() {
		if s.Task == task {
			list = append(list, s)
		}
	}
	return list
}

// Each order to start a run names the payload of its job and a checkpoint that a run of the same
// task has saved, or of the same gang.
var _ = Describe("The next run of a task", func() {
	var h *harness
	BeforeEach(func() {
		h = newHarness()
		h.join(0)
		one, two := job(1, saving(1, func(*model.Step) {})), job(2, saving(1, func(*model.Step) {}))
		one.Payload, two.Payload = "one", "two"
		h.submit(one)
		Expect(h.startsOf(firstTask)).To(ConsistOf(And(HaveField("Payload", "one"), HaveField("Checkpoint", ""))))
		h.submit(two)
		h.join(1)
		Expect(h.startsOf(secondTask)).To(ConsistOf(And(HaveField("Payload", "two"), HaveField("Checkpoint", ""))))
		h.requestLease(0, false, listed(firstTask, 1, "one-1"))
		h.requestLease(1, false, listed(secondTask, 1, "two-1"))
		h.advance(flushTime)
		h.out = nil
	})

	resumesFrom := func(task, payload, checkpoint string) {
		GinkgoHelper()
		Expect(h.startsOf(task)).To(ConsistOf(And(HaveField("Payload", payload), HaveField("Checkpoint", checkpoint), HaveField("Run", uint32(2)))))
	}

	DescribeTable("resumes from the latest checkpoint of the task", func(o msgs.Outcome, atEnd, want string) {
		h.end(0, firstTask, 1, o, atEnd)
		resumesFrom(firstTask, "one", want)
	},
		Entry("listed while it ran, if its end names none", msgs.Stopped, "", "one-1"),
		Entry("named by its end", msgs.Stopped, "one-2", "one-2"),
		Entry("named by the end of a run that failed", msgs.Failed, "one-2", "one-2"),
		Entry("named by the end of a run whose lease expired", msgs.LeaseExpired, "one-2", "one-2"),
		Entry("listed while it ran, if it was lost", msgs.Lost, "", "one-1"),
		Entry("named by an end without a known outcome", msgs.Unknown, "one-2", "one-2"),
	)

	It("does not resume from the checkpoint of a run that the table does not have", func() {
		for _, stray := range []msgs.RunStatus{listed(firstTask, 7, "stray"), listed(secondTask, 7, "stray"), listed("0000000000000009.0.0.0", 1, "stray"), listed("x", 1, "stray")} {
			h.requestLease(0, false, listed(firstTask, 1, "one-1"), stray)
		}
		h.requestLease(1, false, listed(secondTask, 1, ""), listed(firstTask, 1, "elsewhere"))
		for _, n := range []uint32{0, 7} {
			h.end(0, firstTask, n, msgs.Stopped, "stray")
			h.end(0, firstTask, n, msgs.Failed, "stray")
		}
		h.end(0, firstTask, 1, msgs.Stopped, "")
		h.advance(flushTime)
		h.requestLease(0, false)
		h.requestLease(1, false, listed(secondTask, 1, "two-1"))
		h.advance(time.Second)
		for _, s := range h.starts() {
			Expect(s).To(Or(HaveField("Checkpoint", "one-1"), And(HaveField("Task", secondTask), HaveField("Checkpoint", "two-1"))))
		}
	})

	It("does not resume from what another incarnation of the worker reports of its own runs", func() {
		vm := vmInfo(0)
		vm.Incarnation++
		h.seq++
		h.leader.Handle(h.now, firstAgentConn, &msgs.Message{LeaseRequest: &msgs.LeaseRequest{Seq: h.seq, Synced: true, RunsListed: true, VM: vm}})
		h.end(0, firstTask, 1, msgs.Stopped, "late")
		resumesFrom(firstTask, "one", "one-1")
	})

	It("resumes from the checkpoint that was listed for a run that was given up and taken back", func() {
		h.end(0, firstTask, 1, msgs.Lost, "")
		h.requestLease(0, false, listed(firstTask, 1, "one-2"))
		h.advance(flushTime)
		h.out = nil
		h.end(0, firstTask, 1, msgs.Stopped, "")
		h.advance(flushTime)
		Expect(h.starts()).To(HaveEach(Or(HaveField("Checkpoint", "one-2"), HaveField("Task", secondTask))))
	})

	It("resumes from a checkpoint of the task under the next leader", func() {
		h.lead(epoch + 1)
		h.join(0, listed(firstTask, 1, "one-2"))
		h.join(1, listed(secondTask, 1, "two-2"))
		h.end(0, firstTask, 1, msgs.Stopped, "")
		resumesFrom(firstTask, "one", "one-2")
		h.end(1, secondTask, 1, msgs.Stopped, "two-3")
		resumesFrom(secondTask, "two", "two-3")
	})

	It("resumes from the stored checkpoint under the next leader, if no agent lists a later one", func() {
		h.end(0, firstTask, 1, msgs.Stopped, "one-2")
		Expect(h.nextBatch()).To(BeTrue())
		h.lead(epoch + 1)
		h.join(0)
		Expect(h.startsOf(firstTask)).To(HaveEach(And(HaveField("Payload", "one"), HaveField("Checkpoint", "one-2"))))
	})
})

var _ = Describe("A copy of a task", func() {
	It("resumes from the checkpoint of the run that it copies", func() {
		h := newHarness()
		h.join(0)
		h.submit(job(1, saving(1, func(s *model.Step) { s.Speculative, s.Estimate = true, 500*time.Millisecond })))
		h.advance(flushTime)
		h.join(1)
		h.out = nil
		var copies []msgs.Start
		for range 15 {
			h.requestLease(0, false, listed(firstTask, 1, "saved"))
			h.requestLease(1, false)
			h.advance(400 * time.Millisecond)
			for _, s := range h.starts() {
				if s.Run == 2 {
					copies = append(copies, s)
				}
			}
		}
		Expect(copies).To(ConsistOf(And(HaveField("Payload", "work"), HaveField("Checkpoint", "saved"))))
	})
})

var _ = Describe("A run that is moved", func() {
	It("resumes from the checkpoint that its stop saved", func() {
		h := newHarness()
		h.join(0)
		h.submit(job(1, saving(1, func(s *model.Step) { s.Estimate = 500 * time.Millisecond })))
		h.advance(flushTime)
		h.join(1)
		h.out = nil
		var stops []msgs.Stop
		for range 15 {
			h.requestLease(0, false, listed(firstTask, 1, "saved"))
			h.requestLease(1, false)
			h.advance(400 * time.Millisecond)
			stops = append(stops, h.stops()...)
		}
		Expect(stops).NotTo(BeEmpty())
		h.end(0, firstTask, 1, msgs.Stopped, "at its stop")
		h.requestLease(0, false)
		h.requestLease(1, false)
		Expect(h.startsOf(firstTask)).To(ConsistOf(And(HaveField("Run", uint32(2)), HaveField("Checkpoint", "at its stop"))))
	})
})

var _ = Describe("Each task of a job", func() {
	It("resumes from its own checkpoint, in each step and occurrence", func() {
		const vms = 8
		h := newHarness()
		j := job(1, saving(1, func(*model.Step) {}), saving(3, func(*model.Step) {}))
		j.Repeat, j.StartAt, j.Interval = 2, h.now, time.Millisecond
		for n := range vms {
			h.join(n)
		}
		h.submit(j)
		h.advance(flushTime)
		placed := map[string]msgs.RunStatus{}
		for _, o := range h.orders() {
			for _, s := range o.Starts {
				placed[o.VM] = listed(s.Task, s.Run, "of "+s.Task)
			}
		}
		Expect(placed).To(HaveLen(vms))
		for n := range vms {
			h.requestLease(n, false, placed[vmInfo(n).ID])
		}
		for n := range vms {
			atEnd := ""
			if n%2 == 0 {
				atEnd = "end of " + placed[vmInfo(n).ID].Task
			}
			h.end(n, placed[vmInfo(n).ID].Task, 1, msgs.Stopped, atEnd)
		}
		h.advance(flushTime)
		starts := h.starts()
		Expect(starts).To(HaveLen(vms))
		for _, s := range starts {
			Expect(s.Checkpoint).To(BeElementOf("of "+s.Task, "end of "+s.Task))
		}
	})
})
