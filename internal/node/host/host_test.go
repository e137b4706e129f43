package host_test

import (
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/front/gate"
	"github.com/ebonyarch/ebonyarch/internal/node/host"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

var (
	first  = netip.MustParseAddrPort("10.0.0.1:1")
	second = netip.MustParseAddrPort("10.0.0.2:1")
)

func replica() *schema.WorkerTask {
	a := &schema.Assignment{
		Task: &schema.TaskRef{Job: "service:t/s", Epoch: 1}, Team: "t", Kind: "s", Service: true, Slots: 1,
		Size: &schema.Size{CpuMilli: 1000},
	}
	return &schema.WorkerTask{Task: a.Task, Size: a.Size, Assignment: a}
}

var _ = Describe("a host", func() {
	now := time.Unix(1e9, 0)
	var h *host.Host

	BeforeEach(func() {
		h = host.New(now, host.Config{
			Entries: []netip.AddrPort{first, second},
			Member:  &schema.Member{Vm: "vm", Cell: "main", Capacity: &schema.Size{CpuMilli: 8000}},
		})
		h.Listed(now, []*schema.WorkerTask{replica()})
	})

	request := func(id string) *schema.ForwardRequest {
		return &schema.ForwardRequest{Id: id, Team: "t", Service: "s"}
	}
	requestSlot := func(id string) (*host.SlotRequest, gate.Decision, error) {
		return h.RequestSlot(now, request(id), now.Add(time.Minute))
	}

	It("grants a slot, queues the next request, and passes the released slot to it", func() {
		running, d, err := requestSlot("a")
		Expect(err).NotTo(HaveOccurred())
		Expect(d).To(Equal(gate.Granted))
		_, err = running.Start(now)
		Expect(err).NotTo(HaveOccurred())
		waiting, d, err := requestSlot("b")
		Expect(err).NotTo(HaveOccurred())
		Expect(d).To(Equal(gate.Queued))
		Expect(running.Done(now, time.Millisecond)).To(ConsistOf(waiting))
	})

	It("refuses a request that was revoked in the queue, and passes its slot to the next one", func() {
		running, _, _ := requestSlot("a")
		_, err := running.Start(now)
		Expect(err).NotTo(HaveOccurred())
		waiting, _, _ := requestSlot("b")
		third, _, _ := requestSlot("c")
		Expect(h.Revoke(now, "b")).To(BeTrue())
		Expect(h.Revoke(now, "a")).To(BeFalse())
		running.Done(now, time.Millisecond)
		granted, err := waiting.Start(now)
		Expect(codes.Of(err)).To(Equal(codes.Revoked))
		Expect(granted).To(ConsistOf(third))
	})

	It("gives up its replicas after Leave once the last request has ended", func() {
		running, _, _ := requestSlot("a")
		_, err := running.Start(now)
		Expect(err).NotTo(HaveOccurred())
		h.Leave()
		h.Listed(now, []*schema.WorkerTask{replica()})
		stops, _ := h.Runner.Actions(now)
		Expect(stops).To(BeEmpty(), "a request runs on the replica")
		running.Done(now, time.Millisecond)
		h.Listed(now, []*schema.WorkerTask{replica()})
		stops, _ = h.Runner.Actions(now)
		Expect(stops).To(HaveLen(1))
	})

	It("refuses requests after Leave with a code that says that they did not run", func() {
		h.Leave()
		_, _, err := requestSlot("a")
		Expect(codes.Of(err)).To(Equal(codes.Leaving))
		Expect(codes.Of(err).Info().Ran).To(Equal(codes.RanNo))
		req, _ := h.NextHeartbeat(now)
		Expect(req.GetMember().GetLeaving()).To(BeTrue())
	})

	It("sends no heartbeat if the worker has not listed its attempts for 4 s", func() {
		req, _ := h.NextHeartbeat(now.Add(2 * time.Second))
		Expect(req).NotTo(BeNil())
		req, _ = h.NextHeartbeat(now.Add(4 * time.Second))
		Expect(req).To(BeNil())
	})

	It("sends the whole member until the entry has it, and brief heartbeats afterwards", func() {
		req, _ := h.NextHeartbeat(now)
		Expect(req.GetBrief()).To(BeFalse())
		h.Replied(now, now, &schema.BeatReply{Leader: true, Term: 1})
		req, _ = h.NextHeartbeat(now)
		Expect(req.GetBrief()).To(BeTrue())
		_, sendNow := h.Replied(now, now, &schema.BeatReply{WantWhole: true, Term: 1})
		Expect(sendNow).To(BeTrue())
		req, _ = h.NextHeartbeat(now)
		Expect(req.GetBrief()).To(BeFalse())
	})

	It("follows the leader, switches from an entry that does not reply, and follows a higher term", func() {
		h.NextHeartbeat(now)
		_, sendNow := h.Replied(now, now, &schema.BeatReply{LeaderAddr: second.String(), Term: 1})
		Expect(sendNow).To(BeTrue())
		Expect(h.Entry()).To(Equal(second))
		h.HeartbeatFailed(second)
		Expect(h.Entry()).To(Equal(first))
		h.Poked(&schema.PokeRequest{Term: 1, Leader: second.String()})
		Expect(h.Entry()).To(Equal(first))
		h.Poked(&schema.PokeRequest{Term: 2, Leader: second.String()})
		Expect(h.Entry()).To(Equal(second))
	})

	// Heartbeats used to follow each other without a pause while all entries refused them.
	It("tries each entry at once after a failure, but waits once all have failed", func() {
		Expect(h.HeartbeatFailed(h.Entry())).To(BeZero())
		Expect(h.HeartbeatFailed(h.Entry())).To(BeNumerically(">=", 100*time.Millisecond))
		Expect(h.HeartbeatFailed(h.Entry())).To(BeNumerically(">=", 100*time.Millisecond))
		h.Replied(now, now, &schema.BeatReply{Leader: true, Term: 1})
		Expect(h.HeartbeatFailed(h.Entry())).To(BeZero())
	})

	It("switches from an entry that was the leader and knows of no other", func() {
		h.NextHeartbeat(now)
		h.Replied(now, now, &schema.BeatReply{LeaderAddr: first.String(), Term: 1})
		Expect(h.Entry()).To(Equal(second))
	})
})
