package proc_test

import (
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/conf/jsonc"
	"github.com/ebonyarch/ebonyarch/internal/conf/proc"
	"github.com/ebonyarch/ebonyarch/internal/front/intake"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

var _ = Describe("process settings", func() {
	It("have no faults in the examples", func() {
		data, err := os.ReadFile("../../../examples/entry.jsonc")
		Expect(err).NotTo(HaveOccurred())
		entry, faults := proc.ParseEntry("entry.jsonc", data)
		Expect(faults).To(BeEmpty())
		Expect(entry.Name).To(Equal("entry-1"))
		data, err = os.ReadFile("../../../examples/agent.jsonc")
		Expect(err).NotTo(HaveOccurred())
		agent, faults := proc.ParseAgent("agent.jsonc", data)
		Expect(faults).To(BeEmpty())
		Expect(agent.Capacity().GetCpuMilli()).To(BeEquivalentTo(64000))
	})

	It("report all their faults at once", func() {
		_, faults := proc.ParseEntry("e", []byte("{\n\"name\": \"a b\",\n\"callers\": \"nowhere\",\n\"drainTimeout\": \"-1s\",\n\"colour\": 1}"))
		var fields []string
		for _, f := range faults {
			fields = append(fields, f.Field)
		}
		Expect(fields).To(ConsistOf("zone", "peers", "admin", "log", "name", "callers", "drainTimeout", "colour"))
	})

	It("need an address to advertise if they listen on all addresses", func() {
		base := `{"name": "e", "zone": "z", "callers": "127.0.0.1:0", "peers": "0.0.0.0:81", "admin": "127.0.0.1:0", "log": "127.0.0.1:9"`
		_, faults := proc.ParseEntry("e", []byte(base+"}"))
		Expect(faults).To(HaveLen(1))
		Expect(faults[0].Field).To(Equal("advertise"))
		_, faults = proc.ParseEntry("e", []byte(base+`, "advertise": "10.0.0.7:81"}`))
		Expect(faults).To(BeEmpty())
		_, faults = proc.ParseEntry("e", []byte(base+`, "advertise": "0.0.0.0:81"}`))
		Expect(faults).To(HaveLen(1))
	})

	It("of an entry on the users' platform tell the limits of the store", func() {
		base := `{"name": "e", "zone": "z", "callers": "127.0.0.1:0", "health": "127.0.0.1:0", "peers": "127.0.0.1:81", "admin": "127.0.0.1:0", "store": "127.0.0.1:9"`
		cfg, faults := proc.ParseJobEntry("e", []byte(base+`, "recordBytes": 5000, "callBytes": 9000}`))
		Expect(faults).To(BeEmpty())
		Expect(cfg.StoreLimits()).To(Equal(port.Limits{Record: 5000, Call: 9000}))
		cfg, faults = proc.ParseJobEntry("e", []byte(base+"}"))
		Expect(faults).To(BeEmpty())
		Expect(cfg.StoreLimits()).To(BeZero())
		_, faults = proc.ParseJobEntry("e", []byte(base+`, "recordBytes": -1, "callBytes": -1}`))
		Expect(faults).To(HaveLen(2))
	})

	It("have limits that no usual client meets, unless they set others", func() {
		base := `{"name": "e", "zone": "z", "callers": "127.0.0.1:0", "health": "127.0.0.1:0", "peers": "127.0.0.1:81", "admin": "127.0.0.1:0", "store": "127.0.0.1:9"`
		cfg, faults := proc.ParseJobEntry("e", []byte(base+"}"))
		Expect(faults).To(BeEmpty())
		Expect([]any{cfg.Memory, cfg.JobMemory, cfg.MaxRuns}).To(Equal([]any{jsonc.Memory(175), jsonc.Memory(48), 1000}))
		Expect(cfg.Limits.Callers().Connections).To(Equal(intake.DefaultConnections))
		Expect(cfg.Limits.Peers().Connections).To(Equal(1024))
		Expect(cfg.Limits.Admin().Connections).To(Equal(128))
		Expect(cfg.Limits.Admin().Requests).To(Equal(16))
		cfg, faults = proc.ParseJobEntry("e", []byte(base+`, "memory": "500MB", "jobMemory": "100MB", "maxRuns": 7,
			"limits": {"connections": 1, "requests": 2, "peerConnections": 3, "adminConnections": 4, "bodyMemory": "5MB", "bodyTimeout": "6s"}}`))
		Expect(faults).To(BeEmpty())
		Expect([]any{cfg.Memory, cfg.JobMemory, cfg.MaxRuns}).To(Equal([]any{jsonc.Memory(500), jsonc.Memory(100), 7}))
		Expect(cfg.Limits.Callers()).To(Equal(intake.Limits{Connections: 1, Requests: 2, Memory: 5 << 20, BodyTimeout: 6 * time.Second}))
		Expect([]int{cfg.Limits.Peers().Connections, cfg.Limits.Admin().Connections}).To(Equal([]int{3, 4}))
	})

	DescribeTable("report limits that are out of range", func(parse func(settings string) jsonc.Faults) {
		var fields []string
		for _, f := range parse(`"limits": {"connections": -1, "requests": -1, "peerConnections": -1, "adminConnections": 2000000, "bodyMemory": "2TB", "bodyTimeout": "-1s"}`) {
			fields = append(fields, f.Field)
		}
		Expect(fields).To(ContainElements("limits.connections", "limits.requests", "limits.peerConnections", "limits.adminConnections", "limits.bodyMemory", "limits.bodyTimeout"))
	},
		Entry("of an entry", func(s string) jsonc.Faults { _, faults := proc.ParseEntry("f", []byte("{"+s+"}")); return faults }),
		Entry("of an agent", func(s string) jsonc.Faults { _, faults := proc.ParseAgent("f", []byte("{"+s+"}")); return faults }),
		Entry("of an entry on the users' platform", func(s string) jsonc.Faults {
			_, faults := proc.ParseJobEntry("f", []byte(`{"maxRuns": -1, `+s+"}"))
			Expect(faults).To(ContainElement(HaveField("Field", "maxRuns")))
			return faults
		}),
		Entry("of an agent on the users' platform", func(s string) jsonc.Faults { _, faults := proc.ParseJobAgent("f", []byte("{"+s+"}")); return faults }),
	)

	It("report an address that is empty", func() {
		_, faults := proc.ParseEntry("e", []byte(`{"name": "e", "zone": "z", "callers": "127.0.0.1:0", "peers": "127.0.0.1:81", "admin": "", "log": ""}`))
		var fields []string
		for _, f := range faults {
			fields = append(fields, f.Field)
		}
		Expect(fields).To(ConsistOf("admin", "log"))
	})

	It("report capacities and limits that are out of range", func() {
		_, faults := proc.ParseAgent("a", []byte(`{"vm": "v", "zone": "z", "peers": "127.0.0.1:0", "admin": "127.0.0.1:0",
			"worker": "127.0.0.1:0", "entries": [], "cpu": -1, "memory": "0MB", "connections": -4}`))
		var fields []string
		for _, f := range faults {
			fields = append(fields, f.Field)
		}
		Expect(fields).To(ConsistOf("worker", "entries", "cpu", "memory", "connections"))
	})
})

func FuzzSettings(f *testing.F) {
	f.Add([]byte(`{"name": "a", "callers": "127.0.0.1:0", "entries": ["[::1]:1"]}`))
	f.Add([]byte(`{"vm": "v", "cpu": 1, "memory": "1GB", "worker": "127.0.0.1:1"}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		proc.ParseEntry("e", data)
		proc.ParseAgent("a", data)
	})
}
