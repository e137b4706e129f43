package lead_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

// crashes drives a leader whose VMs crash. Each VM that crashed comes back with another id.
type crashes struct {
	*harness
	// vms is the number of VMs, next the number of the next worker.
	vms, next int
	// running holds the runs of each worker, by its number.
	running map[int][]msgs.RunRef
	// settled holds the workers whose runs are proven.
	settled map[int]bool
	// number is that of the latest crash.
	number uint64
}

func newCrashes(vms int) *crashes {
	c := &crashes{harness: newHarness(), vms: vms, next: vms, running: map[int][]msgs.RunRef{}, settled: map[int]bool{}}
	for n := range vms {
		c.running[n] = nil
		c.join(n)
	}
	return c
}

// contact sends a lease request of each worker, which lists its runs.
func (c *crashes) contact() {
	for _, n := range slices.Sorted(maps.Keys(c.running)) {
		c.seq++
		m := &msgs.Message{
			LeaseRequest: &msgs.LeaseRequest{Seq: c.seq, RunsListed: true, VM: vmInfo(n)}, Unproven: &msgs.Unproven{},
		}
		for _, r := range c.running[n] {
			m.LeaseRequest.Runs = append(m.LeaseRequest.Runs, msgs.RunStatus{Task: r.Task, Run: r.Run})
		}
		if !c.settled[n] {
			m.Unproven.Runs = c.running[n]
		}
		c.leader.Handle(c.now, uint64(firstAgentConn+n), m)
	}
}

// wait lets time pass with regular contacts and adds the runs that are started.
func (c *crashes) wait(d time.Duration) []msgs.RunRef {
	var started []msgs.RunRef
	for end := c.now.Add(d); c.now.Before(end); {
		c.contact()
		c.advance(100 * time.Millisecond)
		for _, m := range c.out {
			o := m.Message.Orders
			if o == nil {
				continue
			}
			n := int(m.Conn) - firstAgentConn
			for _, s := range o.Starts {
				c.running[n] = append(c.running[n], msgs.RunRef{Task: s.Task, Run: s.Run})
				c.settled[n] = false
				started = append(started, msgs.RunRef{Task: s.Task, Run: s.Run})
			}
		}
		c.out = nil
	}
	return started
}

// settle proves all runs, except on one worker.
func (c *crashes) settle(except int) {
	for n := range c.running {
		c.settled[n] = n != except
	}
}

// workerOf returns the worker that runs a task, or a negative number.
func (c *crashes) workerOf(task string) int {
	for n, runs := range c.running {
		if slices.ContainsFunc(runs, func(r msgs.RunRef) bool { return r.Task == task }) {
			return n
		}
	}
	return -1
}

// crash ends a worker, whose runs are unproven unless they are settled, and lets the next one
// join. The messages with the crash and the end are returned.
func (c *crashes) crash(n int) *msgs.Message {
	gone := vmInfo(n)
	gone.Down = true
	c.number++
	c.seq++
	m := &msgs.Message{LeaseRequest: &msgs.LeaseRequest{Seq: c.seq, VM: gone}}
	if !c.settled[n] {
		m.Crashes = []msgs.Crash{{Number: c.number, VM: gone.ID, Incarnation: gone.Incarnation, Runs: c.running[n]}}
	}
	c.leader.Handle(c.now, uint64(firstAgentConn+n), m)
	delete(c.running, n)
	c.running[c.next] = nil
	c.join(c.next)
	c.next++
	return m
}

// takeOver lets a new leader take over, which all workers join.
func (c *crashes) takeOver(epoch uint64) {
	c.lead(epoch)
	for _, n := range slices.Sorted(maps.Keys(c.running)) {
		var runs []msgs.RunStatus
		for _, r := range c.running[n] {
			runs = append(runs, msgs.RunStatus{Task: r.Task, Run: r.Run})
		}
		c.join(n, runs...)
	}
}

