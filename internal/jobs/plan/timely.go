package plan

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// Demand is what is left of a job that competes with others for the same processors.
type Demand struct {
	Key StageKey
	// Objective is when the job should be done.
	Objective time.Time
	// RemainingTime is the run time of what is left of the critical path.
	RemainingTime time.Duration
	// CoreSeconds is the processor time that is left, in core-seconds.
	CoreSeconds float64
	// Value is what the caller gains if the job is on time, in any unit.
	Value float64
}

// density is the gain by processor time.
func (d *Demand) density() float64 { return d.Value / max(d.CoreSeconds, leastWork) }

// leastWork bounds what is left of a job from below, in core-seconds.
const leastWork = 0.01

// LateJobs returns the keys of jobs that do not meet their objectives on so many cores
// if as much worth as possible is to be on time. It answers floods: by deadline alone,
// a backlog makes every job a little late. The jobs are taken by deadline, and whenever
// those taken so far cannot all be done in time, the one that gains least by processor
// time is given up (Moore and Hodgson's rule for late jobs, on a fluid machine).
func LateJobs(now time.Time, cores float64, demands []Demand) map[StageKey]bool {
	slices.SortFunc(demands, func(a, b Demand) int {
		if c := a.Objective.Compare(b.Objective); c != 0 {
			return c
		}
		return compareKeys(a.Key, b.Key)
	})
	untimely := map[StageKey]bool{}
	var taken leastDense
	work := 0.0
	for i := range demands {
		d := &demands[i]
		if now.Add(d.RemainingTime).After(d.Objective) {
			untimely[d.Key] = true
			continue
		}
		heap.Push(&taken, d)
		work += d.CoreSeconds
		for work > cores*d.Objective.Sub(now).Seconds() && len(taken) > 0 {
			least := heap.Pop(&taken).(*Demand)
			work -= least.CoreSeconds
			untimely[least.Key] = true
		}
	}
	return untimely
}

func compareKeys(a, b StageKey) int {
	if c := cmp.Compare(a.Job, b.Job); c != 0 {
		return c
	}
	if c := cmp.Compare(a.Occurrence, b.Occurrence); c != 0 {
		return c
	}
	return cmp.Compare(a.Step, b.Step)
}

// leastDense is a heap with the demand that gains least by processor time on top.
type leastDense []*Demand

func (h leastDense) Len() int { return len(h) }

func (h leastDense) Less(i, j int) bool {
	if c := cmp.Compare(h[i].density(), h[j].density()); c != 0 {
		return c < 0
	}
	return compareKeys(h[i].Key, h[j].Key) > 0
}

func (h leastDense) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds a *Demand, for container/heap.
func (h *leastDense) Push(x any) { *h = append(*h, x.(*Demand)) }

// Pop removes the last element, for container/heap.
func (h *leastDense) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
