package lead_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
)

var _ = Describe("A job that is cancelled before its submission arrives", func() {
	var h *harness
	id := job(1).ID
	BeforeEach(func() {
		h = newHarness()
		h.join(0)
		h.request(msgs.Cancel, nil, id)
	})

	// submitLate submits the job and checks that it is shown as cancelled and starts nothing.
	submitLate := func() {
		h.out = nil
		h.submit(job(1, smallStep))
		h.advance(100 * time.Millisecond)
		out := h.out
		Expect(h.responses()).To(ConsistOf(HaveField("Code", codes.OK)), "the submission is stored")
		h.out = out
		Expect(h.starts()).To(BeEmpty())
		Expect(h.state(id)).To(Equal("cancelled"))
	}

	It("does not run", func() {
		h.advance(100 * time.Millisecond)
		Expect(h.responses()).To(ConsistOf(HaveField("Code", codes.JobNotFound)))
		submitLate()
		submitLate()
	})

	It("does not run at the next leader", func() {
		h.advance(100 * time.Millisecond)
		h.lead(epoch + 1)
		h.join(0)
		submitLate()
		h.lead(epoch + 2)
		h.join(0)
		submitLate()
	})

	It("does not exist until it is submitted", func() {
		h.advance(100 * time.Millisecond)
		h.out = nil
		h.request(msgs.State, nil, id)
		h.request(msgs.Cancel, nil, id)
		h.advance(100 * time.Millisecond)
		Expect(h.responses()).To(And(HaveLen(2), HaveEach(HaveField("Code", codes.JobNotFound))))
	})

	It("is not said from memory not to exist when it is cancelled again", func() {
		h.advance(100 * time.Millisecond)
		h.out = nil
		h.request(msgs.Cancel, nil, id)
		Expect(h.nextBatch()).To(BeTrue(), "the leader asks the store at once")
		Expect(h.responses()).To(BeEmpty(), "the store fences a leader that was replaced")
		h.confirmBatch()
		Expect(h.responses()).To(ConsistOf(HaveField("Code", codes.JobNotFound)))
	})

	It("is acknowledged only once its submission is stored, if it arrives while the cancelling is being stored", func() {
		h.now = h.now.Add(20 * time.Millisecond)
		Expect(h.nextBatch()).To(BeTrue())
		h.submit(job(1, smallStep))
		h.confirmBatch()
		Expect(h.responses()).To(ConsistOf(HaveField("Code", codes.JobNotFound)))
		h.submit(job(1, smallStep))
		h.receive()
		Expect(h.responses()).To(BeEmpty())
		h.advance(100 * time.Millisecond)
		Expect(h.responses()).To(And(HaveLen(2), HaveEach(HaveField("Code", codes.OK))))
	})

	It("does not run if the submission arrives before the cancelling is stored", func() {
		h.submit(job(1, smallStep))
		h.advance(100 * time.Millisecond)
		Expect(h.starts()).To(BeEmpty())
		Expect(h.state(id)).To(Equal("cancelled"))
	})
})

var _ = Describe("A job that is cancelled before its submission is stored", func() {
	// The batch in flight has no room for the job, and is not confirmed for a second.
	It("does not run if its submission is repeated", func() {
		h := newHarness()
		h.join(0)
		h.submit(job(2, smallStep))
		h.now = h.now.Add(20 * time.Millisecond)
		Expect(h.nextBatch()).To(BeTrue())
		h.submit(job(1, smallStep))
		h.request(msgs.Cancel, nil, job(1).ID)
		h.now = h.now.Add(time.Second)
		h.leader.Tick(h.now)
		h.confirmBatch()
		h.out = nil
		h.submit(job(1, smallStep))
		h.advance(100 * time.Millisecond)
		Expect(h.starts()).NotTo(ContainElement(HaveField("Task", HavePrefix(string(job(1).ID)))))
		Expect(h.state(job(1).ID)).To(Equal("cancelled"))
	})
})
