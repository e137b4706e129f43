package lead_test

import (
	"log/slog"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/lead"
	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/table"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

var _ = Describe("The estimates of a leader", func() {
	// takeOver replaces the leader by a new one that starts from the records, with or without
	// the recorded estimates.
	takeOver := func(s *colocation, restore bool) *colocation {
		state, faults := table.Load(s.records)
		Expect(faults).To(BeEmpty())
		s.leader = lead.New(s.now, epoch+1, state, model.Config{}, slog.New(slog.DiscardHandler))
		s.out, s.overTarget = nil, 0
		if restore {
			Expect(s.leader.RestoreEstimates(s.now, s.records)).To(Succeed())
		}
		for n := range s.vms {
			s.requestLease(n, true, s.statuses(n, 0.3)...)
		}
		s.advance(time.Second)
		s.applyOrders()
		return s
	}

	// heavyStartsAfter returns how many heavy best-effort tasks a new leader starts within
	// belowMaxIdle on VMs whose long-running tasks they would overload.
	heavyStartsAfter := func(restore bool) int {
		s := newColocation(4, highRequest)
		s.applyOrders()
		s.submit(2, "heavy", 2)
		s.simulate(0.3, 8*time.Second)
		s.submit(5, "light", 1)
		s.simulate(0.3, 4*time.Second)
		s = takeOver(s, restore)
		before := s.count("heavy")
		s.submit(4, "heavy", 4)
		s.simulate(0.3, belowMaxIdle)
		return s.count("heavy") - before
	}

	It("are restored by the next one", func() {
		Expect(heavyStartsAfter(true)).To(BeZero())
		Expect(heavyStartsAfter(false)).To(BeNumerically(">", 0))
	})

	DescribeTable("are rejected if the record is invalid", func(value string, err bool) {
		b := newHarness()
		got := b.leader.RestoreEstimates(b.now, []port.Record{{Key: "learned", Value: []byte(value)}})
		Expect(got != nil).To(Equal(err))
	},
		Entry("bytes of another writer", "\xff\x00", true),
		Entry("nothing", "", true),
		Entry("fields missing", "\x80", true),
	)
})
