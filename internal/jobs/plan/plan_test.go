package plan_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/plan"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

func vm(id string) *plan.VM {
	return &plan.VM{ID: id, Service: "registry", Labels: []string{"a", "rack-1"}, Capacity: place.Resources{CPU: 64000, Memory: 256000}}
}

func key(n int) plan.StageKey { return plan.StageKey{Job: model.ID(fmt.Sprintf("%016x", n))} }

var _ = Describe("Placement", func() {
	task := func(s model.Step) *plan.Task { return &plan.Task{Key: key(1), Step: &s, Service: "registry"} }
	small := model.Step{Tasks: 1, Size: place.Resources{CPU: 1000, Memory: 1000}}

	DescribeTable("leaves out VMs that must not run the task", func(change func(*plan.VM, *plan.Task)) {
		v, t := vm("a"), task(small)
		Expect(plan.Choose(t, []*plan.VM{v})).To(BeZero())
		change(v, t)
		Expect(plan.Choose(t, []*plan.VM{v})).To(Equal(-1))
	},
		Entry("another service", func(v *plan.VM, _ *plan.Task) { v.Service = "other" }),
		Entry("a missing label", func(_ *plan.VM, t *plan.Task) { t.Step.Requires = "gpu" }),
		Entry("too little free memory", func(v *plan.VM, _ *plan.Task) { v.Used.Memory = 255500 }),
		Entry("too few free processors", func(v *plan.VM, _ *plan.Task) { v.Used.CPU = 63500 }),
		Entry("a probing VM that has its one task", func(v *plan.VM, _ *plan.Task) { v.Probing, v.Runs = true, 1 }),
		Entry("an overloaded VM, for a best-effort task", func(v *plan.VM, t *plan.Task) { v.Overloaded, t.Step.BestEffort = true, true }),
		Entry("as many runs as a VM may have", func(v *plan.VM, _ *plan.Task) { v.Runs, v.MaxRuns = 3, 3 }),
		Entry("as many tasks of the step as allowed", func(v *plan.VM, t *plan.Task) {
			t.Step.MaxPerVM = 1
			v.Add(t.Key, t.Step)
		}),
	)

	It("reverts an addition to a VM", func() {
		v := vm("a")
		s := model.Step{Size: place.Resources{CPU: 5000, Memory: 10}, BestEffort: true}
		v.Add(key(1), &s)
		Expect(v.Used.CPU).To(BeZero(), "best-effort tasks reserve no processors")
		Expect(v.BestEffortCPU).To(Equal(int64(5000)))
		v.Remove(key(1), &s)
		Expect(v.Used).To(BeZero())
		Expect(v.Stages).To(BeEmpty())
	})

	It("packs long-running tasks on one VM, and keeps best-effort tasks off it if they interfere", func() {
		vms := []*plan.VM{vm("a"), vm("b"), vm("c")}
		longRunning := model.Step{Tasks: 1, LongRunning: true, Size: place.Resources{CPU: 13000, Memory: 26000}}
		for n := range 4 {
			i := plan.Choose(&plan.Task{Key: key(n), Step: &longRunning, Service: "registry", Urgent: true}, vms)
			vms[i].Add(key(n), &longRunning)
		}
		packed := slices.IndexFunc(vms, func(v *plan.VM) bool { return v.LongRunning > 0 })
		Expect(vms[packed].LongRunning).To(Equal(4))
		vms[packed].InterferenceCost = func(*model.Step) float64 { return 5 }
		bestEffort := small
		bestEffort.BestEffort = true
		Expect(plan.Choose(task(bestEffort), vms)).NotTo(Equal(packed))
	})

	It("prefers the rack with the data, and VMs without failures", func() {
		near, far := vm("a"), vm("b")
		far.Labels = []string{"a", "rack-2"}
		near.Used.CPU = 30000
		t := task(small)
		t.Step.Rack = "rack-1"
		Expect(plan.Choose(t, []*plan.VM{far, near})).To(Equal(1))
		t.Avoid = []string{"a"}
		Expect(plan.Choose(t, []*plan.VM{far, near})).To(BeZero())
		suspect := vm("c")
		suspect.Suspicion = 1
		Expect(plan.Choose(task(small), []*plan.VM{suspect, far})).To(Equal(1))
	})

	It("reports whether a task would fit on an empty VM", func() {
		full := vm("a")
		full.Used = full.Capacity
		huge := model.Step{Size: place.Resources{CPU: 65000}}
		Expect(plan.Feasible(task(small), []*plan.VM{full})).To(BeTrue())
		Expect(plan.Feasible(task(huge), []*plan.VM{full})).To(BeFalse())
	})
})

// replayBurst simulates a burst: for 12 s, a job of one core-second is accepted every
// 100 ms, which is 2.5 times what the 4 cores can complete. It returns the number of jobs
// that met their objectives.
func replayBurst(order func(now time.Time, stages []plan.WaitingStage)) int {
	const cores, jobs = 4, 120
	begin := time.Unix(0, 0)
	var waiting []plan.WaitingStage
	free := make([]time.Time, cores)
	onTime, next := 0, 0
	for now := begin; now.Before(begin.Add(time.Minute)); now = now.Add(50 * time.Millisecond) {
		for ; next < jobs && !begin.Add(time.Duration(next)*100*time.Millisecond).After(now); next++ {
			objective := time.Duration(2+next%7) * time.Second
			waiting = append(waiting, plan.WaitingStage{
				Key: key(next), RemainingTime: time.Second, Accepted: now, Objective: now.Add(objective), UsefulUntil: now.Add(3 * objective),
			})
		}
		order(now, waiting)
		for i := range free {
			if len(waiting) == 0 || free[i].After(now) {
				continue
			}
			done := now.Add(time.Second)
			free[i] = done
			if !done.After(waiting[0].Objective) {
				onTime++
			}
			waiting = waiting[1:]
		}
	}
	return onTime
}

var _ = Describe("SortStages", func() {
	It("lets at least twice as many jobs of a burst meet their objectives as first in, first out", func() {
		fifo := replayBurst(func(time.Time, []plan.WaitingStage) {})
		sorted := replayBurst(plan.SortStages)
		Expect(sorted).To(BeNumerically(">=", 2*fifo), "%d against %d of 120", sorted, fifo)
	})

	It("puts long-running stages first, then sorts by priority, then by what can be on time", func() {
		now := time.Unix(100, 0)
		stages := []plan.WaitingStage{
			{Key: key(1), Priority: 2, RemainingTime: time.Second, Objective: now.Add(-time.Second), UsefulUntil: now.Add(-time.Second)},
			{Key: key(2), Priority: 2, RemainingTime: time.Second, Objective: now, UsefulUntil: now.Add(time.Minute)},
			{Key: key(3), Priority: 2, RemainingTime: time.Second, Objective: now.Add(9 * time.Second), UsefulUntil: now.Add(time.Minute)},
			{Key: key(4), Priority: 2, RemainingTime: 3 * time.Second, Objective: now.Add(5 * time.Second), UsefulUntil: now.Add(time.Minute)},
			{Key: key(5), Priority: 0, RemainingTime: time.Second},
			{Key: key(6), Priority: 2, LongRunning: true},
		}
		plan.SortStages(now, stages)
		var got []plan.StageKey
		for _, w := range stages {
			got = append(got, w.Key)
		}
		Expect(got).To(Equal([]plan.StageKey{key(6), key(5), key(4), key(3), key(2), key(1)}))
	})
})
