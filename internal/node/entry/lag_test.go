package entry_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/fake/plog"
	"github.com/ebonyarch/ebonyarch/internal/node/entry"
)

// An entry used to answer from what it had read of the log by then, however old that
// was: that there is no such job, or that a cancelled one still waits.
var _ = Describe("An entry that lags behind the log", func() {
	var (
		log           *plog.Log
		link          *linkLog
		ahead, behind *entry.Entry
	)
	BeforeEach(func() {
		log = &plog.Log{}
		link = &linkLog{Log: log}
		ahead, behind = startReady("ahead", log), startReady("behind", link)
		publish(ahead, "0", teamConfig)
	})

	It("shows a job that another entry has just accepted", func() {
		link.loseReads()
		path := submit(ahead, "k")
		Expect(call(behind, http.MethodGet, path, "").Status).To(Equal(http.StatusOK))
	})

	It("lists a job that another entry has just accepted", func() {
		link.loseReads()
		submit(ahead, "k")
		Expect(call(behind, http.MethodGet, teamPath+"/jobs", "").Body).To(ContainSubstring(`"key": "k"`))
	})

	It("shows a job as cancelled that another entry has just cancelled", func() {
		path := submit(ahead, "k")
		Expect(call(behind, http.MethodGet, path, "").Status).To(Equal(http.StatusOK))
		link.loseReads()
		Expect(call(ahead, http.MethodDelete, path, "").Status).To(Equal(http.StatusOK))
		Expect(call(behind, http.MethodGet, path, "").Body).To(ContainSubstring(`"cancelled": true`))
	})

	It("shows an ended job while it cannot reach the log", func() {
		path := submit(ahead, "k")
		Expect(call(behind, http.MethodDelete, path, "").Status).To(Equal(http.StatusOK))
		link.cut()
		Expect(call(behind, http.MethodGet, path, "").Body).To(ContainSubstring(`"cancelled": true`))
	})

	It("does not say that there is no such job while it cannot reach the log", func() {
		link.cut()
		path := submit(ahead, "k")
		Expect(call(behind, http.MethodGet, path, "").Code).To(Equal(codes.NotReady))
		Expect(call(behind, http.MethodGet, teamPath+"/jobs", "").Code).To(Equal(codes.NotReady))
	})

	It("says that there is no such job once the log says so", func() {
		link.loseReads()
		Expect(call(behind, http.MethodGet, teamPath+"/jobs/none", "").Code).To(Equal(codes.JobNotFound))
	})

	It("accepts a job of a kind that another entry has just configured", func() {
		link.loseReads()
		publish(ahead, "1", `{"batch": {"fresh": {"cpu": 1, "memory": "1GB"}}}`)
		a := call(behind, http.MethodPost, teamPath+"/jobs", `{"kind": "fresh", "tasks": 1}`, "Idempotency-Key", "k")
		Expect(a.Status).To(Equal(http.StatusAccepted), a.Body)
	})

	It("refuses a job of a kind that another entry has just removed", func() {
		link.loseReads()
		publish(ahead, "1", `{"batch": {"fresh": {"cpu": 1, "memory": "1GB"}}}`)
		a := call(behind, http.MethodPost, teamPath+"/jobs", bulkJob, "Idempotency-Key", "k")
		Expect(a.Code).To(Equal(codes.JobInvalid), a.Body)
	})
})
