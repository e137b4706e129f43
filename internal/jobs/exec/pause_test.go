package exec_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/exec"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

var _ = Describe("The pause between polls", func() {
	newConnection := fmt.Errorf("poll: %w", port.ErrNewConnection)

	// Polls took all of a VM's share of a processor while its worker was about to exit.
	It("lets few polls follow each other if the worker's connections end as soon as they are opened", func() {
		var pause exec.PollPause
		begin := time.Unix(100, 0)
		now, polls := begin, 0
		for ; now.Sub(begin) < time.Second; polls++ {
			now = now.Add(time.Millisecond + pause.After(now, newConnection, true))
		}
		Expect(polls).To(BeNumerically("<=", 2*(int(time.Second/exec.PollRetryDelay)+1)))
	})

	It("is as short as possible after the end of a single connection and after a successful poll", func() {
		var pause exec.PollPause
		now := time.Unix(100, 0)
		Expect(pause.After(now, newConnection, true)).To(BeZero())
		Expect(pause.After(now, nil, true)).To(BeZero())
		Expect(pause.After(now, port.ErrStoreUnknown, true)).To(Equal(exec.PollRetryDelay))
		Expect(pause.After(now.Add(2*exec.PollRetryDelay), newConnection, true)).To(BeZero())
	})

	// The worker's next process carried out orders to its earlier one for up to 60 ms.
	It("is short while the worker's next process might carry out an order late, which ends", func() {
		h := newHarness()
		h.now = h.now.Add(time.Minute)
		var pause exec.PollPause
		after := func(err error) time.Duration { return pause.After(h.now, err, h.agent.OrdersLate(h.now)) }
		Expect(after(port.ErrNoWorker)).To(Equal(exec.PollRetryDelay))
		h.grant()
		h.poll(port.PollResult{})
		h.agent.Started(h.now, h.order(), errNoResponse)
		Expect(after(port.ErrNoWorker)).To(BeNumerically("<=", 10*time.Millisecond))
		Expect(after(port.ErrNoWorker)).To(BeNumerically(">=", 10*time.Millisecond), "each poll takes processor time")
		Expect(after(errNoResponse)).To(Equal(exec.PollRetryDelay), "the worker's process is known to listen")
		h.now = h.now.Add(29 * time.Second)
		Expect(after(port.ErrNoWorker)).To(BeNumerically("<", exec.PollRetryDelay))
		h.now = h.now.Add(2 * time.Second)
		Expect(after(port.ErrNoWorker)).To(Equal(exec.PollRetryDelay))
	})

	It("grows if the worker stays away, and is short again for the next absence", func() {
		var pause exec.PollPause
		now, polls := time.Unix(100, 0), 0
		for end := now.Add(30 * time.Second); now.Before(end); polls++ {
			d := pause.After(now, port.ErrNoWorker, true)
			Expect(d).To(BeNumerically("<", exec.PollRetryDelay))
			now = now.Add(d)
		}
		Expect(polls).To(BeNumerically("<=", 300+27_000/30+1))
		Expect(pause.After(now, nil, true)).To(BeZero())
		Expect(pause.After(now, port.ErrNoWorker, true)).To(Equal(10 * time.Millisecond))
	})

	It("is short after a restart of the agent, of which the earlier process may have sent orders", func() {
		h := newHarness()
		h.now = h.now.Add(time.Minute)
		h.restart()
		h.fail(port.ErrNoWorker)
		Expect(h.agent.OrdersLate(h.now)).To(BeTrue())
		h.now = h.now.Add(time.Minute)
		Expect(h.agent.OrdersLate(h.now)).To(BeFalse())
	})

	It("is short while a start is under way", func() {
		h := newHarness()
		h.now = h.now.Add(time.Minute)
		h.grant()
		h.poll(port.PollResult{})
		c := h.order()
		Expect(h.agent.OrdersLate(h.now)).To(BeFalse())
		Expect(h.agent.Sends(h.now, c)).To(BeTrue())
		Expect(h.agent.OrdersLate(h.now)).To(BeTrue())
		h.now = h.now.Add(2 * time.Second)
		Expect(h.agent.OrdersLate(h.now)).To(BeFalse())
	})

	It("is not short after starts that were answered or not sent", func() {
		h := newHarness()
		h.now = h.now.Add(time.Minute)
		h.grant()
		h.poll(port.PollResult{})
		c := h.order()
		for _, err := range []error{port.ErrNotSent, nil, port.ErrRunOver, port.ErrRunFenced, port.ErrWorkerUnhealthy} {
			h.agent.Started(h.now, c, err)
			Expect(h.agent.OrdersLate(h.now)).To(BeFalse())
		}
	})

	It("is short after a start without response to a process of the worker that is gone", func() {
		h := newHarness()
		h.now = h.now.Add(time.Minute)
		h.grant()
		h.poll(port.PollResult{})
		c := h.order()
		h.fail(port.ErrWorkerReplaced)
		h.agent.Started(h.now, c, errNoResponse)
		Expect(h.agent.OrdersLate(h.now)).To(BeTrue())
	})
})
