package lead_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

// colocation simulates VMs with one long-running task each, which best-effort tasks of the
// image "heavy" slow down and those of the image "light" do not.
type colocation struct {
	*harness
	vms int
	// runs holds the runs of each VM by task.
	runs []map[string]simulatedRun
	// minSpeed holds the lowest speed limit ordered for runs of each image, in percent.
	minSpeed map[string]int
	// overTarget is how long long-running tasks were over their target, summed over all VMs.
	overTarget time.Duration
}

// simulatedRun is a run with its image and its speed limit in percent.
type simulatedRun struct {
	run   uint32
	image string
	speed int
}

const (
	targetMS    = 150
	idleLatency = 25.0
	// bestEffortCPU is the request of a best-effort task, in thousandths of a processor.
	// heavyInterference is the utilization that one task of the heavy image adds to a
	// long-running task.
	bestEffortCPU     = 2000
	heavyInterference = 0.4
	// highRequest is the request of a long-running task that leaves little free capacity,
	// lowRequest the one that leaves much, in thousandths of a processor. A VM has 16,000.
	highRequest, lowRequest = 9000, 4000
	// belowMaxIdle is shorter than the time after which a job without a run starts one
	// regardless of free processors.
	belowMaxIdle = 1200 * time.Millisecond
)

// newColocation returns VMs that run one long-running task each, which requests cpu
// thousandths of a processor.
func newColocation(vms int, cpu int64) *colocation {
	c := &colocation{harness: newHarness(), vms: vms, minSpeed: map[string]int{}}
	for n := range vms {
		c.runs = append(c.runs, map[string]simulatedRun{})
		c.join(n)
	}
	longRunning := model.Step{
		Tasks: vms, LongRunning: true, Image: "s", MaxPerVM: 1, LatencyTarget: targetMS * time.Millisecond,
		Size: place.Resources{CPU: cpu, Memory: 1000},
	}
	j := job(1, longRunning)
	c.request(msgs.Submit, j, j.ID)
	c.advance(3 * time.Second)
	return c
}

// submit submits a best-effort job.
func (c *colocation) submit(n int, image string, tasks int) {
	j := job(n, model.Step{
		Tasks: tasks, BestEffort: true, Image: image, Size: place.Resources{CPU: bestEffortCPU, Memory: 1000}, Estimate: time.Minute,
	})
	c.request(msgs.Submit, j, j.ID)
}

// simulate lets the VMs report for a while. baseLoad is the utilization of each long-running
// task without interference.
func (c *colocation) simulate(baseLoad float64, d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		for n := range c.vms {
			c.requestLease(n, false, c.statuses(n, baseLoad)...)
		}
		c.advance(400 * time.Millisecond)
		c.applyOrders()
	}
}

// statuses returns the run statuses that VM n reports.
func (c *colocation) statuses(n int, baseLoad float64) []msgs.RunStatus {
	var statuses []msgs.RunStatus
	utilization := baseLoad
	for task, r := range c.runs[n] {
		if r.image == "s" {
			continue
		}
		if r.image == "heavy" {
			utilization += heavyInterference * float64(r.speed) / 100
		}
		statuses = append(statuses, msgs.RunStatus{Task: task, Run: r.run, Percent: 5, Measurement: bestEffortCPU / 100 * r.speed})
	}
	latency := idleLatency / (1 - min(utilization, 0.98))
	if latency > targetMS {
		c.overTarget += 400 * time.Millisecond
	}
	for task, r := range c.runs[n] {
		if r.image == "s" {
			statuses = append(statuses, msgs.RunStatus{Task: task, Run: r.run, Percent: 100, Measurement: int(latency)})
		}
	}
	return statuses
}

// applyOrders applies the leader's orders to the simulated VMs.
func (c *colocation) applyOrders() {
	for _, o := range c.orders() {
		var n int
		_, err := fmt.Sscanf(o.VM, "vm-%d", &n)
		Expect(err).NotTo(HaveOccurred())
		for _, start := range o.Starts {
			c.runs[n][start.Task] = simulatedRun{start.Run, c.imageOf(start.Task), start.Percent}
		}
		for _, throttle := range o.Throttles {
			r := c.runs[n][throttle.Task]
			r.speed = throttle.Percent
			c.runs[n][throttle.Task] = r
			if before, ok := c.minSpeed[r.image]; !ok || throttle.Percent < before {
				c.minSpeed[r.image] = throttle.Percent
			}
		}
		for _, stop := range o.Stops {
			delete(c.runs[n], stop.Task)
		}
	}
}

