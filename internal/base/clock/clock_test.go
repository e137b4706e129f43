package clock_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/base/clock"
)

func TestClock(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "clock")
}

var _ = Describe("The clock", func() {
	// A reading may be late if the process loses the processor, so that later ones count as well.
	It("advances with the monotonic clock while the machine is not suspended", func() {
		first, began := clock.Now(), time.Now()
		Eventually(func() time.Duration { return time.Since(began) }).Should(BeNumerically(">", 20*time.Millisecond))
		Eventually(func() time.Duration {
			return clock.Now().Sub(first) - time.Since(began)
		}).Should(BeNumerically("~", 0, 10*time.Millisecond))
	})

	It("counts no suspension then", func() {
		suspended := clock.Suspended()
		Eventually(func() time.Duration { return clock.Suspended() - suspended }).Should(BeNumerically("~", 0, 2*time.Millisecond))
	})
})
