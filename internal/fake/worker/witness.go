package worker

import (
	"slices"
	"sync"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/ident"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// End is how a run of an attempt ended.
type End uint8

// The ways to end.
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
	// Confirmed or Discarded is set once the agent said what becomes of the
	// output of a finished run.
	Confirmed, Discarded bool
}

// Witness records what workers really did, independently of the scheduler. A
// nil Witness records nothing. It is safe for concurrent use.
type Witness struct {
	mu       sync.Mutex
	runs     []*Run
	open     map[runKey]*Run
	requests map[string]int
	overfull []string
}

type runKey struct {
	vm string
	id ident.Attempt
}

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
		w.overfull = append(w.overfull, vm+" at "+id.String())
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

func (w *Witness) settled(vm string, id ident.Attempt, mode port.StopMode) {
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

// Audit compares the attempts that the scheduler holds to be completed with the
// runs. It returns how many of them really finished, the tasks whose output
// counts twice, and those whose output was thrown away although it counts.
func (w *Witness) Audit(accepted map[ident.Attempt]bool) (completed int, doubled, lost []ident.Task) {
	kept := map[ident.Attempt]bool{}
	thrown := map[ident.Attempt]bool{}
	outputs := map[ident.Task]int{}
	for _, r := range w.Runs() {
		if r.End != Finished {
			continue
		}
		thrown[r.Attempt] = thrown[r.Attempt] || r.Discarded
		if (accepted[r.Attempt] || r.Confirmed) && !kept[r.Attempt] {
			kept[r.Attempt] = true
			outputs[r.Attempt.Task]++
		}
		if r.Confirmed && !accepted[r.Attempt] {
			doubled = append(doubled, r.Attempt.Task)
		}
	}
	for task, n := range outputs {
		if n > 1 {
			doubled = append(doubled, task)
		}
	}
	for a := range accepted {
		if kept[a] {
			completed++
		}
		if thrown[a] {
			lost = append(lost, a.Task)
		}
	}
	return completed, doubled, lost
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

// Served returns how often a request with an id was run, over all VMs.
func (w *Witness) Served(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.requests[id]
}

// Runs returns all runs of batch attempts, by task and start.
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
	return slices.Clone(w.overfull)
}

// Overlaps returns the tasks that ran in two places at a time. now ends runs
// that still go on.
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
