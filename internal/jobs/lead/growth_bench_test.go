package lead_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
)

// BenchmarkGrowth doubles what the steps of a leader depend on, one after the other: the tasks of the
// jobs and with them the runs of a VM, the serving tasks, and the jobs. It shows the longest step of each
// kind in milliseconds and its work. None may grow faster than n log n.
func BenchmarkGrowth(b *testing.B) {
	for _, of := range []struct {
		what string
		at   func(n int) burst
	}{
		{"tasks", func(n int) burst { return burst{vms: 4, servingJobs: 8, servingTasks: 6, jobs: 4, tasks: 125 * n} }},
		{"members", func(n int) burst {
			return burst{vms: 4, servingJobs: 8, servingTasks: 6, jobs: 1, tasks: 1000 * n, gang: true}
		}},
		{"gangs", func(n int) burst {
			return burst{vms: 4, servingJobs: 8, servingTasks: 6, jobs: 4 * n, tasks: 125, gang: true}
		}},
		{"serving", func(n int) burst { return burst{vms: 4, servingJobs: 8 * n, servingTasks: 6, jobs: 4, tasks: 500} }},
		{"jobs", func(n int) burst { return burst{vms: 4, servingJobs: 8, servingTasks: 6, jobs: 500 * n, tasks: 1} }},
	} {
		for _, n := range []int{1, 2, 4} {
			b.Run(fmt.Sprintf("%s=%d", of.what, n), func(b *testing.B) {
				RegisterTestingT(b)
				for b.Loop() {
					h := newBurst(of.at(n))
					h.submitBurst()
					h.cancelBurst()
					h.settle()
					for kind, took := range h.slowest {
						b.ReportMetric(float64(took.Microseconds())/1000, kind+"-ms")
						b.ReportMetric(float64(h.longest[kind]), kind+"-work")
					}
				}
			})
		}
	}
}
