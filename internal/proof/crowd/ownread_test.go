//go:build crowd

package crowd_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A system with the own interface holds", func() {
	DescribeTable("against many requests at the same time for what is large:", func(prepare func(s *own) (path string)) {
		const callers = 1200
		s := startOwn()
		path := prepare(s)
		var wg sync.WaitGroup
		for range callers {
			wg.Go(func() { call(http.MethodGet, s.callers, ownHost, path, "") })
		}
		wg.Wait()
		s.expectHolds()
	},
		Entry("a list of jobs", func(s *own) string {
			var wg sync.WaitGroup
			for caller := range 16 {
				wg.Go(func() {
					for i := range 500 {
						call(http.MethodPost, s.callers, ownHost, teamPath+"/jobs", `{"kind":"catalogue","tasks":1}`, "Idempotency-Key", fmt.Sprintf("list-%d-%d", caller, i))
					}
				})
			}
			wg.Wait()
			return teamPath + "/jobs"
		}),
		Entry("a job with many tasks", func(s *own) string {
			status, text := call(http.MethodPost, s.callers, ownHost, teamPath+"/jobs", `{"kind":"catalogue","tasks":20000}`, "Idempotency-Key", "large")
			Expect(status).To(Equal(http.StatusAccepted))
			_, id, _ := strings.Cut(text, `"id": "`)
			id, _, _ = strings.Cut(id, `"`)
			return teamPath + "/jobs/" + id
		}),
		Entry("the history of a configuration", func(s *own) string {
			comment := "// " + strings.Repeat("x", 200_000) + "\n"
			for range 12 {
				status, _ := call(http.MethodGet, s.callers, ownHost, teamPath+"/config", "")
				Expect(status).To(Equal(http.StatusOK))
				publishRevision(s, comment+presses)
			}
			return teamPath + "/config/history"
		}),
	)
})

// publishRevision publishes a further revision of the configuration.
func publishRevision(s *own, body string) {
	GinkgoHelper()
	s.revision++
	status, text := call(http.MethodPut, s.callers, ownHost, teamPath+"/config", body, "If-Match", fmt.Sprintf("%q", fmt.Sprint(s.revision)))
	Expect(status).To(Equal(http.StatusOK), text)
}
