package tasks

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

// Witness notes what all workers did, and faults of whoever gave them orders. Its zero
// value has seen nothing.
type Witness struct {
	mu     sync.Mutex
	faults []string
	// running holds where each task runs, by task and worker.
	running map[string]map[string]uint32
	// done holds the tasks whose end as done was taken note of.
	done   map[string]bool
	starts map[string]int
	// Dependencies says which tasks must be done before a task starts; nil is none.
	Dependencies func(task string) []string
	// finished holds the tasks that have ended as done at least once.
	finished map[string]bool
}

func (x *Witness) fault(format string, args ...any) {
	x.faults = append(x.faults, fmt.Sprintf(format, args...))
}

// Faults returns what must never have happened.
func (x *Witness) Faults() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return slices.Clone(x.faults)
}

// Starts returns how often a task was started.
func (x *Witness) Starts(task string) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.starts[task]
}

// Done reports whether a task has ended as done.
func (x *Witness) Done(task string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.finished[task]
}

// Running returns the tasks that run somewhere.
func (x *Witness) Running() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	var list []string
	for task, where := range x.running {
		if len(where) > 0 {
			list = append(list, task)
		}
	}
	slices.Sort(list)
	return list
}

func (x *Witness) init() {
	if x.running == nil {
		x.running, x.done = map[string]map[string]uint32{}, map[string]bool{}
		x.starts, x.finished = map[string]int{}, map[string]bool{}
	}
}

func (x *Witness) started(now time.Time, w *Worker, r *run) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.init()
	x.starts[r.task]++
	at := now.Format("05.000")
	if len(x.running[r.task]) > 0 {
		x.fault("%s: %s run %d starts on %s while it runs on %v", at, r.task, r.number, w.id, x.running[r.task])
	}
	if x.done[r.task] {
		x.fault("%s: %s run %d starts on %s after its end was taken note of", at, r.task, r.number, w.id)
	}
	if x.Dependencies != nil {
		for _, t := range x.Dependencies(r.task) {
			if !x.finished[t] {
				x.fault("%s: %s starts before %s is done", at, r.task, t)
			}
		}
	}
	var used place.Resources
	for _, other := range w.runs {
		used = used.Plus(other.plan.Size)
	}
	if !w.capacity.Covers(used) {
		x.fault("%s: %s brings %s over its capacity: %+v", at, r.task, w.id, used)
	}
	if x.running[r.task] == nil {
		x.running[r.task] = map[string]uint32{}
	}
	x.running[r.task][w.id] = r.number
}

func (x *Witness) ended(_ time.Time, worker, task string, _ uint32, o msgs.Outcome) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.init()
	delete(x.running[task], worker)
	if o == msgs.Done {
		x.finished[task] = true
	}
}

// seen notes that ends up to a number were taken note of.
func (x *Witness) seen(w *Worker, number int64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.init()
	for _, e := range w.ended {
		if e.Number > w.void && e.Number <= number && e.Outcome == msgs.Done {
			x.done[e.Task] = true
		}
	}
}
