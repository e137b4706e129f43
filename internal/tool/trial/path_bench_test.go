package trial_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/tool/trial"
)

const benchConfig = `{"services": {"s": {"replicas": 1, "cpu": 1, "memory": "1GB", "slots": 512, "timeout": "10s"}}}`

// BenchmarkPath measures the overhead of a request through an entry and an agent over a
// direct request to the upstream: the ratio and difference of the median latencies in one
// run, and the processor time and allocations per request. The stand-in for the upstream
// and the callers run in the same process and are included in both.
func BenchmarkPath(b *testing.B) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	f, err := trial.Start(trial.FleetConfig{Entries: 1, Agents: 1, CPU: 16, Memory: 60 << 10}, log)
	defer f.Stop()
	if err != nil {
		b.Fatal(err)
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
	direct := "http://" + f.VMs[0].WorkerAddr().String() + "/serve/t/s/x"
	routed := "http://" + f.Entries[0].Addr().String() + "/v1/teams/t/services/s/x"
	publish(b, client, f)
	for !get(client, routed) {
		pause(50 * time.Millisecond)
	}
	for _, n := range []int{1, 64, 512} {
		b.Run(fmt.Sprintf("callers=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			var ratio, extra, cpu float64
			for b.Loop() {
				base, _ := sendLoad(b, client, direct, n)
				through, used := sendLoad(b, client, routed, n)
				ratio = float64(through) / float64(base)
				extra = float64(through-base) / 1000
				cpu = used
			}
			b.ReportMetric(ratio, "median-ratio")
			b.ReportMetric(extra, "added-µs")
			b.ReportMetric(cpu, "cpu-µs/request")
		})
	}
}

func publish(b *testing.B, client *http.Client, f *trial.Fleet) {
	url := "http://" + f.Entries[0].Addr().String() + "/v1/teams/t/config"
	for {
		req, _ := http.NewRequestWithContext(context.Background(), http.MethodPut, url, strings.NewReader(benchConfig))
		req.Header.Set("If-Match", `"0"`)
		resp, err := client.Do(req)
		if err != nil {
			b.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
		pause(50 * time.Millisecond)
	}
}

func get(client *http.Client, url string) bool {
	resp, err := client.Get(url)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// sendLoad sends requests from n concurrent callers. It returns the median latency and the
// processor time per request, in microseconds.
func sendLoad(b *testing.B, client *http.Client, url string, n int) (time.Duration, float64) {
	const requests = 4096
	var mu sync.Mutex
	var wg sync.WaitGroup
	var all []time.Duration
	before := processorTime()
	for range n {
		wg.Go(func() {
			var latencies []time.Duration
			for range requests / n {
				start := time.Now()
				if !get(client, url) {
					b.Error("no answer from", url)
					return
				}
				latencies = append(latencies, time.Since(start))
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, latencies...)
		})
	}
	wg.Wait()
	used := processorTime() - before
	slices.Sort(all)
	return all[len(all)/2], float64(used.Microseconds()) / float64(len(all))
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func pause(d time.Duration) { <-time.After(d) }