// imageOf returns the image of a task, which follows from the number of its job.
func (c *colocation) imageOf(task string) string {
	ref, err := model.ParseTaskRef(task)
	Expect(err).NotTo(HaveOccurred())
	switch ref.Job[len(ref.Job)-1] {
	case '1':
		return "s"
	case '2', '4':
		return "heavy"
	}
	return "light"
}

// count returns the number of runs of an image on all VMs.
func (c *colocation) count(image string) int {
	n := 0
	for _, runs := range c.runs {
		for _, r := range runs {
			if r.image == image {
				n++
			}
		}
	}
	return n
}

var _ = Describe("Best-effort tasks of several images beside long-running tasks of one", func() {
	It("are throttled only if their image interferes", func() {
		c := newColocation(4, highRequest)
		c.applyOrders()
		c.submit(2, "heavy", 2)
		c.submit(3, "light", 4)
		c.simulate(0.3, 6*time.Second)
		c.simulate(0.6, 3*time.Second)
		Expect(c.minSpeed).To(HaveKeyWithValue("heavy", BeNumerically("<", 60)))
		Expect(c.minSpeed).NotTo(HaveKey("light"))
		Expect(c.overTarget).To(BeNumerically("<", 8*time.Second), "of 36 s")
	})

	It("do not start where they would overload the long-running task", func() {
		c := newColocation(4, highRequest)
		c.applyOrders()
		c.submit(2, "heavy", 2)
		c.submit(3, "light", 2)
		c.simulate(0.3, 6*time.Second)
		c.simulate(0.6, 4*time.Second)
		before, overTarget := c.count("heavy"), c.overTarget
		c.submit(4, "heavy", 4)
		c.submit(5, "light", 4)
		c.simulate(0.6, belowMaxIdle)
		Expect(c.count("heavy")).To(Equal(before))
		Expect(c.count("light")).To(Equal(6))
		Expect(c.overTarget - overTarget).To(BeNumerically("<=", 800*time.Millisecond))
	})

	// Guards against a best-effort job that waited although more than half of the VMs'
	// processors were free, because every start was expected to overload a long-running
	// task. Found by the trouble-1 scenario of Conteo with seed 24.
	It("start throttled instead of waiting where the VMs are underused", func() {
		c := newColocation(4, lowRequest)
		c.applyOrders()
		c.submit(2, "heavy", 2)
		c.simulate(0.3, 6*time.Second)
		c.simulate(0.6, 4*time.Second)
		before, overTarget := c.count("heavy"), c.overTarget
		c.submit(4, "heavy", 4)
		c.simulate(0.6, belowMaxIdle)
		Expect(c.count("heavy")).To(Equal(before + 4))
		c.simulate(0.6, 4*time.Second)
		Expect(c.overTarget-overTarget).To(BeNumerically("<=", 4*time.Second), "of 21 s")
	})

	// The load of all services together decided whether the VMs counted as underused, so that
	// best-effort jobs of one service waited while another was busy.
	It("start throttled while the VMs of another service are busy", func() {
		c := newColocation(4, lowRequest)
		c.applyOrders()
		c.submit(2, "heavy", 2)
		c.simulate(0.3, 6*time.Second)
		c.simulate(0.6, 4*time.Second)
		busy := vmInfo(9)
		busy.Service, busy.Capacity = "other", place.Resources{CPU: 160000, Memory: 64000}
		contact := func(synced bool, runs ...msgs.RunStatus) {
			c.seq++
			c.leader.Handle(c.now, firstAgentConn+9, &msgs.Message{LeaseRequest: &msgs.LeaseRequest{Seq: c.seq, Synced: synced, RunsListed: true, Runs: runs, VM: busy}})
		}
		contact(true)
		j := job(3, model.Step{Tasks: 1, LongRunning: true, Size: busy.Capacity})
		j.Queue.Service = "other"
		c.harness.submit(j)
		c.advance(flushTime)
		Expect(c.starts()).To(HaveLen(1))
		contact(false, msgs.RunStatus{Task: "0000000000000003.0.0.0", Run: 1})
		before := c.count("heavy")
		c.submit(4, "heavy", 4)
		for range 3 {
			c.simulate(0.6, belowMaxIdle/3)
			contact(false, msgs.RunStatus{Task: "0000000000000003.0.0.0", Run: 1})
		}
		Expect(c.count("heavy")).To(Equal(before + 4))
	})
})
