package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/fake/plog"
)

// A configuration that the log could never take held back all other records for five seconds, and was
// answered with a request to come back.
var _ = Describe("An entry with a record that the log does not accept", func() {
	It("refuses it at once, and accepts the next one", func() {
		log := &plog.Log{}
		log.Set(plog.Faults{MaxEntry: 4000})
		e := startReady("e", log)
		var kinds []string
		for n := range 200 {
			kinds = append(kinds, fmt.Sprintf(`"kind-%d": {"cpu": 1, "memory": "1GB"}`, n))
		}
		large := `{"batch": {` + strings.Join(kinds, ",") + `}}`
		startedAt := time.Now()
		Expect(call(e, http.MethodPut, "/v1/teams/u/config", large, "If-Match", "0").Code).To(Equal(codes.BodyTooLarge))
		Expect(time.Since(startedAt)).To(BeNumerically("<", 2*time.Second))
		publish(e, "0", `{"batch": {"small": {"cpu": 1, "memory": "1GB"}}}`)
	})
})
