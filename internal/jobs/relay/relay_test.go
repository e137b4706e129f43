package relay_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/jobs/relay"
)

var _ = Describe("Requests", func() {
	var (
		q    *relay.Requests
		sent []uint64
		got  []codes.Code
		send = func(r *msgs.JobRequest) { sent = append(sent, r.Seq) }
		now  = time.Unix(1000, 0)
	)
	BeforeEach(func() { q, sent, got = &relay.Requests{}, nil, nil })

	add := func(verb msgs.Verb) *relay.Request {
		r := &relay.Request{
			Message: msgs.JobRequest{Verb: verb, Job: "a"}, ReceivedAt: now,
			Respond: func(resp msgs.JobResponse) { got = append(got, resp.Code) },
		}
		q.Add(r)
		return r
	}

	DescribeTable("say what a refusal means", func(verb msgs.Verb, epochs []uint64, code, want codes.Code) {
		r := add(verb)
		for _, epoch := range epochs {
			q.SendAll(epoch, send)
		}
		q.Respond(msgs.JobResponse{Seq: r.Message.Seq, Code: code})
		q.Respond(msgs.JobResponse{Seq: r.Message.Seq, Code: code})
		Expect(got).To(Equal([]codes.Code{want}))
		Expect(q.Waits(r)).To(BeFalse())
	},
		Entry("sent once", msgs.Submit, []uint64{1}, codes.LogDown, codes.LogDown),
		Entry("sent to leaders one after the other", msgs.Submit, []uint64{1, 2, 4}, codes.LogDown, codes.LogDown),
		Entry("sent to a leader over two connections", msgs.Submit, []uint64{1, 1}, codes.LogDown, codes.FateUnknown),
		Entry("sent to the leader after that one", msgs.Submit, []uint64{1, 1, 2}, codes.LogDown, codes.LogDown),
		Entry("sent to the latest leader over two connections", msgs.Submit, []uint64{1, 2, 2}, codes.LogDown, codes.FateUnknown),
		Entry("an acceptance", msgs.Submit, []uint64{1, 1}, codes.OK, codes.OK),
		Entry("a job that no leader accepts", msgs.Submit, []uint64{1, 1}, codes.JobInvalid, codes.JobInvalid),
		Entry("a request that is no submission", msgs.State, []uint64{1, 1}, codes.JobNotFound, codes.JobNotFound),
	)

	It("are sent to a new leader, the oldest first, unless the caller has left", func() {
		for i := range 20 {
			r := add(msgs.Submit)
			r.Left = func() bool { return i == 7 }
		}
		q.SendAll(1, send)
		Expect(sent).To(Equal([]uint64{1, 2, 3, 4, 5, 6, 7, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20}))
	})

	It("are refused for want of a leader only if no leader may have received them", func() {
		first, cancelled := add(msgs.Submit), add(msgs.Cancel)
		q.SendAll(1, send)
		second, third := add(msgs.Submit), add(msgs.State)
		Expect(cancelled.ExpiryCode()).To(Equal(codes.FateUnknown), "the job may still be cancelled")
		Expect(add(msgs.Cancel).ExpiryCode()).To(Equal(codes.NoLeader))
		Expect(q.Unsent(now)).To(BeEmpty())
		Expect(q.Unsent(now.Add(1))).To(ConsistOf(second))
		Expect(first.ExpiryCode()).To(Equal(codes.FateUnknown))
		Expect(second.ExpiryCode()).To(Equal(codes.NoLeader))
		Expect(third.ExpiryCode()).To(Equal(codes.NoLeader))
	})
})
