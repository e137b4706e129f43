package exec_test

import (
	"log/slog"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/exec"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

// connect connects the agent to a leader, and polls once so that the leader learns of all runs.
func (h *harness) connect(res port.PollResult) {
	Expect(h.agent.LeaderConnected(epoch)).To(BeTrue())
	h.grant()
	h.poll(res)
}

// stored tells the agent that the leader has stored the ends up to number.
func (h *harness) stored(number int64) {
	h.agent.EndsStored(&msgs.EndsStored{VM: "vm-1", Incarnation: h.incarnation, Number: number})
}

// seen returns the number up to which the next poll lets the worker forget its ends.
func (h *harness) seen() int64 {
	h.now = h.now.Add(time.Millisecond)
	p, ok := h.agent.Poll(h.now, false)
	Expect(ok).To(BeTrue())
	return p.Seen
}

var _ = Describe("A run end without a number that can be decoded", func() {
	const other = "00000000000000aa.0.0.2"
	var h *harness
	BeforeEach(func() {
		h = newHarness()
		h.agent.Started(h.now, h.order(), nil)
		h.agent.Messages()
	})
	end := func(number int64, task string) msgs.RunEnd {
		return msgs.RunEnd{Number: number, Task: task, Run: 1, Outcome: msgs.Done}
	}
	list := func(ends ...msgs.RunEnd) port.PollResult { return port.PollResult{Ended: ends} }

	It("is reported until a leader has stored it, and not again", func() {
		h.poll(list(end(0, task)))
		Expect(h.ends()).To(ConsistOf(And(HaveField("Task", task), HaveField("Outcome", msgs.Done), HaveField("Number", int64(1)))))
		Expect(h.seen()).To(BeZero())
		h.agent.LeaderDisconnected()
		h.connect(list(end(0, task)))
		Expect(h.ends()).To(ConsistOf(HaveField("Task", task)))
		h.stored(1)
		Expect(h.agent.HasUnstoredEnds()).To(BeFalse())
		Expect(h.seen()).To(Equal(int64(1)))
		h.poll(list(end(0, task)))
		Expect(h.ends()).To(BeEmpty())
		h.agent.LeaderDisconnected()
		h.connect(list(end(0, task)))
		Expect(h.ends()).To(BeEmpty())
	})

	It("is not forgotten with a later one", func() {
		h.poll(list(end(0, task), end(2, other)))
		Expect(h.ends()).To(ConsistOf(HaveField("Task", task), HaveField("Task", other)))
		h.stored(2)
		Expect(h.seen()).To(Equal(int64(2)))
	})

	It("does not count as stored with those that were reported before it", func() {
		h.poll(list(end(1, other)))
		h.poll(list(end(1, other), end(0, task)))
		h.stored(1)
		h.agent.Messages()
		h.agent.LeaderDisconnected()
		h.connect(list(end(0, task)))
		Expect(h.ends()).To(ConsistOf(HaveField("Task", task)))
	})

	It("lets the worker forget no end that comes later", func() {
		h.poll(list(end(0, task)))
		h.stored(1)
		h.agent.Messages()
		Expect(h.seen()).To(Equal(int64(1)))
		h.poll(list(end(0, task), end(2, other)))
		Expect(h.ends()).To(ConsistOf(HaveField("Task", other)))
		Expect(h.seen()).To(Equal(int64(1)))
	})

	It("is reported by a restarted agent", func() {
		h.poll(list(end(0, task)))
		h.agent = exec.New("node-1", slog.New(slog.DiscardHandler))
		h.heartbeat("vm-1", h.incarnation)
		h.connect(list(end(0, task)))
		Expect(h.ends()).To(ConsistOf(HaveField("Outcome", msgs.Done)))
	})

	It("is another one in the worker's next incarnation", func() {
		h.poll(list(end(0, task)))
		h.stored(1)
		h.incarnation += 1000
		h.poll(list(end(0, task)))
		h.grant()
		h.poll(list(end(0, task)))
		Expect(h.agent.HasUnstoredEnds()).To(BeTrue())
	})

	// The worker lists ends above Poll.Seen, so a poll that was sent before they were stored may
	// list stored ones.
	It("lets the worker forget no other end if it was stored with its number while a poll was under way", func() {
		h.poll(list(end(1, task)))
		p, ok := h.agent.Poll(h.now, false)
		Expect(ok).To(BeTrue())
		h.stored(1)
		h.agent.Messages()
		h.respond(p, list(end(0, task)))
		for _, e := range h.ends() {
			h.stored(e.Number) // as the leader does, which has no such run any more
		}
		h.poll(list(end(2, other)))
		Expect(h.ends()).To(ConsistOf(HaveField("Task", other)))
		Expect(h.seen()).To(Equal(int64(1)), "the worker would forget an end that no leader has stored")
	})

	It("is not needed if the same end is listed with its number too", func() {
		h.poll(list(end(1, task), end(0, task)))
		Expect(h.ends()).To(ConsistOf(HaveField("Number", int64(1))))
	})
})

var _ = Describe("A run end that is listed twice", func() {
	const other = "00000000000000aa.0.0.2"
	end := func(task string, o msgs.Outcome) msgs.RunEnd {
		return msgs.RunEnd{Number: 1, Task: task, Run: 1, Outcome: o}
	}
	var h *harness
	BeforeEach(func() { h = newHarness() })

	It("is reported once, also after it was stored", func() {
		twice := port.PollResult{Ended: []msgs.RunEnd{end(task, msgs.Done), end(task, msgs.Done)}}
		h.poll(twice)
		Expect(h.ends()).To(HaveLen(1))
		h.poll(twice)
		Expect(h.ends()).To(BeEmpty())
		h.stored(1)
		h.poll(twice)
		Expect(h.ends()).To(BeEmpty())
	})

	It("counts with its first outcome", func() {
		h.poll(port.PollResult{Ended: []msgs.RunEnd{end(task, msgs.Done), end(task, msgs.Failed)}})
		Expect(h.ends()).To(ConsistOf(HaveField("Outcome", msgs.Done)))
	})

	It("ends both runs if the number is the same but not the run", func() {
		h.poll(port.PollResult{Ended: []msgs.RunEnd{end(task, msgs.Done), end(other, msgs.Failed)}})
		Expect(h.ends()).To(ConsistOf(HaveField("Task", task), HaveField("Task", other)))
		h.stored(1)
		Expect(h.agent.HasUnstoredEnds()).To(BeFalse())
	})

	It("is listed in any order", func() {
		h.poll(port.PollResult{Ended: []msgs.RunEnd{{Number: 2, Task: task, Run: 1, Outcome: msgs.Done}, end(other, msgs.Done)}})
		Expect(h.ends()).To(ConsistOf(HaveField("Task", task), HaveField("Task", other)))
		h.stored(2)
		Expect(h.seen()).To(Equal(int64(2)))
	})
})
