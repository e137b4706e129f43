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

// valueDensity is the gain by processor time.
func (d *Demand) valueDensity() float64 { return d.Value / max(d.CoreSeconds, minCoreSeconds) }

// minCoreSeconds bounds what is left of a job from below, in core-seconds.
const minCoreSeconds = 0.01

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
	late := map[StageKey]bool{}
	var accepted densityHeap
	coreSeconds := 0.0
	for i := range demands {
		d := &demands[i]
		if now.Add(d.RemainingTime).After(d.Objective) {
			late[d.Key] = true
			continue
		}
		heap.Push(&accepted, d)
		coreSeconds += d.CoreSeconds
		for coreSeconds > cores*d.Objective.Sub(now).Seconds() && len(accepted) > 0 {
			least := heap.Pop(&accepted).(*Demand)
			coreSeconds -= least.CoreSeconds
			late[least.Key] = true
		}
	}
	return late
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

// densityHeap is a heap with the demand that gains least by processor time on top.
type densityHeap []*Demand

func (h densityHeap) Len() int { return len(h) }

func (h densityHeap) Less(i, j int) bool {
	if c := cmp.Compare(h[i].valueDensity(), h[j].valueDensity()); c != 0 {
		return c < 0
	}
	return compareKeys(h[i].Key, h[j].Key) > 0
}

func (h densityHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds a *Demand, for container/heap.
func (h *densityHeap) Push(x any) { *h = append(*h, x.(*Demand)) }

// Pop removes the last element, for container/heap.
func (h *densityHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
