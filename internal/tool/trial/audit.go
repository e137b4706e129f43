package trial

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/ident"
	"github.com/ebonyarch/ebonyarch/internal/node/view"
)

// audit compares a job as its caller sees it with what the workers recorded. A
// task is completed if the attempt that the job names finished on a worker. It
// is doubled if its output came twice, or if two attempts ran at the same time.
func (t *trial) audit(view view.Job) (completed, doubled int) {
	accepted := map[ident.Attempt]bool{}
	for _, task := range view.List {
		if task.State == "completed" {
			accepted[ident.Attempt{Task: ident.Task{Job: view.ID, Index: task.Index}, Epoch: task.Attempt}] = true
		}
	}
	for _, v := range t.fleet.VMs {
		v.Worker.RecordEnds()
	}
	completed, twice, lost := t.fleet.Witness.Audit(accepted)
	doubled = len(twice)
	for _, task := range lost {
		t.say("the output of task %s was thrown away", task)
		completed--
	}
	doubled += len(t.fleet.Witness.Overlaps(time.Now()))
	for _, start := range t.fleet.Witness.Overcommitted() {
		t.say("VM beyond its capacity: %s", start)
		doubled++
	}
	return completed, doubled
}
