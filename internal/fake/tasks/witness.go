package tasks

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

// Witness records what all workers did and which of the scheduler's orders broke a rule.
// The zero value is ready for use.
type Witness struct {
	// mu guards the fields below, except Dependencies and CheckStart.
	mu     sync.Mutex
	faults []string
	// running holds the run number of each running task, by task and worker.
	running map[string]map[string]uint32
	// acknowledged holds the tasks with an acknowledged run end whose outcome is Done.
	acknowledged map[string]bool
	starts       map[string]int
	// firstStart and lastStart hold the times of the first and of the latest start of each task.
	firstStart, lastStart map[string]time.Time
	// crashes counts the crashes of workers that ran a task, startsAfter the starts of a task
	// that crashes workers after maxCrashes of them.
	crashes, startsAfter map[string]int
	// refused is the number of starts that workers refused because of their capacity.
	refused int
	// Unpreventable is set while a worker carries out an order of which nobody could tell it that
	// it is out of date. A run that starts then may be its task's second one, which is no
	// fault, but no other start may follow from it.
	Unpreventable bool
	// again is the number of starts that Unpreventable excused.
	again int
	// Dependencies returns the tasks that must be done before a task starts; if it is nil,
	// no task depends on another. It must be set before the first run starts.
	Dependencies func(task string) []string
	// CheckStart, if set, returns descriptions of the rules that an order to start a run breaks.
	// It is called for each run that starts, without mu. It must be set before the first run
	// starts.
	CheckStart func(now time.Time, worker string, o port.StartOrder) []string
	// finished holds the tasks of which at least one run ended with the outcome Done.
	finished map[string]bool
	// CancelBounds bounds what workers may do for cancelled jobs. It must be set before the first
	// run starts.
	CancelBounds CancelBounds
	// Late is set while a worker carries out an order late.
	Late bool
	// cancelled holds the acknowledged cancellings by job, late the latest times at which a worker
	// started a run late or an order to stop it was held, reported the runs of cancelled jobs that
	// are in faults.
	cancelled map[string]cancelling
	late      map[runID]time.Time
	reported  map[runID]bool
	// gangs holds the runs of gangs of which members are present.
	gangs map[gangKey]*gang
	texts texts
	// saved holds the checkpoints of each task or gang and the progress in them.
	saved map[string]map[string]time.Duration
	// resumed is the number of runs that were started with a checkpoint.
	resumed int
}

func (x *Witness) addFault(format string, args ...any) {
	x.faults = append(x.faults, fmt.Sprintf(format, args...))
}

// Faults returns descriptions of all broken rules.
func (x *Witness) Faults() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return slices.Clone(x.faults)
}

// Starts returns the number of runs of a task that were started.
func (x *Witness) Starts(task string) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.starts[task]
}

// FirstStart returns when a task first started, or false if it never has.
func (x *Witness) FirstStart(task string) (time.Time, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	at, ok := x.firstStart[task]
	return at, ok
}

// Done reports whether a run of the task has ended with the outcome Done.
func (x *Witness) Done(task string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.finished[task]
}

// Running returns the tasks that run on at least one worker, sorted.
func (x *Witness) Running() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	var list []string
	for task, workers := range x.running {
		if len(workers) > 0 {
			list = append(list, task)
		}
	}
	slices.Sort(list)
	return list
}

// Refused returns the number of starts that workers refused because of their capacity.
func (x *Witness) Refused() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.refused
}

// Again returns the number of starts that broke a rule but were unpreventable.
func (x *Witness) Again() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.again
}

func (x *Witness) noteRefused() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.refused++
}

func (x *Witness) init() {
	if x.running == nil {
		x.running, x.acknowledged = map[string]map[string]uint32{}, map[string]bool{}
		x.starts, x.finished = map[string]int{}, map[string]bool{}
		x.firstStart, x.lastStart = map[string]time.Time{}, map[string]time.Time{}
		x.crashes, x.startsAfter = map[string]int{}, map[string]int{}
		x.cancelled, x.late, x.reported = map[string]cancelling{}, map[runID]time.Time{}, map[runID]bool{}
	}
}

// takeOrder records the rules that an order to start a run breaks, and lets the run resume from
// the order's checkpoint.
func (x *Witness) takeOrder(now time.Time, w *Worker, r *run, o port.StartOrder) {
	var broken []string
	if x.CheckStart != nil {
		broken = x.CheckStart(now, w.id, o)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.faults = append(x.faults, broken...)
	x.resume(r, o.Checkpoint)
}

// started records the start of a run and checks that the task may start now. The caller has
// already added the run to w.runs.
func (x *Witness) started(now time.Time, w *Worker, r *run) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.init()
	x.starts[r.task]++
	if _, ok := x.firstStart[r.task]; !ok {
		x.firstStart[r.task] = now
	}
	if !x.Unpreventable {
		x.lastStart[r.task] = now
	}
	if x.Unpreventable && (len(x.running[r.task]) > 0 || x.acknowledged[r.task]) {
		x.again++
	}
	at := now.Format("05.000")
	if len(x.running[r.task]) > 0 && !x.Unpreventable {
		x.addFault("%s: %s run %d starts on %s while it runs on %v", at, r.task, r.number, w.id, x.running[r.task])
	}
	if x.acknowledged[r.task] && !x.Unpreventable {
		x.addFault("%s: %s run %d starts on %s after its end was acknowledged", at, r.task, r.number, w.id)
	}
	x.checkStart(now, w, r)
	if x.Dependencies != nil {
		for _, t := range x.Dependencies(r.task) {
			if !x.finished[t] {
				x.addFault("%s: %s starts before %s is done", at, r.task, t)
			}
		}
	}
	if r.plan.Crashes && x.crashes[r.task] >= maxCrashes {
		if x.startsAfter[r.task]++; x.startsAfter[r.task] > maxStartsAfter {
			x.addFault("%s: %s run %d starts on %s, start %d after %d workers have crashed under it", at, r.task, r.number, w.id, x.startsAfter[r.task], maxCrashes)
		}
	}
	if used := w.used(); !w.covers(now, used) {
		x.addFault("%s: %s takes %s beyond its capacity: %+v", at, r.task, w.id, used)
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

// A task that crashes the workers that start it may start maxStartsAfter times once maxCrashes
// workers have crashed under it.
const maxCrashes, maxStartsAfter = 3, 2

// crashed records that the worker of a run crashed, for whatever reason.
func (x *Witness) crashed(r *run) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.init()
	x.crashes[r.task]++
}

// Crashes returns the number of workers that crashed under a task, for whatever reason.
func (x *Witness) Crashes(task string) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.crashes[task]
}

// recordAck records that the run ends of a worker up to a number were acknowledged, and checks
// that no task with an end whose outcome is Done has started since that end.
func (x *Witness) recordAck(w *Worker, number int64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.init()
	for _, e := range w.ended {
		if e.Number > w.lastExpiredEnd && e.Number <= number && w.reportsDone(e) {
			for _, task := range w.tasksOf(e) {
				x.acknowledged[task] = true
				if at := w.endedAt[e.Number]; x.lastStart[task].After(at) {
					x.addFault("%s run %d was done on %s at %s, but the task started at %s, and the end is acknowledged",
						task, e.Run, w.id, at.Format("05.000"), x.lastStart[task].Format("05.000"))
				}
			}
		}
	}
}
