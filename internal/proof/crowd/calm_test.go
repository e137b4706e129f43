//go:build crowd

package crowd_test

import (
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("In calm, a single request is served that is as large as the limits allow:", func() {
	It("a job", func() {
		s := startPlaced(maxBody)
		steps := strings.TrimSuffix(strings.Repeat(`{"count":1,"cpu":100,"mem_mb":100,"estimate_ms":50},`, 256), ",")
		body := `{"spec":"` + strings.Repeat("x", 4000) + `","steps":[` + steps + `]`
		body += strings.Repeat(" ", maxBody-len(body)-1) + "}"
		for i, e := range s.entries {
			status, text := call(http.MethodPost, e.callers, host, jobPath(i), body, "X-Deadline-Ms", "3000")
			Expect(status).To(Equal(http.StatusOK), text)
		}
	})

	It("a call of a service, and a configuration", func() {
		s := startOwn()
		status, text := call(http.MethodPost, s.callers, ownHost, service, strings.Repeat("x", ownBody), "Idempotent", "true")
		Expect(status).To(Equal(http.StatusOK), text)
		status, text = call(http.MethodPut, s.callers, ownHost, "/v1/teams/calm/config", `{"batch":{}`+strings.Repeat(" ", 256<<10-12)+`}`, "If-None-Match", "*")
		Expect(status).To(Equal(http.StatusOK), text)
	})
})
