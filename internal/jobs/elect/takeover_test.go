package elect_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/elect"
)

var _ = Describe("The plan to replace a leader", func() {
	now := time.Unix(100, 0)

	It("lets entries claim one after the other, the last of 55 within 3.1 s", func() {
		var before time.Time
		for rank := range 55 {
			var t elect.Takeover
			t.Plan(now, "lost", rank, false)
			at := t.NextWakeup(now.Add(time.Hour))
			Expect(at).To(BeTemporally(">", before))
			Expect(at).To(BeTemporally("<=", now.Add(3100*time.Millisecond)))
			_, due := t.Due(at.Add(-time.Nanosecond))
			Expect(due).To(BeFalse())
			reason, due := t.Due(at)
			Expect(due).To(BeTrue())
			Expect(reason).To(Equal("lost"))
			before = at
		}
	})

	It("is not delayed by further signs of the same failure", func() {
		var t elect.Takeover
		t.Plan(now, "lost", 2, false)
		t.Plan(now.Add(300*time.Millisecond), "lost", 2, false)
		_, due := t.Due(now.Add(2 * elect.ClaimStagger))
		Expect(due).To(BeTrue())
	})

	// A leader of 55 entries left while the store was away. When it returned, an entry with a
	// seventh of the leader's processors happened to be due first.
	It("lets the first entry claim as soon as the store returns, and the others after it", func() {
		returned := now.Add(2 * time.Second)
		for rank := range 55 {
			var t elect.Takeover
			for at := now; at.Before(returned); at = at.Add(elect.ClaimStagger) {
				t.Plan(at, "leaving", rank, true)
				_, due := t.Due(at.Add(elect.ClaimStagger - time.Nanosecond))
				Expect(due).To(Equal(rank == 0), "rank %d", rank)
			}
			t.Plan(returned, "leaving", rank, false)
			_, due := t.Due(returned.Add(elect.ClaimStagger - time.Nanosecond))
			Expect(due).To(Equal(rank == 0), "rank %d", rank)
		}
	})

	It("is dropped when the leader recovers, and when it was carried out", func() {
		var t elect.Takeover
		t.Plan(now, "lost", 1, false)
		t.Cancel()
		_, due := t.Due(now.Add(time.Hour))
		Expect(due).To(BeFalse())
		t.Plan(now, "lost", 0, false)
		_, due = t.Due(now)
		Expect(due).To(BeTrue())
		_, due = t.Due(now.Add(time.Hour))
		Expect(due).To(BeFalse())
		Expect(t.NextWakeup(now)).To(Equal(now))
	})
})
