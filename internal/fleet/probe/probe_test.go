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
		var o probe.Health
		for range 4 {
			Expect(o.Failed(now, true)).To(BeFalse())
		}
		o.Succeeded()
		for range 4 {
			o.Failed(now, true)
		}
		Expect(o.Failed(now, true)).To(BeTrue())
		Expect(o.MayProbe(now)).To(BeFalse())
		at := now.Add(time.Second)
		Expect(o.MayProbe(at)).To(BeTrue())
		o.Sent()
		Expect(o.MayProbe(at)).To(BeFalse())
		o.Failed(at, true)
		Expect(o.MayProbe(at.Add(time.Second))).To(BeFalse())
		Expect(o.MayProbe(at.Add(2 * time.Second))).To(BeTrue())
		o.Sent()
		Expect(o.Succeeded()).To(BeTrue())
		Expect(o.Ejected()).To(BeFalse())
	})

	It("stays in use while too many others are out", func() {
		var o probe.Health
		for range 20 {
			Expect(o.Failed(now, false)).To(BeFalse())
		}
		Expect(o.Ejected()).To(BeFalse())
	})
})
