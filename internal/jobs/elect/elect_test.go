package elect_test

import (
	"net/netip"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/elect"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
)

var a, b, c = netip.MustParseAddrPort("10.0.0.1:7"), netip.MustParseAddrPort("10.0.0.2:7"), netip.MustParseAddrPort("10.0.0.3:7")

var _ = Describe("A survey", func() {
	never := msgs.Welcome{LeaderHeard: -1}

	It("finds the leader with the highest epoch", func() {
		s := elect.Survey{Answers: map[netip.AddrPort]msgs.Welcome{a: {Epoch: 3, Leader: c}, b: {Epoch: 4, Leading: true}}}
		addr, epoch, claimed := s.Leader()
		Expect(addr).To(Equal(b))
		Expect(epoch).To(Equal(uint64(4)))
		Expect(claimed).To(BeTrue())
	})

	It("delays the claims of entries by their addresses", func() {
		for self, want := range map[netip.AddrPort]time.Duration{a: 0, b: elect.ClaimStagger} {
			others := map[netip.AddrPort]msgs.Welcome{c: never}
			if self == b {
				others[a] = never
			}
			wait, ok := (&elect.Survey{Self: self, OtherEntries: 2, Answers: others}).ClaimDelay(1)
			Expect(ok).To(BeTrue())
			Expect(wait).To(Equal(want))
		}
	})

	It("lets entries with considerably more processors claim first", func() {
		waits := map[netip.AddrPort]time.Duration{}
		processors := map[netip.AddrPort]float64{a: 0.11, b: 0.8, c: 0.7}
		for self, own := range processors {
			s := elect.Survey{Self: self, Processors: own, OtherEntries: 2, Answers: map[netip.AddrPort]msgs.Welcome{}}
			for other, p := range processors {
				if other != self {
					s.Answers[other] = msgs.Welcome{LeaderHeard: -1, Processors: p}
				}
			}
			waits[self], _ = s.ClaimDelay(1)
		}
		Expect(waits).To(Equal(map[netip.AddrPort]time.Duration{b: 0, c: elect.ClaimStagger, a: 2 * elect.ClaimStagger}))
	})

	DescribeTable("keeps an entry from claiming", func(s elect.Survey) {
		_, ok := s.ClaimDelay(2)
		Expect(ok).To(BeFalse())
	},
		Entry("while another is in contact with the leader", elect.Survey{Self: b, OtherEntries: 2, Answers: map[netip.AddrPort]msgs.Welcome{a: {Epoch: 2, LeaderHeard: 100 * time.Millisecond}}}),
		Entry("while it may be cut off from all others", elect.Survey{Self: b, OtherEntries: 2}),
	)

	It("lets an entry claim that only agents can reach, or that knows of no other entry", func() {
		for _, s := range []elect.Survey{{Self: b, OtherEntries: 2, Agents: 1}, {Self: b}} {
			_, ok := s.ClaimDelay(2)
			Expect(ok).To(BeTrue())
		}
	})
})

var _ = Describe("An entry that is connected to a leader", func() {
	DescribeTable("replaces it", func(p msgs.Ping, searches int, followed time.Duration, want bool) {
		_, replace := elect.ShouldReplace(&p, searches, followed, time.Hour)
		Expect(replace).To(Equal(want))
	},
		Entry("not while it is healthy", msgs.Ping{Agents: 11}, 0, time.Minute, false),
		Entry("when it is leaving", msgs.Ping{Leaving: true}, 0, time.Minute, true),
		Entry("when it yields", msgs.Ping{Yield: true}, 0, time.Minute, true),
		Entry("when it has lost the store", msgs.Ping{Agents: 11, StoreWait: time.Second}, 0, time.Minute, true),
		Entry("when most agents cannot reach it", msgs.Ping{Agents: 4}, 7, time.Minute, true),
		Entry("not while it is new and agents still look for it", msgs.Ping{Agents: 4}, 7, time.Second, false),
	)

	DescribeTable("replaces it because it waits for the store", func(sinceStoreFailed time.Duration, want bool) {
		waiting := msgs.Ping{StoreWait: 2 * time.Second}
		Expect(elect.WaitsForStore(&waiting)).To(BeTrue())
		_, replace := elect.ShouldReplace(&waiting, 0, time.Minute, sinceStoreFailed)
		Expect(replace).To(Equal(want))
	},
		Entry("not while this entry does not reach it either", time.Duration(0), false),
		Entry("not when the store has just returned for all", 300*time.Millisecond, false),
		Entry("when this entry has reached it for longer than the leader takes to try again", 1100*time.Millisecond, true),
	)

	It("counts each agent that looks for a leader once, and for a limited time only", func() {
		var tracker elect.LeaderSearches
		now := time.Unix(5, 0)
		tracker.Add(now, "n1")
		tracker.Add(now, "n1")
		Expect(tracker.Count(now)).To(Equal(1))
		Expect(tracker.Count(now.Add(2 * time.Second))).To(BeZero())
	})

	It("merges the valid addresses of other entries into a sorted list without duplicates", func() {
		Expect(elect.MergeAddrs(nil, b, c, b, a, c, netip.AddrPort{})).To(Equal([]netip.AddrPort{a, c}))
	})

	DescribeTable("leaves out an address at which no entry can be reached", func(addr string) {
		Expect(elect.MergeAddrs(nil, b, c, netip.MustParseAddrPort(addr), a)).To(Equal([]netip.AddrPort{a, c}))
	},
		Entry("port 0", "10.0.0.9:0"), Entry("no particular address", "0.0.0.0:9"), Entry("none in IPv6", "[::]:9"), Entry("a group", "224.0.0.1:9"),
	)

	// Messages that wait to be encoded by another goroutine hold earlier lists.
	It("never changes an earlier list, nor lets two lists share memory that either may append to", func() {
		before := elect.MergeAddrs(make([]netip.AddrPort, 0, 8), b, a, c)
		d := netip.MustParseAddrPort("10.0.0.3:9")
		after := elect.MergeAddrs(before, b, d)
		Expect(before).To(Equal([]netip.AddrPort{a, c}))
		Expect(after).To(ContainElements(a, c, d))
		first := append(after, a)
		second := append(after, c)
		Expect(first).To(HaveExactElements(append(slices.Clone(after), a)))
		Expect(second).To(HaveExactElements(append(slices.Clone(after), c)))
	})
})

var _ = Describe("A leader with few processors", func() {
	DescribeTable("yields", func(own, other float64, led, waiting time.Duration, want bool) {
		Expect(elect.ShouldYield(own, other, led, waiting)).To(Equal(want))
	},
		Entry("to an entry with many", 0.11, 0.8, time.Minute, time.Duration(0), true),
		Entry("not to one with as many", 0.8, 0.8, time.Minute, time.Duration(0), false),
		Entry("not to one with slightly more", 0.16, 0.2, time.Minute, time.Duration(0), false),
		Entry("not if it has just started to lead", 0.11, 0.8, time.Second, time.Duration(0), false),
		Entry("not while it waits for the store", 0.11, 0.8, time.Minute, time.Second, false),
		Entry("not if its own number is unknown", 0.0, 0.8, time.Minute, time.Duration(0), false),
		Entry("not to one whose number is unknown", 0.11, 0.0, time.Minute, time.Duration(0), false),
	)
})
