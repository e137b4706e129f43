package lead_test

import (
	"log/slog"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/jobs/lead"
	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/jobs/table"
)

// receive collects what the leader has sent.
func (h *harness) receive() { h.out = append(h.out, h.leader.TakeOutbound()...) }

var _ = Describe("A leader that may have been replaced", func() {
	const unknown = "00000000000000ff"
	const batchPause = 20 * time.Millisecond
	var h *harness
	BeforeEach(func() {
		h = newHarness()
		h.submit(job(1, smallStep))
		h.advance(100 * time.Millisecond)
		h.out = nil
	})

	for _, verb := range []msgs.Verb{msgs.Cancel, msgs.State} {
		It("does not say that a job accepted by its successor does not exist: "+verb.String(), func() {
			h.request(verb, nil, unknown)
			h.receive()
			Expect(h.responses()).To(BeEmpty())
			h.now = h.now.Add(batchPause)
			Expect(h.nextBatch()).To(BeTrue(), "the leader asks the store at once")
			Expect(h.responses()).To(BeEmpty(), "the store fences a leader that was replaced")
			h.confirmBatch()
			Expect(h.responses()).To(ConsistOf(HaveField("Code", codes.JobNotFound)))
		})

		It("does not rely on an append that was sent before the request: "+verb.String(), func() {
			h.submit(job(2, smallStep))
			h.now = h.now.Add(batchPause)
			Expect(h.nextBatch()).To(BeTrue())
			h.request(verb, nil, unknown)
			h.confirmBatch()
			Expect(h.responses()).To(ConsistOf(HaveField("Code", codes.OK)), "the submission")
			h.now = h.now.Add(batchPause)
			Expect(h.nextBatch()).To(BeTrue())
			h.confirmBatch()
			Expect(h.responses()).To(ConsistOf(HaveField("Code", codes.JobNotFound)))
		})
	}

	It("refuses a request for a state if the store is silent", func() {
		h.request(msgs.State, nil, unknown)
		h.now = h.now.Add(batchPause)
		Expect(h.nextBatch()).To(BeTrue())
		h.now = h.now.Add(time.Second)
		h.request(msgs.State, nil, unknown)
		h.nextBatch()
		Expect(h.responses()).To(And(HaveLen(2), HaveEach(And(HaveField("Code", codes.LogDown), HaveField("RetryAfter", BeNumerically(">", 0))))))
		h.confirmBatch()
		Expect(h.responses()).To(BeEmpty(), "each request gets one response")
	})

	It("refuses to cancel an unknown job while the store is silent", func() {
		h.request(msgs.Cancel, nil, unknown)
		h.now = h.now.Add(batchPause)
		Expect(h.nextBatch()).To(BeTrue())
		h.now = h.now.Add(time.Second)
		h.request(msgs.Cancel, nil, "00000000000000fe")
		h.nextBatch()
		Expect(h.responses()).To(ConsistOf(And(HaveField("Seq", h.seq), HaveField("Code", codes.LogDown), HaveField("RetryAfter", BeNumerically(">", 0)))))
		h.confirmBatch()
		Expect(h.responses()).To(ConsistOf(HaveField("Code", codes.JobNotFound)), "the one that is stored now")
	})

	for _, verb := range []msgs.Verb{msgs.State, msgs.Pending} {
		It("tells no old progress after a pause: "+verb.String(), func() {
			h.request(verb, nil, job(1).ID)
			h.receive()
			Expect(h.responses()).To(HaveLen(1), "what the store has confirmed lately needs no further confirmation")
			h.now = h.now.Add(3 * time.Second)
			h.request(verb, nil, job(1).ID)
			h.receive()
			Expect(h.responses()).To(BeEmpty())
			Expect(h.nextBatch()).To(BeTrue())
			h.confirmBatch()
			Expect(h.responses()).To(ConsistOf(HaveField("Code", codes.OK)))
		})
	}

	It("tells no old progress after the machine was suspended", func() {
		h.leader.Suspended(3 * time.Second)
		h.request(msgs.State, nil, job(1).ID)
		h.receive()
		Expect(h.responses()).To(BeEmpty())
	})

	It("tells a final state at once, however old it is", func() {
		h.request(msgs.Cancel, nil, job(1).ID)
		h.advance(100 * time.Millisecond)
		h.now = h.now.Add(time.Minute)
		Expect(h.state(job(1).ID)).To(Equal("cancelled"))
	})
})

var _ = Describe("A leader that an agent joins after it may have been replaced", func() {
	It("does not start runs again that its successor may have cancelled", func() {
		h := newHarness()
		h.join(0)
		h.submit(job(1, smallStep))
		h.advance(100 * time.Millisecond)
		h.out = nil
		h.join(0)
		h.now = h.now.Add(20 * time.Millisecond)
		Expect(h.nextBatch()).To(BeTrue(), "the leader asks the store at once")
		Expect(h.starts()).To(BeEmpty())
		h.confirmBatch()
		Expect(h.starts()).To(ConsistOf(HaveField("Task", string(job(1).ID)+".0.0.0")))
	})

	It("stops unwanted runs at once, also beside runs that it starts again", func() {
		h := newHarness()
		h.join(0)
		h.submit(job(1, smallStep))
		h.advance(100 * time.Millisecond)
		h.out = nil
		unwanted := string(job(2).ID) + ".0.0.0"
		h.join(0, msgs.RunStatus{Task: unwanted, Run: 1})
		h.now = h.now.Add(20 * time.Millisecond)
		Expect(h.nextBatch()).To(BeTrue())
		Expect(h.orders()).To(ConsistOf(And(HaveField("Stops", ConsistOf(HaveField("Task", unwanted))), HaveField("Starts", BeEmpty()))))
	})
})

var _ = Describe("A job whose progress a new leader cannot read", func() {
	It("is neither started nor denied, and can be cancelled", func() {
		h := newHarness()
		h.join(0)
		h.submit(job(1, smallStep))
		h.advance(100 * time.Millisecond)
		records := slices.Clone(h.records)
		for i := range records {
			if strings.HasPrefix(records[i].Key, "progress/") {
				records[i].Value = []byte("x")
			}
		}
		state, _ := table.Load(records)
		h.leader, h.out = lead.New(h.now, epoch+1, state, model.Config{}, slog.New(slog.DiscardHandler)), nil
		h.join(0)
		h.request(msgs.State, nil, job(1).ID)
		h.advance(100 * time.Millisecond)
		out := h.out
		Expect(h.starts()).To(BeEmpty())
		h.out = out
		Expect(h.responses()).To(ConsistOf(HaveField("Code", codes.NotReady)))
		h.request(msgs.Cancel, nil, job(1).ID)
		h.advance(100 * time.Millisecond)
		Expect(h.responses()).To(ConsistOf(HaveField("Code", codes.OK)))
		Expect(h.state(job(1).ID)).To(Equal("cancelled"))
	})
})

var _ = Describe("An append without changes", func() {
	It("is sent only for requests that wait for it, or once a second", func() {
		h := newHarness()
		appends := func(d time.Duration) int {
			before := h.leader.Stats().Batches
			h.advance(d)
			return int(h.leader.Stats().Batches - before)
		}
		Expect(appends(10 * time.Second)).To(BeNumerically("~", 10, 1))
		for range 50 {
			h.request(msgs.State, nil, "00000000000000ff")
		}
		Expect(appends(100 * time.Millisecond)).To(Equal(1))
		Expect(h.responses()).To(HaveLen(50))
	})
})
