package exec_test

import (
	"bytes"
	"log/slog"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/exec"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

var _ = Describe("An agent's log", func() {
	var (
		h   *harness
		out *bytes.Buffer
	)
	BeforeEach(func() {
		h, out = newHarness(), &bytes.Buffer{}
		h.agent = exec.New("node-1", slog.New(slog.NewTextHandler(out, nil)))
		h.heartbeat("vm-1", h.incarnation)
		Expect(h.agent.LeaderConnected(epoch)).To(BeTrue())
		h.poll(port.PollResult{})
		h.grant()
	})

	It("says with each end up to which end of which incarnation leaders had stored the earlier ones", func() {
		h.agent.EndsStored(&msgs.EndsStored{VM: "vm-1", Incarnation: h.incarnation, Number: 7})
		h.agent.EndsStored(&msgs.EndsStored{VM: "vm-1", Incarnation: h.incarnation - 1, Number: 9})
		Expect(h.agent.State().StoredEnd).To(Equal(int64(7)))
		h.poll(port.PollResult{Ended: []msgs.RunEnd{{Number: 8, Task: task, Run: 1, Outcome: msgs.Done}}})
		Expect(out.String()).To(ContainSubstring(`outcome=done number=8 life=500 stored=7 epoch=3`))
	})

	It("says for how long a lease would have gone on when a worker is gone", func() {
		h.poll(port.PollResult{})
		p, _ := h.agent.Poll(h.now, false)
		h.now = h.now.Add(time.Second)
		h.agent.Polled(h.now, p, port.PollResult{}, port.ErrWorkerReplaced)
		Expect(out.String()).To(MatchRegexp(`msg="the worker is gone" .*leaseLeft=3\.84\d*s`))
	})

	It("says that a worker that is gone had no lease", func() {
		h.agent = exec.New("node-1", slog.New(slog.NewTextHandler(out, nil)))
		h.heartbeat("vm-1", h.incarnation)
		Expect(h.agent.LeaderConnected(epoch)).To(BeTrue())
		p, _ := h.agent.Poll(h.now, false)
		h.agent.Polled(h.now, p, port.PollResult{}, port.ErrWorkerReplaced)
		Expect(out.String()).To(MatchRegexp(`msg="the worker is gone" .*leaseLeft=0s`))
	})

	// The leader logs the same of the job as it was accepted.
	It("says with which payload and checkpoint a run was started", func() {
		order := func(checkpoint string) {
			h.agent.Orders(h.now, &msgs.Orders{Epoch: epoch, VM: "vm-1", Incarnation: h.incarnation, Starts: []msgs.Start{
				{Task: task, Run: 1, Percent: 100, Payload: "hello", Checkpoint: checkpoint},
			}})
		}
		order("665")
		c := h.call()
		order("later") // repeated after the call was made
		h.agent.Started(h.now, c, nil)
		Expect(out.String()).To(MatchRegexp(`msg="run started" task=\S+ run=1 .*payload=5:3610a686 checkpoint=3:00081566`))
	})

	It("says so of a run that a poll confirms before its start is answered", func() {
		h.agent.Orders(h.now, &msgs.Orders{Epoch: epoch, VM: "vm-1", Incarnation: h.incarnation, Starts: []msgs.Start{{Task: task, Run: 1, Percent: 100, Payload: "hello"}}})
		h.agent.Started(h.now, h.call(), errNoResponse)
		repeated := h.call()
		h.poll(port.PollResult{Running: []msgs.RunStatus{{Task: task, Run: 1}}})
		Expect(h.agent.Sends(h.now, repeated)).To(BeFalse())
		Expect(out.String()).To(MatchRegexp(`msg="run started" task=\S+ run=1 .*payload=5:3610a686 checkpoint=0:00000000`))
	})

	It("says when the order to stop a run arrived and how long after it the worker confirmed it", func() {
		h.poll(port.PollResult{})
		h.agent.Started(h.now, h.order(), nil)
		c := h.stop()
		h.now = h.now.Add(500 * time.Millisecond)
		h.agent.Stopped(h.now, c, errNoResponse)
		c = h.call()
		h.now = h.now.Add(40 * time.Millisecond)
		h.agent.Stopped(h.now, c, nil)
		Expect(out.String()).To(MatchRegexp(`(?s)msg="run is to be stopped" task=` + task + ` run=1 vm=vm-1 present=true epoch=3\n` +
			`.*msg="stop was not answered" task=` + task + ` run=1 vm=vm-1 .* retryAfter=30ms epoch=3\n` +
			`.*msg="stop is confirmed" task=` + task + ` run=1 vm=vm-1 after=540ms epoch=3\n`))
	})
})
