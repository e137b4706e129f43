package teams_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/conf/teams"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

var _ = Describe("a team's configuration", func() {
	It("has no faults in the examples", func() {
		for _, file := range []string{"presses.jsonc", "universities.jsonc"} {
			body, err := os.ReadFile(filepath.Join("../../../examples", file))
			Expect(err).NotTo(HaveOccurred())
			_, faults := teams.Parse(file, body)
			Expect(faults).To(BeEmpty())
		}
	})

	DescribeTable("reports a fault with its field and reason",
		func(body, field, reason string) {
			_, faults := teams.Parse("t", []byte(body))
			Expect(faults).To(HaveLen(1))
			Expect(faults[0].Field).To(Equal(field))
			Expect(faults[0].Reason).To(ContainSubstring(reason))
		},
		Entry("name", `{"services": {"a b": {"cpu": 1}}}`, "services.a b", "letters"),
		Entry("no cpu", `{"batch": {"a": {}}}`, "batch.a.cpu", "more than 0"),
		Entry("replicas", `{"services": {"a": {"cpu": 1, "replicas": 9999}}}`, "services.a.replicas", "at most"),
		Entry("timeout", `{"services": {"a": {"cpu": 1, "timeout": "1h"}}}`, "services.a.timeout", "between"),
		Entry("body limit", `{"services": {"a": {"cpu": 1, "bodyLimit": "1GB"}}}`, "services.a.bodyLimit", "at most"),
		Entry("shares", `{"services": {"a": {"cpu": 1, "kinds": {"x": {"share": 60}, "y": {"share": 60}}}}}`, "services.a.kinds", "120 percent"),
		Entry("prefix", `{"services": {"a": {"cpu": 1, "kinds": {"x": {"prefix": "v"}}}}}`, "services.a.kinds.x.prefix", "slash"),
		Entry("retry", `{"retry": {"percent": 200}}`, "retry.percent", "at most"),
		Entry("cell", `{"cell": "no such!"}`, "cell", "letters"),
		Entry("too large", `{"cell": "`+strings.Repeat("x", 300<<10)+`"}`, "", "larger"),
	)

	It("refuses services and kinds that fit on no VM, and warns if quotas exceed the processors of all VMs", func() {
		vms := []*schema.Size{{CpuMilli: 4000, MemoryMb: 8192}}
		body := []byte(`{"quota": {"cpu": 6}, "services": {"a": {"cpu": 5}}, "batch": {"b": {"cpu": 1, "accelerators": 1}}}`)
		faults, warnings := teams.CheckFit("t", body, vms, 1000)
		Expect(faults).To(HaveLen(2))
		Expect(warnings).To(HaveLen(1))
		Expect(warnings[0].Reason).To(ContainSubstring("7 processors"))
	})

	It("chooses the kind with the longest prefix", func() {
		s := teams.Service{Kinds: map[string]teams.RequestKind{"a": {Prefix: "/v"}, "b": {Prefix: "/v/x"}}}
		Expect(s.KindOf("/v/x/1")).To(Equal("b"))
		Expect(s.KindOf("/v/y")).To(Equal("a"))
		Expect(s.KindOf("/")).To(Equal(teams.DefaultKind))
	})
})

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"services": {"a": {"cpu": 1, "kinds": {"x": {"prefix": "/v", "share": 3}}}}}`))
	f.Add([]byte(`{"batch": {"b": {"cpu": 1e300, "memory": "1TB", "work": "-1s"}}, "quota": {"cpu": -1}}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		cfg, faults := teams.Parse("t", body)
		again, more := teams.Parse("t", body)
		if len(faults) != len(more) || cfg.CellName() != again.CellName() {
			t.Fatal("Parse returned different results for the same input")
		}
		if len(faults) == 0 {
			teams.CheckFit("t", body, []*schema.Size{{CpuMilli: 1}}, 0)
		}
	})
}
