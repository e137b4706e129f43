package exec_test

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/exec"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

// A run end that cannot be decoded is listed until the worker may forget a later one.
var _ = Describe("A list with a run end that cannot be decoded", func() {
	odd := fmt.Errorf("%w: ended row", port.ErrOddEnds)
	var h *harness
	BeforeEach(func() { h = newHarness() })
	poll := func(res port.PollResult, err error) {
		h.now = h.now.Add(time.Millisecond)
		p, ok := h.agent.Poll(h.now, false)
		Expect(ok).To(BeTrue())
		h.now = h.now.Add(time.Millisecond)
		res.Incarnation, res.Clock = h.incarnation, h.now.Sub(time.Unix(0, 0))
		h.agent.Polled(h.now, p, res, err)
	}

	It("shows that a run has ended which the worker refuses to start", func() {
		h.agent.Started(h.now, h.order(), port.ErrRunOver)
		poll(port.PollResult{}, odd)
		Expect(h.ends()).To(ConsistOf(HaveField("Outcome", msgs.Lost)))
	})

	DescribeTable("does not show it if more is missing", func(res port.PollResult, err error) {
		h.agent.Started(h.now, h.order(), port.ErrRunOver)
		poll(res, err)
		Expect(h.ends()).To(BeEmpty())
	},
		Entry("present runs", port.PollResult{}, errors.New("running row")),
		Entry("further ends", port.PollResult{Incomplete: true}, odd),
	)
})

// A worker runs no run again that has ended there, so the task may start elsewhere. One end stands
// for all members of a gang; the leader must know it before the others count as lost.
var _ = Describe("A present run that a worker lists no more, without an end", func() {
	running := port.PollResult{Running: []msgs.RunStatus{{Task: task, Run: 1}}}
	var h *harness
	BeforeEach(func() {
		h = newHarness()
		h.agent.Started(h.now, h.order(), nil)
	})
	// pass polls for d, and returns the calls that the agent wants to make and the ends that it
	// reports.
	pass := func(d time.Duration, res port.PollResult) (calls []exec.Call, ends []msgs.RunEnd) {
		for end := h.now.Add(d); h.now.Before(end); {
			ends = append(ends, h.ends()...)
			h.grant()
			h.poll(res)
			calls = append(calls, h.agent.Calls()...)
		}
		return calls, append(ends, h.ends()...)
	}

	DescribeTable("is stopped after a while, and lost once the stop is confirmed", func(listed bool) {
		if listed {
			h.poll(running)
		}
		calls, ends := pass(8*time.Second, port.PollResult{})
		Expect(calls).To(BeEmpty())
		Expect(ends).To(BeEmpty())
		calls, ends = pass(8*time.Second, port.PollResult{})
		Expect(calls).To(HaveLen(1))
		Expect(calls[0].Stop).To(HaveValue(HaveField("Task", task)))
		Expect(ends).To(BeEmpty())
		h.agent.Stopped(h.now, calls[0], nil)
		h.poll(port.PollResult{})
		Expect(h.ends()).To(ConsistOf(And(HaveField("Task", task), HaveField("Outcome", msgs.Lost))))
	},
		Entry("if a list has named it", true),
		Entry("if the worker has confirmed its start, though no list has named it", false),
	)

	It("is stopped after a restart of the agent as well", func() {
		h.agent = exec.New("node-1", slog.New(slog.DiscardHandler))
		h.heartbeat("vm-1", h.incarnation)
		h.connect(running)
		calls, ends := pass(16*time.Second, port.PollResult{})
		Expect(calls).To(ConsistOf(HaveField("Stop", Not(BeNil()))))
		Expect(ends).To(BeEmpty())
	})

	It("is not stopped while lists are not complete, or if one names it again", func() {
		h.poll(running)
		calls, ends := pass(16*time.Second, port.PollResult{Incomplete: true})
		Expect(calls).To(BeEmpty())
		Expect(ends).To(BeEmpty())
		for range 3 {
			calls, ends = pass(8*time.Second, port.PollResult{})
			Expect(calls).To(BeEmpty())
			Expect(ends).To(BeEmpty())
			h.poll(running)
		}
	})

	It("is not stopped if its end comes after all", func() {
		h.poll(running)
		before, _ := pass(8*time.Second, port.PollResult{})
		after, ends := pass(8*time.Second, port.PollResult{Ended: []msgs.RunEnd{{Number: 1, Task: task, Run: 1, Outcome: msgs.Done}}})
		Expect(append(before, after...)).To(BeEmpty())
		Expect(ends).To(ConsistOf(HaveField("Outcome", msgs.Done)))
	})

	It("is not stopped twice if the leader has ordered it", func() {
		h.poll(running)
		h.agent.Orders(h.now, &msgs.Orders{Epoch: epoch, VM: "vm-1", Incarnation: h.incarnation, Stops: []msgs.Stop{{Task: task, Run: 1}}})
		Expect(h.agent.Calls()).To(HaveLen(1))
		calls, _ := pass(16*time.Second, port.PollResult{})
		Expect(calls).To(BeEmpty())
	})

	It("is lost if it was listed after the worker had confirmed its stop", func() {
		h.poll(running)
		h.agent.Orders(h.now, &msgs.Orders{Epoch: epoch, VM: "vm-1", Incarnation: h.incarnation, Stops: []msgs.Stop{{Task: task, Run: 1}}})
		h.agent.Stopped(h.now, h.call(), nil)
		h.poll(running) // a stop takes a while
		_, ends := pass(8*time.Second, port.PollResult{})
		Expect(ends).To(BeEmpty())
		calls, ends := pass(8*time.Second, port.PollResult{})
		Expect(calls).To(BeEmpty())
		Expect(ends).To(ConsistOf(HaveField("Outcome", msgs.Lost)), "its task would not start again")
	})

	It("is present no more if a list that arrives late names it after its end", func() {
		ended := port.PollResult{Ended: []msgs.RunEnd{{Number: 1, Task: task, Run: 1, Outcome: msgs.Done}}}
		early, _ := h.agent.Poll(h.now, false)
		h.poll(ended)
		h.respond(early, running)
		Expect(h.agent.State().Runs).To(Equal(1))
		calls, ends := pass(16*time.Second, ended)
		Expect(calls).To(BeEmpty())
		Expect(ends).To(HaveEach(HaveField("Outcome", msgs.Done)))
		Expect(h.agent.State().Runs).To(BeZero())
	})
})
