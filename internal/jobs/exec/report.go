package exec

import "github.com/ebonyarch/ebonyarch/internal/jobs/msgs"

// reportEnds reports all run ends that the leader has not stored.
func (a *Agent) reportEnds() {
	if len(a.ends) > 0 {
		a.send(&msgs.Message{Report: &msgs.Report{VM: a.vm.ID, Incarnation: a.vm.Incarnation, Ends: append([]msgs.RunEnd(nil), a.ends...)}})
	}
}

// reportLost reports the loss of a run that is certainly not present and never will be.
func (a *Agent) reportLost(k runKey, reason string) {
	delete(a.runs, k)
	if a.lost == nil || len(a.lost) >= maxLost {
		a.lost = map[runKey]bool{}
	}
	a.lost[k] = true
	a.log.Info("run is lost", "task", k.task, "run", k.number, "vm", a.vm.ID, "reason", reason)
	a.send(&msgs.Message{Report: &msgs.Report{VM: a.vm.ID, Incarnation: a.vm.Incarnation, Ends: []msgs.RunEnd{
		{Task: k.task, Run: k.number, Outcome: msgs.Lost, Reason: reason},
	}}})
}
