package lead_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
)

// BenchmarkLeaseRequest measures a lease request of a VM that lists many best-effort runs beside tasks with a
// latency target.
func BenchmarkLeaseRequest(b *testing.B) {
	for _, runs := range []int{250, 500, 1000} {
		b.Run(fmt.Sprintf("runs=%d", runs), func(b *testing.B) {
			RegisterTestingT(b)
			h := newBurst(burst{vms: 4, servingJobs: 8, servingTasks: 6, jobs: 10, tasks: 4 * runs / 10})
			h.submitBurst()
			for b.Loop() {
				h.requestLease(0, false, h.runs[0]...)
				h.leader.TakeOutbound()
			}
		})
	}
}
