package entry_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/fake/plog"
	"github.com/ebonyarch/ebonyarch/internal/node/entry"
)

// An entry used to answer from what it had read of the log by then: an older revision, or
// that there is no such team.
var _ = Describe("An entry that lags behind a change of configuration", func() {
	var (
		link          *linkLog
		ahead, behind *entry.Entry
	)
	BeforeEach(func() {
		log := &plog.Log{}
		link = &linkLog{Log: log}
		ahead, behind = startReady("ahead", log), startReady("behind", link)
		publish(ahead, "0", teamConfig)
	})

	It("shows the configuration that another entry has just published", func() {
		link.loseReads()
		publish(ahead, "1", `{"batch": {"fresh": {"cpu": 1, "memory": "1GB"}}}`)
		Expect(call(behind, http.MethodGet, teamPath+"/config", "").Body).To(ContainSubstring("fresh"))
	})

	It("lists a team that another entry has just created", func() {
		link.loseReads()
		publishTeam(ahead, "u", "0", teamConfig)
		Expect(call(behind, http.MethodGet, "/v1/teams", "").Body).To(ContainSubstring(`"team": "u"`))
	})

	It("shows the history of a team that another entry has just created", func() {
		link.loseReads()
		publishTeam(ahead, "u", "0", teamConfig)
		Expect(call(behind, http.MethodGet, "/v1/teams/u/config/history", "").Status).To(Equal(http.StatusOK))
	})

	It("rolls back to a revision that another entry has just published", func() {
		link.loseReads()
		publish(ahead, "1", `{"batch": {"fresh": {"cpu": 1, "memory": "1GB"}}}`)
		publish(ahead, "2", teamConfig)
		a := call(behind, http.MethodPost, teamPath+"/config/rollback", `{"revision": 2}`, "If-Match", "3")
		Expect(a.Status).To(Equal(http.StatusOK), a.Body)
	})

	It("does not say that there is no such team while it cannot reach the log", func() {
		link.cut()
		for _, path := range []string{"/config", "/config/history"} {
			Expect(call(behind, http.MethodGet, "/v1/teams/u"+path, "").Code).To(Equal(codes.NotReady), path)
		}
		Expect(call(behind, http.MethodGet, "/v1/teams", "").Code).To(Equal(codes.NotReady))
	})

	It("knows a service that another entry has just configured", func() {
		link.loseReads()
		publish(ahead, "1", `{"services": {"s": {"replicas": 1, "cpu": 1, "memory": "1GB"}}}`)
		Expect(call(behind, http.MethodGet, teamPath+"/services/s/path", "").Code).To(Equal(codes.NoUpstream))
		Expect(call(behind, http.MethodGet, teamPath+"/services/none/path", "").Code).To(Equal(codes.UnknownService))
	})

	It("does not say that there is no such service while it cannot reach the log", func() {
		link.cut()
		Expect(call(behind, http.MethodGet, "/v1/teams/u/services/s/path", "").Code).To(Equal(codes.NotReady))
		Expect(call(behind, http.MethodGet, teamPath+"/services/s/path", "").Code).To(Equal(codes.NotReady))
	})

	It("refuses a request to an unknown service by the request's deadline", func() {
		link.hang()
		a := call(behind, http.MethodGet, teamPath+"/services/s/path", "", "Request-Timeout", "50ms")
		Expect(a.Code).To(Equal(codes.NotReady))
		Expect(a.Took).To(BeNumerically("<", time.Second))
	})
})
