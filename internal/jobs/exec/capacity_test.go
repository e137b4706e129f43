package exec_test

import (
	"errors"
	"log/slog"
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/exec"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

// say passes a heartbeat of the worker with the given capacity to the agent. Its clock reading
// is sent before now.
func (h *harness) say(seq int64, clock time.Duration, capacity place.Resources) {
	h.agent.Heartbeat(h.now, port.Heartbeat{Seq: seq, Clock: clock, VM: msgs.VM{
		ID: "vm-1", Incarnation: h.incarnation, Service: "registry", Capacity: capacity,
	}})
}

// clock returns the reading of the worker's clock, as respond sends it.
func (h *harness) clock() time.Duration { return h.now.Sub(time.Unix(0, 0)) }

var _ = Describe("An agent whose worker's capacity changes", func() {
	large, small := place.Resources{CPU: 64000, Memory: 256000, Accelerators: 4}, place.Resources{CPU: 8000, Memory: 64000, Accelerators: 1}
	const beat = 1500 * time.Millisecond
	var h *harness
	BeforeEach(func() { h = newHarness() })

	// pass lets the time between two heartbeats pass.
	pass := func() {
		h.now = h.now.Add(beat)
		h.poll(port.PollResult{})
	}

	It("ignores a heartbeat that arrives after a later one", func() {
		h.say(7, h.clock(), large)
		sent := h.clock()
		pass()
		h.say(9, h.clock(), small)
		h.say(8, sent+beat/2, large)
		Expect(h.agent.VM().Capacity).To(Equal(small))
		pass()
		h.say(10, h.clock(), large)
		Expect(h.agent.VM().Capacity).To(Equal(large))
	})

	DescribeTable("goes on following the worker after one heartbeat with an odd number", func(clockOff time.Duration) {
		h.say(7, h.clock(), large)
		pass()
		h.say(math.MaxInt64, h.clock()+clockOff, large)
		pass()
		h.say(9, h.clock(), small)
		Expect(h.agent.VM().Capacity).To(Equal(small))
	},
		Entry("and the right clock reading", time.Duration(0)),
		Entry("and a clock reading far ahead", 1000*time.Hour),
		Entry("and a clock reading far behind", -time.Hour),
	)

	DescribeTable("tells the leader at once", func(before, after place.Resources) {
		h.say(7, h.clock(), before)
		pass()
		h.grant()
		h.now = h.now.Add(10 * time.Millisecond)
		h.say(8, h.clock(), after)
		Expect(h.agent.Messages()).To(ConsistOf(HaveField("LeaseRequest.VM.Capacity", Equal(after))))
		h.say(9, h.clock(), after)
		Expect(h.agent.Messages()).To(BeEmpty())
	},
		Entry("when it has shrunk", large, small),
		Entry("when it has grown", small, large),
		Entry("when the memory alone has shrunk", large, place.Resources{CPU: 64000, Memory: 64000, Accelerators: 4}),
		Entry("when the accelerators alone have shrunk", large, place.Resources{CPU: 64000, Memory: 256000}),
	)

	It("follows a worker after a first heartbeat with an odd number and clock reading", func() {
		h.agent = exec.New("node-1", slog.New(slog.DiscardHandler))
		h.say(math.MaxInt64, h.clock()+1000*time.Hour, large)
		h.now = h.now.Add(beat)
		h.say(2, h.clock(), small)
		Expect(h.agent.VM().Capacity).To(Equal(small))
	})

	It("follows a new incarnation, which counts its heartbeats from the start", func() {
		h.say(700, h.clock(), large)
		h.incarnation += 400
		pass()
		h.say(1, h.clock(), small)
		Expect(h.agent.VM().Capacity).To(Equal(small))
		h.incarnation += 400
		h.say(1, time.Second, large)
		h.poll(port.PollResult{})
		Expect(h.agent.VM().Capacity).To(Equal(large))
	})
})

var _ = Describe("An agent whose worker starts again under its id with less capacity", func() {
	small := place.Resources{CPU: 4000, Memory: 64000}
	var h *harness
	BeforeEach(func() {
		h = newHarness()
		h.say(1, h.clock(), place.Resources{CPU: 16000, Memory: 64000})
		h.agent.Messages()
	})

	It("starts nothing there until a heartbeat of the new incarnation has told its capacity", func() {
		h.incarnation += 400
		h.poll(port.PollResult{})
		Expect(h.agent.VM()).To(And(HaveField("Incarnation", h.incarnation), HaveField("Capacity", place.Resources{})))
		h.grant()
		h.poll(port.PollResult{})
		h.agent.Orders(h.now, &msgs.Orders{Epoch: epoch, VM: "vm-1", Incarnation: h.incarnation, Starts: []msgs.Start{
			{Task: task, Run: 1, Percent: 100, Size: place.Resources{CPU: 6000}},
		}})
		Expect(h.agent.Calls()).To(HaveEach(HaveField("Start", BeNil())))
		h.say(1, h.clock(), small)
		Expect(h.agent.VM().Capacity).To(Equal(small))
	})

	It("starts nothing there if the first heartbeat that a restarted agent gets is a delayed one of the earlier incarnation", func() {
		h.agent = exec.New("node-1", slog.New(slog.DiscardHandler))
		Expect(h.agent.LeaderConnected(epoch)).To(BeTrue())
		h.say(9, h.clock(), place.Resources{CPU: 16000, Memory: 64000})
		h.incarnation += 400
		h.poll(port.PollResult{})
		h.grant()
		h.poll(port.PollResult{})
		h.agent.Orders(h.now, &msgs.Orders{Epoch: epoch, VM: "vm-1", Incarnation: h.incarnation, Starts: []msgs.Start{
			{Task: task, Run: 1, Percent: 100, Size: place.Resources{CPU: 6000}},
		}})
		Expect(h.agent.Calls()).To(ConsistOf(And(HaveField("Start", BeNil()), HaveField("Stop.Task", task))))
	})

	It("takes the capacity from a heartbeat that came before the poll", func() {
		h.incarnation += 400
		h.say(1, h.clock(), small)
		h.poll(port.PollResult{})
		Expect(h.agent.VM().Capacity).To(Equal(small))
	})
})

var _ = Describe("An agent and orders that no longer fit", func() {
	const other = "00000000000000bb.0.0.0"
	size := place.Resources{CPU: 6000, Memory: 1000}
	var h *harness
	BeforeEach(func() {
		h = newHarness()
		h.say(1, h.clock(), place.Resources{CPU: 16000, Memory: 64000, Accelerators: 4})
		h.agent.Messages()
	})

	order := func(task string, size place.Resources) {
		h.agent.Orders(h.now, &msgs.Orders{Epoch: h.agent.Epoch(), VM: "vm-1", Incarnation: h.incarnation, Starts: []msgs.Start{
			{Task: task, Run: 1, Percent: 100, Size: size},
		}})
	}
	// expectRefused expects that the run is stopped, and lost once the worker has confirmed that.
	expectRefused := func(task string) {
		c := h.call()
		Expect(c.Stop).To(HaveValue(HaveField("Task", task)))
		h.poll(port.PollResult{Running: []msgs.RunStatus{}})
		Expect(h.ends()).To(BeEmpty(), "an earlier process may have sent the start")
		h.agent.Stopped(h.now, c, nil)
		h.poll(port.PollResult{})
		Expect(h.ends()).To(ConsistOf(And(
			HaveField("Task", task), HaveField("Outcome", msgs.Lost), HaveField("Reason", port.ErrRunCapacity.Error()))))
	}

	DescribeTable("refuses a start after the worker has shrunk", func(size, capacity place.Resources) {
		order(other, size)
		h.agent.Started(h.now, h.call(), nil)
		h.say(2, h.clock(), capacity)
		h.agent.Messages()
		order(task, size)
		c := h.call()
		Expect(c.Stop).To(HaveValue(HaveField("Task", task)))
		h.agent.Stopped(h.now, c, nil)
		h.poll(port.PollResult{Running: []msgs.RunStatus{{Task: other, Run: 1}}})
		Expect(h.ends()).To(ConsistOf(And(HaveField("Outcome", msgs.Lost), HaveField("Reason", port.ErrRunCapacity.Error()))))
	},
		Entry("processors", place.Resources{CPU: 6000}, place.Resources{CPU: 8000, Memory: 64000}),
		Entry("memory", place.Resources{Memory: 6000}, place.Resources{CPU: 16000, Memory: 8000}),
		Entry("accelerators", place.Resources{Accelerators: 2}, place.Resources{CPU: 16000, Memory: 64000, Accelerators: 3}),
		Entry("to nothing", place.Resources{CPU: 6000}, place.Resources{}),
	)

	It("refuses a start that reaches it again after the change of leader", func() {
		h.agent.LeaderDisconnected()
		Expect(h.agent.LeaderConnected(epoch + 1)).To(BeTrue())
		h.grant()
		h.say(2, h.clock(), place.Resources{CPU: 4000})
		h.poll(port.PollResult{})
		h.agent.Messages()
		order(task, size)
		expectRefused(task)
	})

	It("does not try a start again that fits no longer", func() {
		order(task, size)
		c := h.call()
		Expect(c.Start).NotTo(BeNil())
		h.say(2, h.clock(), place.Resources{CPU: 4000})
		h.agent.Messages()
		h.agent.Started(h.now, c, errNoResponse)
		expectRefused(task)
	})

	It("knows the sizes of the runs that an earlier process started before it starts others", func() {
		running := port.PollResult{Running: []msgs.RunStatus{{Task: other, Run: 1}}}
		h.say(2, h.clock(), place.Resources{CPU: 8000, Memory: 64000})
		h.poll(running)
		h.agent.Messages()
		h.agent.Orders(h.now, &msgs.Orders{Epoch: epoch, VM: "vm-1", Incarnation: h.incarnation, Starts: []msgs.Start{
			{Task: task, Run: 1, Percent: 100, Size: size}, {Task: other, Run: 1, Percent: 100, Size: size},
		}})
		Expect(h.call().Stop).To(HaveValue(HaveField("Task", task)))
	})

	It("counts the runs that an earlier process was told to stop", func() {
		h.agent = exec.New("node-1", slog.New(slog.DiscardHandler))
		h.say(2, h.clock(), place.Resources{CPU: 8000, Memory: 64000})
		Expect(h.agent.LeaderConnected(epoch)).To(BeTrue())
		h.grant()
		h.poll(port.PollResult{Running: []msgs.RunStatus{{Task: other, Run: 1}}})
		h.agent.Orders(h.now, &msgs.Orders{
			Epoch: epoch, VM: "vm-1", Incarnation: h.incarnation,
			Starts: []msgs.Start{{Task: task, Run: 1, Percent: 100, Size: size}}, Stops: []msgs.Stop{{Task: other, Run: 1, Size: size}},
		})
		Expect(h.agent.Calls()).To(HaveEach(HaveField("Start", BeNil())))
	})

	DescribeTable("counts a run that a list leaves out which is incomplete", func(res port.PollResult, err error) {
		order(other, size)
		h.agent.Started(h.now, h.call(), nil)
		h.poll(port.PollResult{Running: []msgs.RunStatus{{Task: other, Run: 1}}})
		h.now = h.now.Add(time.Millisecond)
		p, ok := h.agent.Poll(h.now, false)
		Expect(ok).To(BeTrue())
		res.Incarnation, res.Clock = h.incarnation, h.clock()
		h.agent.Polled(h.now, p, res, err)
		h.say(2, h.clock(), place.Resources{CPU: 8000, Memory: 64000})
		order(task, size)
		Expect(h.call().Stop).To(HaveValue(HaveField("Task", task)))
		h.poll(port.PollResult{})
		order("00000000000000cc.0.0.0", place.Resources{CPU: 1000})
		Expect(h.call().Start).NotTo(BeNil(), "a complete list shows that the other run has ended")
	},
		Entry("because a row could not be decoded", port.PollResult{}, errors.New("a row could not be decoded")),
		Entry("because there are more ends than it holds", port.PollResult{Incomplete: true}, nil),
	)

	It("counts no run that the worker no longer lists, and starts what takes none of what is short", func() {
		order(other, size)
		h.agent.Started(h.now, h.call(), nil)
		h.poll(port.PollResult{Running: []msgs.RunStatus{{Task: other, Run: 1}}})
		h.say(2, h.clock(), place.Resources{CPU: 4000, Memory: 64000})
		order(task, place.Resources{Memory: 1000})
		Expect(h.call().Start).To(HaveValue(HaveField("Task", task)), "it reserves no processors")
		h.say(3, h.clock(), place.Resources{CPU: 8000, Memory: 64000})
		h.poll(port.PollResult{Running: []msgs.RunStatus{{Task: task, Run: 1}}})
		order("00000000000000cc.0.0.0", size)
		Expect(h.call().Start).NotTo(BeNil())
	})

	It("stops no run for its size, and starts again once the worker has grown", func() {
		order(other, size)
		h.agent.Started(h.now, h.call(), nil)
		running := port.PollResult{Running: []msgs.RunStatus{{Task: other, Run: 1}}}
		h.poll(running)
		h.say(2, h.clock(), place.Resources{})
		h.poll(running)
		order(other, size)
		Expect(h.agent.Calls()).To(BeEmpty())
		h.say(3, h.clock(), place.Resources{CPU: 16000, Memory: 64000})
		order(task, size)
		Expect(h.call().Start).NotTo(BeNil())
	})
})
