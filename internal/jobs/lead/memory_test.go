package lead_test

import (
	"log/slog"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/book"
	"github.com/ebonyarch/ebonyarch/internal/jobs/lead"
	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

var _ = Describe("What a leader learned", func() {
	// next lets another leader take over from the records, recalling or not.
	next := func(s *shared, recall bool) *shared {
		state, faults := book.Load(s.records)
		Expect(faults).To(BeEmpty())
		s.leader = lead.New(s.now, epoch+1, state, model.Config{}, slog.New(slog.DiscardHandler))
		s.out, s.over = nil, 0
		if recall {
			Expect(s.leader.RestoreEstimates(s.now, s.records)).To(Succeed())
		}
		for n := range s.vms {
			s.beat(n, true, s.rows(n, 0.3)...)
		}
		s.pass(time.Second)
		s.obey()
		return s
	}

	// heavyAfter returns how many heavy fillers start within a moment on VMs whose tasks
	// they would overload.
	heavyAfter := func(recall bool) int {
		s := newShared(4, mostHeld)
		s.obey()
		s.submit(2, "heavy", 2)
		s.play(0.3, 8*time.Second)
		s.submit(5, "light", 1)
		s.play(0.3, 4*time.Second)
		s = next(s, recall)
		before := s.count("heavy")
		s.submit(4, "heavy", 4)
		s.play(0.3, maxIdle)
		return s.count("heavy") - before
	}

	It("is taken over by the next one", func() {
		Expect(heavyAfter(true)).To(BeZero())
		Expect(heavyAfter(false)).To(BeNumerically(">", 0))
	})

	DescribeTable("is left out if it cannot be used", func(value string, err bool) {
		b := newBench()
		got := b.leader.RestoreEstimates(b.now, []port.Record{{Key: "learned", Value: []byte(value)}})
		Expect(got != nil).To(Equal(err))
	},
		Entry("bytes of another writer", "\xff\x00", true),
		Entry("nothing", "", true),
		Entry("fields missing", "\x80", true),
	)
})