var _ = Describe("A task that crashes the workers that start it", func() {
	const id = "0000000000000001"
	const deadly = id + ".0.0.0"
	step := func(n int) model.Step {
		return model.Step{Tasks: n, Size: place.Resources{CPU: 500, Memory: 500}, Estimate: time.Minute}
	}

	It("is given up after two crashes, and its job is shown as failed", func() {
		c := newCrashes(3)
		c.submit(job(1, step(1)))
		for range 2 {
			Expect(c.wait(300 * time.Millisecond)).To(HaveLen(1))
			c.crash(c.workerOf(deadly))
		}
		Expect(c.wait(5 * time.Second)).To(BeEmpty())
		Expect(c.state(id)).To(Equal("failed"))
		Expect(c.leader.Stats().GivenUp).To(Equal(uint64(1)))
	})

	It("is found among its neighbours, which all live", func() {
		c := newCrashes(4)
		c.submit(job(1, step(1)))
		for n := 2; n < 12; n++ {
			c.submit(job(n, step(4)))
		}
		c.wait(300 * time.Millisecond)
		crashed := 0
		for range 60 {
			if n := c.workerOf(deadly); n >= 0 {
				c.crash(n)
				crashed++
			}
			c.wait(300 * time.Millisecond)
			c.settle(c.workerOf(deadly))
		}
		Expect(crashed).To(BeNumerically("<=", 3))
		Expect(c.state(id)).To(Equal("failed"))
		for n := 2; n < 12; n++ {
			Expect(c.state(model.ID(fmt.Sprintf("%016x", n)))).To(Equal("running"))
		}
		total := 0
		for _, runs := range c.running {
			total += len(runs)
		}
		Expect(total).To(Equal(40), "all tasks of the neighbours run")
	})

	// Workers crash one after the other for another reason, which makes some tasks the only
	// suspects by chance.
	It("is not told by two crashes among other tasks, but by three", func() {
		c := newCrashes(2)
		c.submit(job(1, step(1)))
		c.wait(300 * time.Millisecond)
		c.submit(job(2, step(4)))
		c.wait(300 * time.Millisecond)
		Expect(c.running[c.workerOf(deadly)]).To(HaveLen(3), "others run beside it")
		c.crash(c.workerOf(deadly))
		for i := range 2 {
			for range 10 {
				c.wait(300 * time.Millisecond)
				c.settle(-1)
			}
			n := c.workerOf(deadly)
			Expect(n).To(BeNumerically(">=", 0), "crash %d", i+2)
			Expect(c.state(id)).To(Equal("running"))
			c.number++
			c.leader.Handle(c.now, uint64(firstAgentConn+n), &msgs.Message{Crashes: []msgs.Crash{{Number: c.number, VM: vmInfo(n).ID, Incarnation: vmInfo(n).Incarnation, Runs: []msgs.RunRef{
				c.running[n][slices.IndexFunc(c.running[n], func(r msgs.RunRef) bool { return r.Task == deadly })],
				{Task: "00000000000000ff.0.0.0", Run: 1},
			}}}})
			c.crash(n)
		}
		c.wait(300 * time.Millisecond)
		Expect(c.state(id)).To(Equal("failed"))
	})

	It("is counted by a new leader as by the earlier one", func() {
		c := newCrashes(3)
		c.submit(job(1, step(1)))
		c.wait(300 * time.Millisecond)
		c.crash(c.workerOf(deadly))
		Expect(c.wait(300 * time.Millisecond)).To(HaveLen(1))
		c.takeOver(epoch + 1)
		c.wait(300 * time.Millisecond)
		c.crash(c.workerOf(deadly))
		Expect(c.wait(5 * time.Second)).To(BeEmpty())
		Expect(c.state(id)).To(Equal("failed"))
	})

	It("is counted if the leader was lost before it had stored the crash", func() {
		c := newCrashes(3)
		c.submit(job(1, step(1)))
		epochs := uint64(0)
		for range 2 {
			c.wait(300 * time.Millisecond)
			m := c.crash(c.workerOf(deadly))
			epochs++
			c.takeOver(epoch + epochs)
			c.leader.Handle(c.now, firstAgentConn, m)
			c.leader.Handle(c.now, firstAgentConn, m)
		}
		Expect(c.wait(5 * time.Second)).To(BeEmpty())
		Expect(c.state(id)).To(Equal("failed"))
	})

	It("is counted once for a crash that is reported again", func() {
		c := newCrashes(3)
		c.submit(job(1, step(1)))
		c.wait(300 * time.Millisecond)
		m := c.crash(c.workerOf(deadly))
		for range 5 {
			c.leader.Handle(c.now, firstAgentConn, m)
			c.wait(100 * time.Millisecond)
		}
		Expect(c.state(id)).To(Equal("running"))
		Expect(c.leader.Stats().Crashes).To(Equal(uint64(1)))
	})

	It("has its crash stored before its next start leaves, and the agent is told then", func() {
		c := newCrashes(2)
		c.submit(job(1, step(1)))
		c.wait(300 * time.Millisecond)
		c.crash(c.workerOf(deadly))
		c.contact()
		c.now = c.now.Add(50 * time.Millisecond)
		Expect(c.nextBatch()).To(BeTrue())
		sent := func() (starts, stored int) {
			for _, m := range c.out {
				if m.Message.Orders != nil {
					starts += len(m.Message.Orders.Starts)
				}
				if m.Message.CrashesStored != nil {
					Expect(m.Message.CrashesStored.Number).To(Equal(c.number))
					stored++
				}
			}
			return starts, stored
		}
		starts, stored := sent()
		Expect(starts + stored).To(BeZero())
		c.confirmBatch()
		starts, stored = sent()
		Expect(starts).To(Equal(1))
		Expect(stored).To(Equal(1))
	})

	// Found by a day with many such tasks: a job was given up of which only one start had had an
	// effect before a worker crashed.
	It("is not taken for a task whose start had no effect before the worker crashed", func() {
		c := newCrashes(3)
		c.submit(job(1, step(1)))
		for range 2 {
			Expect(c.wait(300 * time.Millisecond)).To(HaveLen(1))
			n := c.workerOf(deadly)
			unanswered := c.running[n]
			c.running[n] = nil
			c.number++
			c.leader.Handle(c.now, uint64(firstAgentConn+n), &msgs.Message{Crashes: []msgs.Crash{{Number: c.number, VM: vmInfo(n).ID, Incarnation: 5, Unanswered: unanswered}}})
			c.crash(n)
		}
		Expect(c.wait(300 * time.Millisecond)).To(HaveLen(1))
		Expect(c.state(id)).To(Equal("queued"))
	})

	It("is not given up if the workers under it crash once it is proven", func() {
		c := newCrashes(3)
		long := step(1)
		long.LongRunning = true
		c.submit(job(1, long))
		for range 6 {
			c.wait(300 * time.Millisecond)
			c.settle(-1)
			c.wait(300 * time.Millisecond)
			c.crash(c.workerOf(deadly))
		}
		c.wait(300 * time.Millisecond)
		Expect(c.state(id)).To(Equal("running"))
	})

	It("fails the job if it is long-running", func() {
		c := newCrashes(3)
		long := step(1)
		long.LongRunning = true
		c.submit(job(1, long))
		for range 2 {
			c.wait(300 * time.Millisecond)
			c.crash(c.workerOf(deadly))
		}
		Expect(c.wait(5 * time.Second)).To(BeEmpty())
		Expect(c.state(id)).To(Equal("failed"))
	})

	It("fails its gang, whichever member crashes the worker", func() {
		c := newCrashes(4)
		gang := step(2)
		gang.Gang, gang.MaxPerVM = true, 1
		c.submit(job(1, gang))
		starts := 0
		for i := range 6 {
			starts += len(c.wait(2 * time.Second))
			if n := c.workerOf(fmt.Sprintf("%s.0.0.%d", id, i%2)); n >= 0 {
				c.crash(n)
			}
			// The platform ends the other member.
			for n, runs := range c.running {
				for _, r := range runs {
					c.leader.Handle(c.now, uint64(firstAgentConn+n), &msgs.Message{Report: &msgs.Report{
						VM: vmInfo(n).ID, Incarnation: vmInfo(n).Incarnation, Ends: []msgs.RunEnd{{Number: int64(i + 1), Task: r.Task, Run: r.Run, Outcome: msgs.Broken}},
					}})
				}
				c.running[n] = nil
			}
		}
		Expect(starts).To(Equal(4))
		Expect(c.state(id)).To(Equal("failed"))
	})

	It("excuses its neighbours, which start again at once and together", func() {
		c := newCrashes(1)
		c.submit(job(1, step(1)))
		c.wait(300 * time.Millisecond)
		c.crash(0)
		Expect(c.wait(300 * time.Millisecond)).To(HaveLen(1))
		c.settle(-1)
		c.submit(job(2, step(3)))
		Expect(c.wait(300 * time.Millisecond)).To(HaveLen(3))
		c.crash(1)
		Expect(c.wait(200 * time.Millisecond)).To(HaveLen(3))
		Expect(c.state(id)).To(Equal("failed"))
	})

	// Short tasks waited for quarantine when many workers crashed at once for another reason.
	It("is not looked for among the tasks of workers that crash at the same time", func() {
		c := newCrashes(8)
		c.submit(job(1, step(24)))
		c.wait(300 * time.Millisecond)
		for _, n := range slices.Sorted(maps.Keys(c.running)) {
			c.crash(n)
		}
		Expect(c.wait(200 * time.Millisecond)).To(HaveLen(24))
	})

	It("keeps no more than a quarter of the VMs from other work, and waits for quarantine for 2 s at most", func() {
		c := newCrashes(8)
		c.submit(job(1, step(24)))
		c.wait(300 * time.Millisecond)
		for _, n := range slices.Sorted(maps.Keys(c.running)) {
			c.crash(n)
			c.now = c.now.Add(60 * time.Millisecond)
		}
		c.submit(job(2, step(24)))
		begin := c.now
		Expect(c.wait(200 * time.Millisecond)).NotTo(BeEmpty())
		others := 0
		for _, runs := range c.running {
			if slices.ContainsFunc(runs, func(r msgs.RunRef) bool { return model.JobOf(r.Task) != id }) {
				others++
			}
		}
		Expect(others).To(Equal(6))
		c.wait(2200*time.Millisecond - c.now.Sub(begin))
		total := 0
		for _, runs := range c.running {
			total += len(runs)
		}
		Expect(total).To(Equal(48))
	})
})
