package member_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/fleet/member"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

func vm(name string, incarnation int64, version uint64) *schema.Member {
	return &schema.Member{Vm: name, Incarnation: incarnation, Version: version}
}

var _ = Describe("the table of members", func() {
	now := time.Unix(1e9, 0)
	var t *member.Table
	BeforeEach(func() { t = &member.Table{} })

	It("passes on only what changed", func() {
		t.Announce(now, vm("a", 1, 1))
		t.Announce(now, vm("b", 1, 1))
		v := t.Version()
		t.Announce(now.Add(time.Second), vm("a", 1, 1))
		Expect(t.ChangedSince(v)).To(BeEmpty())
		t.Announce(now, vm("b", 1, 2))
		Expect(t.ChangedSince(v)).To(HaveLen(1))
	})

	It("marks silent VMs gone and takes them back", func() {
		t.Announce(now, vm("a", 1, 1))
		Expect(t.Expire(now.Add(member.HeartbeatTimeout))).To(BeEmpty())
		Expect(t.Expire(now.Add(member.HeartbeatTimeout + 1))).To(ConsistOf("a"))
		Expect(t.Present()).To(BeEmpty())
		t.Announce(now.Add(time.Minute), vm("a", 1, 1))
		Expect(t.Present()).To(HaveLen(1))
	})

	It("refuses what is older, from agents and entries alike", func() {
		t.Announce(now, vm("a", 2, 1))
		Expect(t.Announce(now, vm("a", 1, 9))).To(BeFalse())
		t.Merge(now, vm("a", 1, 9))
		m, _ := t.Get("a")
		Expect(m.GetIncarnation()).To(BeEquivalentTo(2))
	})

	It("believes an agent that moved to another entry over the silence here", func() {
		t.Announce(now, vm("a", 1, 1))
		t.Expire(now.Add(time.Minute))
		t.Merge(now.Add(time.Minute), vm("a", 1, 2))
		Expect(t.Present()).To(HaveLen(1))
		gone := vm("a", 1, 1)
		gone.Gone = true
		t.Merge(now.Add(time.Minute), gone)
		Expect(t.Present()).To(HaveLen(1))
	})
})
