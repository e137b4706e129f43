package entry_test

import (
	"context"
	"log/slog"
	"net/http"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/conf/proc"
	"github.com/ebonyarch/ebonyarch/internal/node/entry"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

// silentLog is a log that does not respond.
type silentLog struct{}

func (silentLog) Append(ctx context.Context, _ []byte) (uint64, error) {
	<-ctx.Done()
	return 0, ctx.Err()
}

func (silentLog) Read(ctx context.Context, _ uint64, _ int, _ time.Duration) ([]port.Entry, uint64, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

var _ = Describe("An entry that has not caught up with the log", func() {
	loopback := netip.MustParseAddrPort("127.0.0.1:0")

	// It used to answer that there is no such job or team, although another entry had
	// accepted it.
	DescribeTable("does not say what exists", func(path string) {
		e, err := entry.Start(proc.Entry{Name: "e", Zone: "z", Callers: loopback, Peers: loopback, Admin: loopback}, silentLog{}, slog.New(slog.DiscardHandler))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(e.Kill)
		resp, err := http.Get("http://" + e.Addr().String() + path)
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
	},
		Entry("job", "/v1/teams/t/jobs/j"),
		Entry("jobs", "/v1/teams/t/jobs"),
		Entry("configuration", "/v1/teams/t/config"),
		Entry("history", "/v1/teams/t/config/history"),
	)
})
