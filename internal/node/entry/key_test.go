package entry_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/fake/plog"
	"github.com/ebonyarch/ebonyarch/internal/node/entry"
)

// The answer used to be that the job was refused and certainly does not run, although it
// had been accepted: the caller of a submission with an unknown fate asks in this way.
var _ = Describe("A submission that is repeated with its key", func() {
	var e *entry.Entry
	var path string
	repeat := func(body string) answer {
		return call(e, http.MethodPost, teamPath+"/jobs", body, "Idempotency-Key", "k")
	}
	BeforeEach(func() {
		e = startReady("e", &plog.Log{})
		publish(e, "0", teamConfig)
		path = submit(e, "k")
	})

	It("gives the same job after the kind was removed", func() {
		publish(e, "1", `{"batch": {"other": {"cpu": 1, "memory": "1GB"}}}`)
		Expect(submit(e, "k")).To(Equal(path))
	})

	It("gives the same job after the team was deleted", func() {
		Expect(call(e, http.MethodDelete, teamPath+"/config", "", "If-Match", "1").Status).To(Equal(http.StatusOK))
		Expect(submit(e, "k")).To(Equal(path))
	})

	It("is refused with another body, whatever the configuration says", func() {
		Expect(repeat(`{"kind": "bulk", "tasks": 3}`).Code).To(Equal(codes.KeyConflict))
		publish(e, "1", `{"batch": {"other": {"cpu": 1, "memory": "1GB"}}}`)
		Expect(repeat(`{"kind": "bulk", "tasks": 3}`).Code).To(Equal(codes.KeyConflict))
	})
})
