package logs_test

import (
	"bytes"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/base/logs"
)

var _ = Describe("A writer of log lines", func() {
	It("writes the queued lines before Close returns", func() {
		var out bytes.Buffer
		w := logs.NewWriter(&out)
		for range 100 {
			w.Write([]byte("line\n"))
		}
		w.Close()
		Expect(bytes.Count(out.Bytes(), []byte("line"))).To(Equal(100))
	})

	// Calls in flight may end, and log that, while the process stops.
	It("drops lines after Close without a panic", func() {
		var out bytes.Buffer
		w := logs.NewWriter(&out)
		w.Close()
		w.Write([]byte("late\n"))
		w.Close()
		Expect(out.String()).To(BeEmpty())
	})
})
