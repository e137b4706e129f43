package logs_test

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/base/logs"
)

var _ = Describe("The rate limiter of log lines", func() {
	var out bytes.Buffer
	var handler slog.Handler
	now := time.Unix(1000, 0)
	write := func(h slog.Handler, at time.Time, message string, n int) {
		for range n {
			Expect(h.Handle(context.Background(), slog.NewRecord(at, slog.LevelInfo, message, 0))).To(Succeed())
		}
	}
	lines := func(message string) int { return strings.Count(out.String(), `"msg":"`+message+`"`) }

	BeforeEach(func() {
		out.Reset()
		handler = logs.NewRateLimiter(slog.NewJSONHandler(&out, nil))
	})

	It("limits the lines with one message without affecting others", func() {
		write(handler, now, "task placed", 5000)
		write(handler, now, "leads", 1)
		Expect(lines("task placed")).To(Equal(400))
		Expect(lines("leads")).To(Equal(1))
	})

	It("reports the number of dropped lines in the next line written", func() {
		write(handler, now, "task placed", 1000)
		write(handler, now.Add(time.Second), "task placed", 1)
		Expect(out.String()).To(HaveSuffix(`"heldBack":600}` + "\n"))
		write(handler, now.Add(time.Second), "task placed", 1)
		Expect(out.String()).NotTo(HaveSuffix(`"heldBack":600}` + "\n"))
	})

	It("is shared by the handlers derived from it", func() {
		other := handler.WithAttrs([]slog.Attr{slog.String("node", "a")}).WithGroup("g")
		write(handler, now, "task placed", 300)
		write(other, now, "task placed", 300)
		Expect(lines("task placed")).To(Equal(400))
	})

	It("applies one shared limit to all messages beyond the first 256", func() {
		for n := range 1000 {
			write(handler, now, strings.Repeat("x", n+1), 1)
		}
		// 256 messages with their own limit, and a burst of 400 for all others.
		Expect(strings.Count(out.String(), "\n")).To(Equal(656))
	})
})
