package lead_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/jobs/lead"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
)

var _ = Describe("A leader and its store", func() {
	var h *harness
	BeforeEach(func() { h = newHarness() })

	It("responds and sends orders only once the changes are stored", func() {
		h.join(0)
		h.submit(job(1, smallStep))
		h.now = h.now.Add(20 * time.Millisecond)
		Expect(h.nextBatch()).To(BeTrue())
		Expect(h.responses()).To(BeEmpty())
		h.confirmBatch()
		out := h.out
		Expect(h.responses()).To(ConsistOf(HaveField("Code", codes.OK)))
		h.out = out
		Expect(h.starts()).To(ConsistOf(HaveField("Run", uint32(1))))
	})

	It("sends no message whose change is left for the next batch", func() {
		const count = 200
		for n := range count {
			large := job(n+1, smallStep)
			large.Payload = strings.Repeat("x", 4000)
			h.submit(large)
		}
		h.request(msgs.Cancel, nil, job(count, smallStep).ID)
		cancelled := HaveField("Seq", h.seq)
		h.now = h.now.Add(20 * time.Millisecond)
		Expect(h.nextBatch()).To(BeTrue())
		h.confirmBatch()
		responses := h.responses()
		Expect(responses).NotTo(BeEmpty())
		Expect(responses).NotTo(ContainElement(cancelled))
		h.now = h.now.Add(20 * time.Millisecond)
		Expect(h.nextBatch()).To(BeTrue())
		h.confirmBatch()
		Expect(h.responses()).To(ContainElement(cancelled))
	})

	It("holds no message for the change of a job that was refused", func() {
		h.join(0)
		h.submit(job(1, smallStep))
		h.now = h.now.Add(20 * time.Millisecond)
		Expect(h.nextBatch()).To(BeTrue())
		h.submit(job(2, smallStep))
		h.now = h.now.Add(time.Second)
		h.nextBatch()
		Expect(h.responses()).To(ConsistOf(HaveField("Code", codes.LogDown)))
		h.request(msgs.Cancel, nil, job(1, smallStep).ID)
		h.confirmBatch()
		h.advance(50 * time.Millisecond)
		Expect(h.responses()).To(ContainElement(HaveField("Seq", h.seq)))
	})

	It("refuses new jobs at once while the store does not respond, and never runs them", func() {
		h.join(0)
		h.submit(job(1, smallStep))
		h.now = h.now.Add(20 * time.Millisecond)
		Expect(h.nextBatch()).To(BeTrue())
		h.submit(job(2, smallStep))
		h.now = h.now.Add(time.Second)
		h.nextBatch()
		Expect(h.responses()).To(ConsistOf(And(HaveField("Code", codes.LogDown), HaveField("RetryAfter", Not(BeZero())))))
		h.submit(job(3, smallStep))
		h.nextBatch()
		Expect(h.responses()).To(ConsistOf(HaveField("Code", codes.LogDown)))
		h.confirmBatch()
		h.advance(time.Second)
		Expect(h.starts()).To(HaveLen(1))
	})

	It("acknowledges a run end only once it is stored, also if it is reported twice", func() {
		h.join(0)
		h.submit(job(1, smallStep))
		h.advance(100 * time.Millisecond)
		h.requestLease(0, false, msgs.RunStatus{Task: "0000000000000001.0.0.0", Run: 1})
		h.advance(1200 * time.Millisecond)
		h.out = nil
		end := &msgs.Message{Report: &msgs.Report{VM: "vm-0", Incarnation: 5, Ends: []msgs.RunEnd{{Number: 1, Task: "0000000000000001.0.0.0", Run: 1, Outcome: msgs.Done}}}}
		for range 2 {
			h.leader.Handle(h.now, firstAgentConn, end)
			Expect(h.leader.TakeOutbound()).To(BeEmpty())
		}
		h.request(msgs.State, nil, job(1).ID)
		h.out = h.leader.TakeOutbound()
		Expect(h.responses()).To(ConsistOf(HaveField("State", "running")), "the state in the store")
		h.advance(100 * time.Millisecond)
		acked := collect(h, func(m *msgs.Message) []int64 {
			if m.EndsStored == nil {
				return nil
			}
			return []int64{m.EndsStored.Number}
		})
		Expect(acked).To(HaveEach(int64(1)))
		h.request(msgs.State, nil, job(1).ID)
		h.advance(20 * time.Millisecond)
		Expect(h.responses()).To(ConsistOf(HaveField("State", "completed")))
	})

	It("does not renew leases once the store has not responded for StoreTimeout", func() {
		h.join(0)
		Expect(h.nextBatch()).To(BeFalse())
		Expect(h.leases()).To(HaveLen(1))
		h.now = h.now.Add(2 * time.Second)
		h.nextBatch()
		h.now = h.now.Add(lead.StoreTimeout)
		h.requestLease(0, false)
		h.nextBatch()
		Expect(h.leases()).To(BeEmpty())
	})
})
