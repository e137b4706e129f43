package probe_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/fleet/probe"
)

var _ = Describe("Health", func() {
	now := time.Unix(1e9, 0)

	It("is ejected after consecutive failures, probed by one request at a time, and ejected for longer after a failed probe", func() {
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

	It("is not ejected while too many other upstreams are", func() {
		var h probe.Health
		for range 20 {
			Expect(h.Failed(now, false)).To(BeFalse())
		}
		Expect(h.Ejected()).To(BeFalse())
	})
})
