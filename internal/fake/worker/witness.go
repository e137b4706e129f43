package worker

import (
	"slices"
	"sync"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/ident"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// End says whether and how a run of an attempt has ended.
type End uint8

// States of a run: it runs, or has ended in one of several ways.
const (
	Running End = iota
	Finished
	Failed
	Stopped
	LeaseExpired
	Killed
)

// Run is one run of an attempt on a VM.
type Run struct {
	VM      string
	Attempt ident.Attempt
	From    time.Time
	// To is zero while End is Running.
	To  time.Time
	End End
	// Confirmed or Discarded is set once the agent has confirmed or discarded the output of a
	// finished run.
	Confirmed, Discarded bool
}

// Witness records what workers did, independently of the scheduler's own state. A nil Witness
// records nothing. It is safe for concurrent use.
type Witness struct {
	// mu guards the fields below.
	mu   sync.Mutex
	runs []*Run
	// open holds the runs that have not ended.
	open map[runKey]*Run
	// requests counts the runs of each request, by its id.
	requests map[string]int
	// overcommitted names the VM and the attempt of each start beyond a VM's capacity.
	overcommitted []string
}

type runKey struct {
	vm string
	id ident.Attempt
}

// started records the start of a run. used is the sum of the sizes on the VM after the start.
func (w *Witness) started(vm string, id ident.Attempt, at time.Time, _, used, capacity *schema.Size) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.open == nil {
		w.open = map[runKey]*Run{}
	}
	r := &Run{VM: vm, Attempt: id, From: at}
	w.runs = append(w.runs, r)
	w.open[runKey{vm, id}] = r
	if used.GetCpuMilli() > capacity.GetCpuMilli() || used.GetMemoryMb() > capacity.GetMemoryMb() ||
		used.GetAccelerators() > capacity.GetAccelerators() {
		w.overcommitted = append(w.overcommitted, vm+" at "+id.String())
	}
}

func (w *Witness) ended(vm string, id ident.Attempt, at time.Time, end End) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.open[runKey{vm, id}]; r != nil {
		r.To, r.End = at, end
		delete(w.open, runKey{vm, id})
	}
}

// outputDecided records that the agent has confirmed or discarded the output of a run.
func (w *Witness) outputDecided(vm string, id ident.Attempt, mode port.StopMode) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		if r.VM == vm && r.Attempt == id && r.End == Finished {
			r.Confirmed = r.Confirmed || mode == port.Confirm
			r.Discarded = r.Discarded || mode != port.Confirm
		}
	}
}

// Audit compares the attempts that the scheduler accepted as completed with the recorded runs.
// It returns the number of accepted attempts that finished, the tasks whose output counts twice,
// and the tasks whose output was discarded although the attempt was accepted.
func (w *Witness) Audit(accepted map[ident.Attempt]bool) (completed int, duplicated, lost []ident.Task) {
	kept := map[ident.Attempt]bool{}
	discarded := map[ident.Attempt]bool{}
	outputs := map[ident.Task]int{}
	for _, r := range w.Runs() {
		if r.End != Finished {
			continue
		}
		discarded[r.Attempt] = discarded[r.Attempt] || r.Discarded
		if (accepted[r.Attempt] || r.Confirmed) && !kept[r.Attempt] {
			kept[r.Attempt] = true
			outputs[r.Attempt.Task]++
		}
		if r.Confirmed && !accepted[r.Attempt] {
			duplicated = append(duplicated, r.Attempt.Task)
		}
	}
	for task, n := range outputs {
		if n > 1 {
			duplicated = append(duplicated, task)
		}
	}
	for a := range accepted {
		if kept[a] {
			completed++
		}
		if discarded[a] {
			lost = append(lost, a.Task)
		}
	}
	return completed, duplicated, lost
}

func (w *Witness) served(_, id string) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.requests == nil {
		w.requests = map[string]int{}
	}
	w.requests[id]++
}

// Served returns how often the request with an id was run, on all VMs together.
func (w *Witness) Served(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.requests[id]
}

// Runs returns all runs of batch attempts, sorted by attempt and start.
func (w *Witness) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	runs := make([]Run, 0, len(w.runs))
	for _, r := range w.runs {
		if _, _, service := ident.ServiceOf(r.Attempt.Job); !service {
			runs = append(runs, *r)
		}
	}
	slices.SortStableFunc(runs, func(a, b Run) int {
		if c := a.Attempt.Compare(b.Attempt); c != 0 {
			return c
		}
		return a.From.Compare(b.From)
	})
	return runs
}

// Overcommitted returns the starts that took a VM beyond its capacity.
func (w *Witness) Overcommitted() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.overcommitted)
}

// Overlaps returns the tasks of which two attempts ran at the same time. Runs that have not ended
// count as running until now.
func (w *Witness) Overlaps(now time.Time) []ident.Task {
	var found []ident.Task
	runs := w.Runs()
	for i := 1; i < len(runs); i++ {
		a, b := runs[i-1], runs[i]
		if a.Attempt.Task != b.Attempt.Task {
			continue
		}
		end := a.To
		if a.End == Running {
			end = now
		}
		if b.From.Before(end) {
			found = append(found, b.Attempt.Task)
		}
	}
	return found
}
