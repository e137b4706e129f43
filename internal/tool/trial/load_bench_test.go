package trial_test

import (
	"fmt"
	"io"
	"log/slog"
	"runtime"
	"testing"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/tool/trial"
)

// BenchmarkIdle measures the processor time, network traffic and memory that idle agents
// cause, for three numbers of agents so that the cost of one can be derived. Agents,
// workers and one entry share the process, so processor time and memory are those of all
// of them; traffic is counted at the entry's peer address.
func BenchmarkIdle(b *testing.B) {
	for _, n := range []int{20, 60, 120} {
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) {
			log := slog.New(slog.NewTextHandler(io.Discard, nil))
			f, err := trial.Start(trial.FleetConfig{Entries: 1, Agents: n, CPU: 16, Memory: 60 << 10}, log)
			defer f.Stop()
			if err != nil {
				b.Fatal(err)
			}
			pause(4 * time.Second) // until all agents have sent a heartbeat
			for b.Loop() {
				const window = 8 * time.Second
				cpu, bytes := processorTime(), f.Entries[0].PeerBytes()
				pause(window)
				used := processorTime() - cpu
				b.ReportMetric(100*used.Seconds()/window.Seconds(), "core-%")
				b.ReportMetric(float64(f.Entries[0].PeerBytes()-bytes)/window.Seconds()/float64(n), "bytes/s/agent")
			}
			runtime.GC()
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			b.ReportMetric(float64(m.HeapAlloc)/1e6, "heap-MB")
			b.ReportMetric(float64(m.Sys)/1e6, "sys-MB")
		})
	}
}
