package lead_test

import (
	"bytes"
	"log/slog"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/lead"
	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/jobs/table"
)

// The log did not tell that a later leader stopped a run of a job that was cancelled before.
var _ = Describe("A leader's log of a run whose job was cancelled under an earlier leader", func() {
	It("says once that the run is stopped, while the order is repeated", func() {
		h := newHarness()
		h.join(1)
		j := job(1, smallStep)
		h.submit(j)
		h.advance(100 * time.Millisecond)
		run := msgs.RunStatus{Task: h.starts()[0].Task, Run: 1}
		h.request(msgs.Cancel, nil, j.ID)
		h.advance(100 * time.Millisecond)

		var out bytes.Buffer
		state, _ := table.Load(h.records)
		h.leader, h.out = lead.New(h.now, epoch+1, state, model.Config{}, slog.New(slog.NewTextHandler(&out, nil))), nil
		h.join(1, run)
		h.requestLease(1, false, run)
		h.advance(100 * time.Millisecond)
		Expect(h.stops()).To(HaveLen(2))
		Expect(strings.Count(out.String(), `msg="run is stopped"`)).To(Equal(1))
		Expect(out.String()).To(MatchRegexp(`msg="run is stopped" .* task=` + run.Task + ` run=1 vm=vm-1 reason="unwanted since before" seen=present state=cancelled epoch=5`))
	})
})
