package flow_test

import (
	"errors"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/front/flow"
	"github.com/ebonyarch/ebonyarch/internal/front/route"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

var _ = Describe("the flow of a request", func() {
	now := time.Unix(1e9, 0)
	var s *flow.Service
	var rnd *rand.Rand
	lost := codes.New(codes.ConnectionLost, "lost")

	BeforeEach(func() {
		rnd = rand.New(rand.NewPCG(1, 1))
		s = &flow.Service{RetryShare: 1}
		s.Update(now.Add(-time.Hour), []route.Target{{VM: "a", Slots: 8}, {VM: "b", Slots: 8}, {VM: "c", Slots: 8}}, nil, 1)
	})

	request := func(idempotent bool) *flow.Flow {
		return flow.New(s, flow.Request{ID: "id", Idempotent: idempotent, Deadline: now.Add(time.Second)})
	}
	okReply := func() *schema.ForwardReply {
		return &schema.ForwardReply{Id: "id", Status: 200, Body: []byte("ok"), BodySize: 2}
	}
	refusal := func(code codes.Code) *schema.ForwardReply {
		return &schema.ForwardReply{Id: "id", Code: uint32(code)}
	}
	inFlight := func() int {
		sum := 0
		for _, u := range s.Balancer.Upstreams() {
			sum += u.InFlight()
		}
		return sum
	}

	// Begin used to pass no random source to the choice of another upstream and panicked.
	It("fails a request whose deadline leaves no time for a try, although the retry budget allows one", func() {
		for range 200 {
			f := request(true)
			step := f.Begin(now, rnd)
			reply := okReply()
			reply.Load = &schema.Load{ServiceUs: 1000, Slots: 8}
			f.Replied(now.Add(time.Millisecond), rnd, step.Try, reply)
		}
		f := flow.New(s, flow.Request{ID: "id", Idempotent: true, Deadline: now.Add(1500 * time.Microsecond)})
		step := f.Begin(now, rnd)
		Expect(step.Action).To(Equal(flow.Done))
		Expect(codes.Of(step.Err)).To(Equal(codes.TimedOutNotRun))
		Expect(inFlight()).To(BeZero())
	})

	It("returns the reply", func() {
		f := request(true)
		step := f.Begin(now, rnd)
		Expect(step.Action).To(Equal(flow.Send))
		step = f.Replied(now, rnd, step.Try, okReply())
		Expect(step.Action).To(Equal(flow.Done))
		Expect(step.Err).NotTo(HaveOccurred())
		Expect(inFlight()).To(BeZero())
	})

	DescribeTable("never returns an incomplete reply or that of another request",
		func(corrupt func(r *schema.ForwardReply)) {
			f := request(true)
			step := f.Begin(now, rnd)
			reply := okReply()
			corrupt(reply)
			step = f.Replied(now, rnd, step.Try, reply)
			Expect(codes.Of(step.Err)).To(Equal(codes.Truncated))
		},
		Entry("truncated body", func(r *schema.ForwardReply) { r.Body = r.Body[:1] }),
		Entry("another request's id", func(r *schema.ForwardReply) { r.Id = "other" }),
	)

	It("sends a request that did not run to another upstream", func() {
		f := request(false)
		first := f.Begin(now, rnd)
		second := f.Replied(now, rnd, first.Try, refusal(codes.UpstreamFull))
		Expect(second.Action).To(Equal(flow.Send))
		Expect(second.Upstream.VM).NotTo(Equal(first.Upstream.VM))
	})

	It("revokes a non-idempotent request that may have run, and retries it only if that succeeded", func() {
		f := request(false)
		step := f.Failed(now, rnd, f.Begin(now, rnd).Try, lost)
		Expect(step.Action).To(Equal(flow.Revoke))
		step = f.Revoked(now, rnd, step.Try, true)
		Expect(step.Action).To(Equal(flow.Send))
		Expect(f.Replied(now, rnd, step.Try, okReply()).Err).NotTo(HaveOccurred())

		f = request(false)
		step = f.Failed(now, rnd, f.Begin(now, rnd).Try, lost)
		step = f.Revoked(now, rnd, step.Try, false)
		Expect(step.Action).To(Equal(flow.Done))
		Expect(codes.Of(step.Err).Info().Ran).To(Equal(codes.RanUnknown))
		Expect(inFlight()).To(BeZero())
	})

	It("does not report 'not run' if an earlier try may have run", func() {
		f := request(true)
		step := f.Failed(now, rnd, f.Begin(now, rnd).Try, lost)
		for step.Action == flow.Send {
			step = f.Replied(now, rnd, step.Try, refusal(codes.UpstreamFull))
		}
		Expect(step.Action).To(Equal(flow.Done))
		Expect(codes.Of(step.Err).Info().Ran).To(Equal(codes.RanUnknown))
	})

	It("hedges a slow idempotent request once and returns the first reply", func() {
		for range 100 {
			f := request(true)
			f.Replied(now.Add(10*time.Millisecond), rnd, f.Begin(now, rnd).Try, okReply())
		}
		f := request(true)
		first := f.Begin(now, rnd)
		Expect(first.HedgeAfter).To(BeNumerically("~", 15*time.Millisecond, 3*time.Millisecond))
		second := f.Hedge(now, rnd)
		Expect(second.Action).To(Equal(flow.Send))
		Expect(f.Hedge(now, rnd).Action).To(Equal(flow.Wait))
		done := f.Replied(now, rnd, second.Try, okReply())
		Expect(done.Action).To(Equal(flow.Done))
		Expect(f.Failed(now, rnd, first.Try, errors.New("cancelled")).Action).To(Equal(flow.Wait))
		Expect(inFlight()).To(BeZero())
	})

	It("sends a request with the caller's id only to its owner, and only while the upstreams are up to date", func() {
		begin := func() flow.Step {
			return flow.New(s, flow.Request{ID: "id", Stamp: now, Deadline: now.Add(time.Second)}).Begin(now, rnd)
		}
		Expect(codes.Of(begin().Err)).To(Equal(codes.StaleID))
		s.FreshUntil = now.Add(time.Second)
		owner := begin().Upstream.VM
		for range 10 {
			Expect(begin().Upstream.VM).To(Equal(owner))
		}
	})

	It("refuses requests of a kind at the entry after upstreams refused them", func() {
		s.RetryShare = 0
		refused := 0
		for i := range 300 {
			at := now.Add(time.Duration(i) * 100 * time.Millisecond)
			f := flow.New(s, flow.Request{ID: "id", Kind: "bulk", Idempotent: true, Deadline: at.Add(time.Second)})
			step := f.Begin(at, rnd)
			if step.Action == flow.Done {
				Expect(codes.Of(step.Err)).To(Equal(codes.Overloaded))
				refused++
				continue
			}
			if i < 200 {
				continue // stays in flight
			}
			f.Replied(at, rnd, step.Try, refusal(codes.UpstreamFull))
		}
		Expect(refused).To(BeNumerically(">", 50))
	})

	It("reports that there is no upstream", func() {
		s.Update(now, nil, nil, 1)
		step := request(true).Begin(now, rnd)
		Expect(codes.Of(step.Err)).To(Equal(codes.NoUpstream))
		Expect(codes.RetryAfter(step.Err)).To(BeNumerically(">", 0))
	})
})
