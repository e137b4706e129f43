package trial

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/ident"
	"github.com/ebonyarch/ebonyarch/internal/fake/worker"
	"github.com/ebonyarch/ebonyarch/internal/node/entry"
)

// audit compares a job as its caller sees it with what the workers recorded. A
// task is completed if the attempt that the job names finished on a worker. It
// is doubled if a second attempt finished on a VM that lived, or if two ran at
// the same time. What finished on a killed VM before it could be reported is
// neither: its output went with the VM.
func (t *trial) audit(view entry.JobView) (completed, doubled int) {
	accepted := map[ident.Attempt]bool{}
	for _, task := range view.List {
		if task.State == "completed" {
			accepted[ident.Attempt{Task: ident.Task{Job: view.ID, Index: task.Index}, Epoch: task.Attempt}] = true
		}
	}
	finishes := map[ident.Task]int{}
	for _, run := range t.fleet.Witness.Runs() {
		if run.End != worker.Finished {
			continue
		}
		if accepted[run.Attempt] {
			completed++
		}
		if accepted[run.Attempt] || !t.fleet.Witness.Dead(run.VM) {
			finishes[run.Attempt.Task]++
		}
	}
	for _, n := range finishes {
		if n > 1 {
			doubled++
		}
	}
	doubled += len(t.fleet.Witness.Overlaps(time.Now()))
	for _, start := range t.fleet.Witness.Overfull() {
		t.say("VM beyond its capacity: %s", start)
		doubled++
	}
	return completed, doubled
}
