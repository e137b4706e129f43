package plan_test

import (
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/plan"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

var _ = Describe("A ranking", func() {
	randomVM := func(rng *rand.Rand) *plan.VM {
		return &plan.VM{
			Service: "s", Labels: []string{[]string{"rack-1", "rack-2"}[rng.IntN(2)]},
			Capacity:  place.Resources{CPU: 8000 + int64(rng.IntN(3))*8000, Memory: 64000},
			Suspicion: float64(rng.IntN(2)), Overloaded: rng.IntN(5) == 0,
		}
	}
	randomStep := func(rng *rand.Rand) *model.Step {
		s := &model.Step{
			Size: place.Resources{CPU: 1000 + int64(rng.IntN(4000)), Memory: 1000}, MaxPerVM: rng.IntN(4),
			LongRunning: rng.IntN(3) == 0, Rack: []string{"", "rack-1"}[rng.IntN(2)],
		}
		s.BestEffort = !s.LongRunning && rng.IntN(2) == 0
		return s
	}

	It("finds the same VMs as Choose while tasks are placed and end", func() {
		for seed := range uint64(200) {
			rng := rand.New(rand.NewPCG(seed, 0))
			var vms []*plan.VM
			for range 1 + rng.IntN(20) {
				vms = append(vms, randomVM(rng))
			}
			task := &plan.Task{Key: plan.StageKey{Job: "a"}, Step: randomStep(rng), Service: "s", Urgent: rng.IntN(4) == 0}
			other, otherKey := randomStep(rng), plan.StageKey{Job: "b"}
			ranking := plan.NewRanking(task, vms)
			for range 60 {
				best := ranking.Best()
				Expect(best).To(Equal(plan.Choose(task, vms)), "seed %d", seed)
				if best >= 0 {
					vms[best].Add(task.Key, task.Step)
					ranking.Update(best)
				}
				changed := rng.IntN(len(vms))
				if vms[changed].Stages[otherKey] > 0 {
					vms[changed].Remove(otherKey, other)
				} else {
					vms[changed].Add(otherKey, other)
				}
				ranking.Update(changed)
			}
		}
	})

	// A step of 160 tasks on 300 VMs: the estimate of interference is the costly part.
	It("evaluates each VM once, and again only when it has changed", func() {
		const tasks = 160
		evaluations := 0
		var vms []*plan.VM
		for range 300 {
			vms = append(vms, &plan.VM{
				Service: "s", Capacity: place.Resources{CPU: 64000, Memory: 256000},
				InterferenceCost: func(*model.Step) float64 { evaluations++; return 0 },
			})
		}
		step := &model.Step{BestEffort: true, Size: place.Resources{CPU: 7000, Memory: 13000}}
		task := &plan.Task{Key: plan.StageKey{Job: "a"}, Step: step, Service: "s"}
		ranking := plan.NewRanking(task, vms)
		for range tasks {
			i := ranking.Best()
			vms[i].Add(task.Key, step)
			ranking.Update(i)
		}
		Expect(evaluations).To(Equal(len(vms) + tasks))
	})
})
