package plan_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/plan"
)

// replayBacklog simulates a burst after which jobs continue to be accepted as fast as the
// cores can complete them: 2.5 jobs per second for 6 s, then one per second, each of 5
// core-seconds, on 5 cores. A job uses all cores that it can get. It returns the number
// of jobs that were on time, and the number of all jobs.
func replayBacklog(planned bool) (onTime, jobs int) {
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
		onTime += runJobs(now, waiting, planned, cores*step.Seconds())
		waiting = unfinished(waiting)
	}
	return onTime, jobs
}

// runJobs spends the given core-seconds on jobs in the order of their objectives. If
// planned is set, the jobs that LateJobs returns come last. It returns the number of jobs
// that were completed on time.
func runJobs(now time.Time, waiting []plan.Demand, planned bool, left float64) int {
	onTime := 0
	var lateJobs map[plan.StageKey]bool
	if planned {
		lateJobs = plan.LateJobs(now, 5, waiting)
	}
	for _, late := range []bool{false, true} {
		for i := range waiting {
			d := &waiting[i]
			if lateJobs[d.Key] != late || d.CoreSeconds <= 0 {
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

// unfinished returns the jobs that need more processor time.
func unfinished(waiting []plan.Demand) []plan.Demand {
	var list []plan.Demand
	for _, d := range waiting {
		if d.CoreSeconds > 0 {
			list = append(list, d)
		}
	}
	return list
}

// replayOverload simulates jobs that come twice as fast as they can be done, when the plan
// counts on more cores than there are: each job needs 10 core-seconds and may take 5 s. Up to
// six jobs run, which share the cores and are not interrupted. It returns the number of jobs
// that were on time. If begun is not set, the plan does not know which jobs have begun.
func replayOverload(begun bool) (onTime int) {
	const cores, planned, maxRunning, step = 20.0, 24.0, 6, 50 * time.Millisecond
	begin := time.Unix(0, 0)
	var jobs []plan.Demand
	running := map[plan.StageKey]bool{}
	for now := begin; now.Before(begin.Add(time.Minute)); now = now.Add(step) {
		if n := int(now.Sub(begin) / step); n%5 == 0 {
			jobs = append(jobs, plan.Demand{
				Key: key(n), Objective: now.Add(5 * time.Second), CoreSeconds: 10, Value: 1, Begun: !begun,
			})
		}
		for i := range jobs {
			jobs[i].RemainingTime = time.Duration(jobs[i].CoreSeconds / planned * maxRunning * float64(time.Second))
		}
		late := plan.LateJobs(now, planned, jobs)
		for i := range jobs {
			if d := &jobs[i]; !late[d.Key] && len(running) < maxRunning {
				running[d.Key], d.Begun = true, true
			}
		}
		share := cores * step.Seconds() / float64(len(running))
		for i := range jobs {
			d := &jobs[i]
			if !running[d.Key] {
				continue
			}
			if d.CoreSeconds -= share; d.CoreSeconds > 0 {
				continue
			}
			delete(running, d.Key)
			if !now.After(d.Objective) {
				onTime++
			}
		}
		jobs = unfinished(jobs)
	}
	return onTime
}

var _ = Describe("LateJobs", func() {
	now := time.Unix(100, 0)
	demand := func(n int, coreSeconds, value float64, in time.Duration) plan.Demand {
		return plan.Demand{Key: key(n), Objective: now.Add(in), RemainingTime: time.Second, CoreSeconds: coreSeconds, Value: value, Begun: true}
	}

	notBegun := func(d plan.Demand) plan.Demand {
		d.Begun = false
		return d
	}

	It("lets at least three times as many jobs of a backlog be on time as running them by objective alone", func() {
		byObjective, jobs := replayBacklog(false)
		planned, _ := replayBacklog(true)
		Expect(planned).To(BeNumerically(">=", 3*byObjective), "%d against %d of %d", planned, byObjective, jobs)
		Expect(planned).To(BeNumerically(">=", jobs*3/4))
	})

	It("wastes less work on jobs that will be late after all if it knows which have begun", func() {
		with, without := replayOverload(true), replayOverload(false)
		Expect(with).To(BeNumerically(">=", without*5/4), "%d against %d", with, without)
	})

	DescribeTable("returns", func(demands []plan.Demand, want ...int) {
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
		Entry("no job if all can be on time", []plan.Demand{demand(1, 2, 1, 2*time.Second), demand(2, 2, 1, 4*time.Second)}),
		Entry("no key if there are no jobs", nil),
		Entry("the job with the least value per core-second", []plan.Demand{demand(1, 2, 1, 2*time.Second), demand(2, 2, 3, 3*time.Second)}, 1),
		Entry("a job whose critical path ends after its objective", []plan.Demand{demand(1, 0.1, 9, time.Millisecond)}, 1),
		Entry("a job that needs more core-seconds than there are until its objective", []plan.Demand{demand(1, 50, 99, 10*time.Second), demand(2, 2, 1, 10*time.Second)}, 1),
		Entry("a job that has not begun rather than one that has", []plan.Demand{demand(1, 3, 1, 3*time.Second), notBegun(demand(2, 2, 1, 3*time.Second))}, 2),
		Entry("a job with much remaining work rather than one that is nearly completed", []plan.Demand{demand(1, 3, 1, 3*time.Second), demand(2, 0.2, 1, 3*time.Second)}, 1),
	)
})
