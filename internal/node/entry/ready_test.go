package entry_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
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
	// It used to answer that there is no such job or team, although another entry had
	// accepted it.
	DescribeTable("does not say what exists", func(method, path, body string) {
		e := startEntry("e", silentLog{})
		a := call(e, method, path, body, "Idempotency-Key", "k", "If-Match", "1")
		Expect(a.Status).To(Equal(http.StatusServiceUnavailable))
		Expect(a.Code).To(Equal(codes.NotReady))
	},
		Entry("job", http.MethodGet, "/v1/teams/t/jobs/j", ""),
		Entry("jobs", http.MethodGet, "/v1/teams/t/jobs", ""),
		Entry("configuration", http.MethodGet, "/v1/teams/t/config", ""),
		Entry("history", http.MethodGet, "/v1/teams/t/config/history", ""),
		Entry("submission", http.MethodPost, "/v1/teams/t/jobs", bulkJob),
		Entry("cancelling", http.MethodDelete, "/v1/teams/t/jobs/j", ""),
		Entry("teams", http.MethodGet, "/v1/teams", ""),
		Entry("service", http.MethodGet, "/v1/teams/t/services/s/path", ""),
		Entry("rollback", http.MethodPost, "/v1/teams/t/config/rollback", `{"revision": 1}`),
	)
})
