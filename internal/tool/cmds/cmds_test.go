package cmds_test

import (
	"bytes"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/tool/cmds"
)

func run(args ...string) (code int, stdout, stderr string) {
	var out, err bytes.Buffer
	code = cmds.Main(args, &out, &err)
	return code, out.String(), err.String()
}

var _ = Describe("the command line", func() {
	file := func(text string) string {
		name := filepath.Join(GinkgoT().TempDir(), "f.jsonc")
		Expect(os.WriteFile(name, []byte(text), 0o600)).To(Succeed())
		return name
	}

	DescribeTable("returns an exit code that distinguishes invalid input and unreachable processes",
		func(want int, args ...string) {
			code, _, stderr := run(args...)
			Expect(code).To(Equal(want), stderr)
		},
		Entry("done", cmds.ExitOK, "version"),
		Entry("help", cmds.ExitOK, "help", "config"),
		Entry("completion", cmds.ExitOK, "completion", "bash"),
		Entry("unknown flag", cmds.ExitUsage, "try", "--nonsense"),
		Entry("missing argument", cmds.ExitUsage, "entry"),
		Entry("missing file", cmds.ExitUsage, "entry", "no-such-file"),
		Entry("bad level", cmds.ExitUsage, "entry", "../../../examples/entry.jsonc", "--log-level", "loud"),
		Entry("bad workload", cmds.ExitUsage, "try", "--workload", "other"),
		Entry("bad address", cmds.ExitUsage, "job", "list", "t", "--entry", "here"),
		Entry("bad output", cmds.ExitUsage, "job", "list", "t", "-o", "xml"),
		Entry("no seeds of the matrix", cmds.ExitUsage, "matrix", "--seeds", "0"),
		Entry("no seeds of the soak", cmds.ExitUsage, "soak", "--seeds", "0"),
		Entry("no entry at the address", cmds.ExitUnreachable, "job", "list", "t", "--entry", "127.0.0.1:1"),
		Entry("good settings", cmds.ExitOK, "agent", "--check", "../../../examples/agent.jsonc"),
		Entry("good configuration", cmds.ExitOK, "config", "check", "../../../examples/presses.jsonc"),
	)

	It("reports every fault in settings with file, line and field", func() {
		name := file("{\n\"vm\": \"v\",\n\"cpu\": \"many\"}")
		code, _, stderr := run("agent", name)
		Expect(code).To(Equal(cmds.ExitUsage))
		Expect(stderr).To(ContainSubstring(name + ":3: cpu: want"))
		Expect(stderr).To(ContainSubstring("zone: is missing"))
	})

	It("reports the faults in all configuration files", func() {
		a, b := file(`{"quota": 1}`), file("{\n\"nonsense\": 1}")
		code, _, stderr := run("config", "check", a, b)
		Expect(code).To(Equal(cmds.ExitUsage))
		Expect(stderr).To(ContainSubstring("quota: want an object"))
		Expect(stderr).To(ContainSubstring(":2: nonsense: unknown field"))
	})
})
