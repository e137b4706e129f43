package story_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/tool/story"
)

// recorded holds lines of three processes in no particular order, and two lines that
// can't be parsed.
const recorded = `
{"time":"2026-01-01T10:00:05Z","level":"INFO","msg":"run ended","node":"a","req":"00000000000000aa","task":"00000000000000aa.0.0.0","run":1,"vm":"vm-1","outcome":"done"}
   5.01 front-a {"time":"2026-01-01T10:00:01Z","level":"INFO","msg":"job accepted","node":"a","req":"00000000000000aa","queue":"q"}
{"time":"2026-01-01T10:00:01.5Z","level":"INFO","msg":"task placed","node":"a","req":"00000000000000aa","task":"00000000000000aa.0.0.0","run":1,"vm":"vm-1"}
{"time":"2026-01-01T10:00:02Z","level":"INFO","msg":"run started","node":"b","task":"00000000000000aa.0.0.0","run":1,"vm":"vm-1"}
{"time":"2026-01-01T10:00:03Z","level":"INFO","msg":"VM changes","node":"a","vm":"vm-1","draining":true}
{"time":"2026-01-01T10:00:03Z","level":"INFO","msg":"VM changes","node":"a","vm":"vm-2","draining":true}
{"time":"2026-01-01T10:00:00Z","level":"INFO","msg":"leads","node":"a","epoch":3}
{"time":"2026-01-01T09:00:00Z","level":"INFO","msg":"leads","node":"c","epoch":2}
{"time":"2026-01-01T10:00:02Z","level":"INFO","msg":"job accepted","node":"a","req":"00000000000000bb","queue":"q"}
not a log line
{"msg":"no time"}
`

var _ = Describe("The history of a job", func() {
	historyOf := func(log, id string) (*story.JobHistory, int) {
		lines, skipped, err := story.Read(strings.NewReader(log))
		Expect(err).NotTo(HaveOccurred())
		h := story.New(lines, model.ID("00000000000000"+id))
		return h, skipped
	}

	It("contains the job's lines in order of time, and lines about its VMs and processes", func() {
		h, skipped := historyOf(recorded, "aa")
		Expect(skipped).To(Equal(2))
		var messages []string
		for _, line := range h.Lines {
			messages = append(messages, line.Message)
		}
		Expect(messages).To(Equal([]string{"job accepted", "task placed", "run started", "run ended"}))
		Expect(h.Context).To(HaveLen(2))
		Expect(h.Missing).To(BeEmpty())
		var out strings.Builder
		Expect(h.Write(&out)).To(Succeed())
		Expect(out.String()).To(ContainSubstring("* 10:00:01.500 a: task placed run=1 task=00000000000000aa.0.0.0 vm=vm-1"))
		Expect(out.String()).To(ContainSubstring("  10:00:03.000 a: VM changes draining=true vm=vm-1"))
		Expect(out.String()).NotTo(ContainSubstring("vm-2"))
	})

	It("names the submission result, run end or job that the log does not contain", func() {
		h, _ := historyOf(strings.ReplaceAll(recorded, `"run ended"`, `"other"`), "aa")
		Expect(h.Missing).To(ConsistOf(ContainSubstring("run 1 of 00000000000000aa.0.0.0")))
		h, _ = historyOf(strings.ReplaceAll(recorded, `"job accepted"`, `"other"`), "aa")
		Expect(h.Missing).To(ConsistOf(ContainSubstring("the result of the submission")))
		h, _ = historyOf(recorded, "cc")
		Expect(h.Missing).To(ConsistOf(ContainSubstring("no line names the job")))
	})
})
