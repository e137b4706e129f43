package plan_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/plan"
)

// backlog replays a burst after which work keeps coming as fast as the cores can do
// it: for 6 s two and a half jobs of 5 core-seconds a second, then one, on 5 cores. A
// job uses all cores that it can get. It returns how many of the jobs were on time.
func backlog(planned bool) (onTime, jobs int) {
	const cores, step = 5, 50 * time.Millisecond
	begin := time.Unix(0, 0)
	var waiting []plan.Demand
	next := begin
	for now := begin; now.Before(begin.Add(time.Minute)); now = now.Add(step) {
		for ; !next.After(now) && next.Before(begin.Add(45*time.Second)); jobs++ {
			waiting = append(waiting, plan.Demand{
				Key: key(jobs), Objective: next.Add(4 * time.Second), RemainingTime: time.Second, CoreSeconds: 5, Value: 1,
			})
			gap := time.Second
			if now.Before(begin.Add(6 * time.Second)) {
				gap = 400 * time.Millisecond
			}
			next = next.Add(gap)
		}
		onTime += work(now, waiting, planned, cores*step.Seconds())
		waiting = open(waiting)
	}
	return onTime, jobs
}

// work spends so many core-seconds on the jobs by deadline, what can be on time first
// if it is planned. It returns how many jobs were done on time.
func work(now time.Time, waiting []plan.Demand, planned bool, left float64) int {
	onTime := 0
	var untimely map[plan.StageKey]bool
	if planned {
		untimely = plan.LateJobs(now, 5, waiting)
	}
	for _, late := range []bool{false, true} {
		for i := range waiting {
			d := &waiting[i]
			if untimely[d.Key] != late || d.CoreSeconds <= 0 {
				continue
			}
			part := min(left, d.CoreSeconds)
			d.CoreSeconds, left = d.CoreSeconds-part, left-part
			if d.CoreSeconds <= 0 && !now.After(d.Objective) {
				onTime++
			}
		}
	}
	return onTime
}

func open(waiting []plan.Demand) []plan.Demand {
	var list []plan.Demand
	for _, d := range waiting {
		if d.CoreSeconds > 0 {
			list = append(list, d)
		}
	}
	return list
}

var _ = Describe("Untimely", func() {
	now := time.Unix(100, 0)
	demand := func(n int, work, worth float64, in time.Duration) plan.Demand {
		return plan.Demand{Key: key(n), Objective: now.Add(in), RemainingTime: time.Second, CoreSeconds: work, Value: worth}
	}

	It("keeps a backlog from making all later jobs late, as deadlines alone do", func() {
		byDeadline, jobs := backlog(false)
		planned, _ := backlog(true)
		Expect(planned).To(BeNumerically(">=", 3*byDeadline), "%d against %d of %d", planned, byDeadline, jobs)
		Expect(planned).To(BeNumerically(">=", jobs*3/4))
	})

	DescribeTable("gives up", func(demands []plan.Demand, want ...int) {
		var keys []plan.StageKey
		for k := range plan.LateJobs(now, 1, demands) {
			keys = append(keys, k)
		}
		var expected []any
		for _, n := range want {
			expected = append(expected, key(n))
		}
		Expect(keys).To(ConsistOf(expected...))
	},
		Entry("nothing if all can be on time", []plan.Demand{demand(1, 2, 1, 2*time.Second), demand(2, 2, 1, 4*time.Second)}),
		Entry("nothing of nothing", nil),
		Entry("what gains least by processor time", []plan.Demand{demand(1, 2, 1, 2*time.Second), demand(2, 2, 3, 3*time.Second)}, 1),
		Entry("what is late whatever is done", []plan.Demand{demand(1, 0.1, 9, time.Millisecond)}, 1),
		Entry("what is larger than its time", []plan.Demand{demand(1, 50, 99, 10*time.Second), demand(2, 2, 1, 10*time.Second)}, 1),
		Entry("what has not begun before what is nearly done", []plan.Demand{demand(1, 3, 1, 3*time.Second), demand(2, 0.2, 1, 3*time.Second)}, 1),
	)
})
