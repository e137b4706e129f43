package tasks

import (
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

// earlierCapacity is a capacity that a worker had until a time.
type earlierCapacity struct {
	capacity place.Resources
	until    time.Time
}

// Resize changes the worker's capacity. Runs beyond it go on.
func (w *Worker) Resize(now time.Time, capacity place.Resources) {
	w.earlier = append(w.earlier, earlierCapacity{w.capacity, now})
	w.capacity = capacity
}

// covers reports whether the capacity covers used, or an earlier one that still counts.
func (w *Worker) covers(now time.Time, used place.Resources) bool {
	w.earlier = slices.DeleteFunc(w.earlier, func(e earlierCapacity) bool { return now.Sub(e.until) > w.ShrinkNotice })
	return w.capacity.Covers(used) || slices.ContainsFunc(w.earlier, func(e earlierCapacity) bool { return e.capacity.Covers(used) })
}

// used returns what the present runs take of the capacity.
func (w *Worker) used() place.Resources {
	var used place.Resources
	for _, r := range w.runs {
		used = used.Plus(r.plan.Size)
	}
	return used
}
