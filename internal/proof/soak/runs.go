package soak

import (
	"context"
	"fmt"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/fake/tasks"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/proof/asked"
)

// runsInterval is the time between two looks at what the workers run.
const runsInterval = 100 * time.Millisecond

// checkStart returns the violations of a start.
func (f *fleet) checkStart(now time.Time, worker string, o port.StartOrder) (broken []string) {
	j, _, _ := f.jobs.find(o.Task)
	var wrong []string
	f.jobs.update(func() {
		var want *asked.Job
		if j != nil {
			j.started, want = true, &j.Job
		}
		wrong = want.CheckStart(now, o, &f.byID[worker].disturbed)
	})
	for _, what := range wrong {
		broken = append(broken, fmt.Sprintf("%s: %s run %d starts on %s %s", now.Format("05.000"), o.Task, o.Run, worker, what))
	}
	return broken
}

// runWatch checks that the runs of cancelled jobs end.
type runWatch struct {
	fleet *fleet
	// reported holds the runs of which a violation is recorded.
	reported map[tasks.Run]bool
}

// watch checks all runs until ctx ends.
func (w *runWatch) watch(ctx context.Context) {
	for ctx.Err() == nil {
		for _, v := range w.fleet.vms {
			now, runs := v.runs()
			for _, r := range runs {
				w.check(now, v, r)
			}
		}
		sleep(ctx, runsInterval)
	}
}

// runs returns what the VM's worker runs, and the time at which it does.
func (v *vm) runs() (now time.Time, list []tasks.Run) {
	v.worker.Do(func(w *tasks.Worker) {
		now = time.Now()
		list = w.Runs(now)
	})
	return now, list
}

// check records a violation if a run should be over.
func (w *runWatch) check(now time.Time, v *vm, r tasks.Run) {
	f := w.fleet
	j, _, _ := f.jobs.find(r.Task)
	if j == nil || w.reported[r] {
		return
	}
	var job asked.Job
	f.jobs.update(func() { job = j.Job })
	if !job.Outlasts(now, r.StartedAt, &v.disturbed, &f.entriesDisturbed, &f.storeDisturbed) {
		return
	}
	w.reported[r] = true
	f.jobs.addFault("%s run %d, started %s after the response %d to the cancellation of its job, runs on %s %s after it",
		r.Task, r.Number, r.StartedAt.Sub(job.GoneAt).Round(time.Millisecond), job.GoneStatus, v.id, now.Sub(job.GoneAt).Round(time.Millisecond))
}
