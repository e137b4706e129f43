package trial

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/ident"
	"github.com/ebonyarch/ebonyarch/internal/node/view"
)

// audit compares a job as its caller sees it with what the workers recorded.
//
// completed is the number of tasks whose accepted attempt finished on a worker and whose
// output was kept. doubled is the sum of the tasks whose output was produced twice, the
// tasks that ran in two places at the same time, and the starts that exceeded the capacity
// of a VM.
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
		t.logf("the output of task %s was discarded", task)
		completed--
	}
	doubled += len(t.fleet.Witness.Overlaps(time.Now()))
	for _, start := range t.fleet.Witness.Overcommitted() {
		t.logf("a start exceeded the capacity of a VM: %s", start)
		doubled++
	}
	return completed, doubled
}
