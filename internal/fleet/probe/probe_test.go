package probe_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/fleet/probe"
)

var _ = Describe("an outlier", func() {
	now := time.Unix(1e9, 0)

	It("is ejected after failures in a row, probed singly, and out for longer each time", func() {
		var h probe.Health
		for range 4 {
			Expect(h.Failed(now, true)).To(BeFalse())
		}
		h.Succeeded()
		for range 4 {
			h.Failed(now, true)
		}
		Expect(h.Failed(now, true)).To(BeTrue())
		Expect(h.MayProbe(now)).To(BeFalse())
		at := now.Add(time.Second)
		Expect(h.MayProbe(at)).To(BeTrue())
		h.Sent()
		Expect(h.MayProbe(at)).To(BeFalse())
		h.Failed(at, true)
		Expect(h.MayProbe(at.Add(time.Second))).To(BeFalse())
		Expect(h.MayProbe(at.Add(2 * time.Second))).To(BeTrue())
		h.Sent()
		Expect(h.Succeeded()).To(BeTrue())
		Expect(h.Ejected()).To(BeFalse())
	})

	It("stays in use while too many others are out", func() {
		var h probe.Health
		for range 20 {
			Expect(h.Failed(now, false)).To(BeFalse())
		}
		Expect(h.Ejected()).To(BeFalse())
	})
})
