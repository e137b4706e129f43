package entry_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/conf/proc"
	"github.com/ebonyarch/ebonyarch/internal/fake/plog"
)

// Jobs are kept for a day after their end, and nothing bounded their memory.
var _ = Describe("An entry with as many jobs as its memory allows", func() {
	It("refuses a further one, and confirms those that were accepted", func() {
		e := start(proc.Entry{Name: "e", JobMemory: 1}, &plog.Log{})
		Eventually(e.Ready).WithTimeout(5 * time.Second).Should(Succeed())
		publish(e, "0", `{"batch": {"small": {"cpu": 1, "memory": "1GB"}}}`)
		submit := func(key, tasks string) answer {
			return call(e, http.MethodPost, teamPath+"/jobs", `{"kind": "small", "tasks": `+tasks+`}`, "Idempotency-Key", key)
		}
		Expect(submit("first", "3000").Status).To(Equal(http.StatusAccepted))
		refused := submit("second", "3000")
		Expect(refused.Code).To(Equal(codes.JobsFull))
		Expect(refused.Status).To(Equal(http.StatusTooManyRequests))
		Expect(submit("first", "3000").Status).To(Equal(http.StatusAccepted))
		Expect(submit("third", "10").Status).To(Equal(http.StatusAccepted))
	})
})
