package plan

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// Demand is the remaining work of a job that competes with others for the same
// processors.
type Demand struct {
	Key StageKey
	// Objective is when the job should be completed.
	Objective time.Time
	// RemainingTime is the run time of the rest of the job's critical path.
	RemainingTime time.Duration
	// CoreSeconds is the processor time that the job still needs.
	CoreSeconds float64
	// Value is the value to the caller if the job is on time, in any unit that is the
	// same for all demands.
	Value float64
	// Begun is set if tasks of the job run or are completed.
	Begun bool
}

// Factors on the work and the time that a plan reserves for jobs that have not begun. Jobs
// often need more than expected, and work done for a job until it turns out to be late would
// have made another one on time.
const (
	notBegunWorkFactor = 2.0
	notBegunTimeFactor = 1.25
)

// plannedWork returns the core-seconds that a plan reserves for the job.
func (d *Demand) plannedWork() float64 {
	if d.Begun {
		return d.CoreSeconds
	}
	return notBegunWorkFactor * d.CoreSeconds
}

// plannedTime returns the run time that a plan reserves for the job.
func (d *Demand) plannedTime() time.Duration {
	if d.Begun {
		return d.RemainingTime
	}
	return time.Duration(notBegunTimeFactor * float64(d.RemainingTime))
}

// valueDensity returns the value per core-second.
func (d *Demand) valueDensity() float64 { return d.Value / max(d.plannedWork(), minCoreSeconds) }

// minCoreSeconds is the least remaining work that valueDensity divides by.
const minCoreSeconds = 0.01

// LateJobs returns the keys of the jobs that are to miss their objectives so that the
// total value of the jobs that meet them, on the given number of cores, is as high as
// possible. Without it, when jobs are run by objective alone, a backlog after a burst
// makes every job a little late.
//
// It applies the algorithm of Moore and Hodgson for late jobs, with all cores taken as
// one machine that can be shared in any proportion: jobs are added in the order of
// their objectives, and whenever those added so far cannot all be on time, the one with
// the least value per core-second is removed and will be late. Jobs that have not begun
// need reserves to be on time.
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
		if now.Add(d.plannedTime()).After(d.Objective) {
			late[d.Key] = true
			continue
		}
		heap.Push(&accepted, d)
		coreSeconds += d.plannedWork()
		for coreSeconds > cores*d.Objective.Sub(now).Seconds() && len(accepted) > 0 {
			least := heap.Pop(&accepted).(*Demand)
			coreSeconds -= least.plannedWork()
			late[least.Key] = true
		}
	}
	return late
}

// compareKeys orders keys by job, occurrence and step.
func compareKeys(a, b StageKey) int {
	if c := cmp.Compare(a.Job, b.Job); c != 0 {
		return c
	}
	if c := cmp.Compare(a.Occurrence, b.Occurrence); c != 0 {
		return c
	}
	return cmp.Compare(a.Step, b.Step)
}

// densityHeap is a heap of demands with the least valuable per core-second on top.
type densityHeap []*Demand

func (h densityHeap) Len() int { return len(h) }

func (h densityHeap) Less(i, j int) bool {
	if c := cmp.Compare(h[i].valueDensity(), h[j].valueDensity()); c != 0 {
		return c < 0
	}
	return compareKeys(h[i].Key, h[j].Key) > 0
}

func (h densityHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface. x is a *Demand.
func (h *densityHeap) Push(x any) { *h = append(*h, x.(*Demand)) }

// Pop implements heap.Interface.
func (h *densityHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
