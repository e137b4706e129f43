package lead

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/jobs/table"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

// stopOf returns the order to stop a run.
func (l *Leader) stopOf(key runKey) msgs.Stop {
	size, _ := l.sizeOf(key.task)
	return msgs.Stop{Task: key.task, Run: key.number, Size: size}
}

// sizeOf returns what a run of a task takes of a VM's capacity. It returns false if the task is
// in no job of the job table.
func (l *Leader) sizeOf(task string) (place.Resources, bool) {
	ref, err := model.ParseTaskRef(task)
	if err != nil {
		return place.Resources{}, false
	}
	e := l.table.Get(ref.Job)
	if e == nil || e.Stage(ref) == nil {
		return place.Resources{}, false
	}
	return e.Job.Steps[ref.Step].ResourceRequest(), true
}

const (
	// maxStopWork is the work, in the unit of Leader.Work, from which a step stops no further runs that
	// are no longer needed. Later ones stop the rest.
	maxStopWork = 50_000
	// stopWork is that of stopping a run.
	stopWork = 100
	// surplusTasks is the number of tasks that are searched at a time for such runs.
	surplusTasks = 64
)

// surplusSearch is a search for runs of a job that are no longer needed.
type surplusSearch struct {
	e *table.Entry
	// next and end are indexes in Progress.Tasks: that of the task with which the search goes on, and
	// that of the first one which it leaves out.
	next, end int
}

// stopSurplus orders the stop of all runs of a job, which has ended.
func (l *Leader) stopSurplus(now time.Time, e *table.Entry) { l.stopSurplusOf(now, e, 0, len(e.Tasks)) }

// stopSurplusOf orders the stop of the runs that are no longer needed of the tasks with indexes in
// Progress.Tasks from first to before end. If there are many, Tick goes on with it.
func (l *Leader) stopSurplusOf(now time.Time, e *table.Entry, first, end int) {
	l.surplus = append(l.surplus, surplusSearch{e, first, end})
	l.continueStops(now)
}

// continueStops goes on with the searches for runs that are no longer needed, unless this step has
// stopped many.
func (l *Leader) continueStops(now time.Time) {
	var ids []string
	stops := map[string][]msgs.Stop{}
	for len(l.surplus) > 0 && l.stoppedWork < maxStopWork {
		s := &l.surplus[0]
		end := min(s.next+surplusTasks, s.end)
		work := uint64(end - s.next)
		for _, p := range s.e.SurplusOf(s.next, end) {
			key := runKey{p.Ref.String(), p.Run.Number}
			if l.noteStop(now, p.Run.VM, key, "no longer wanted") == nil {
				continue
			}
			if stops[p.Run.VM] == nil {
				ids = append(ids, p.Run.VM)
			}
			stops[p.Run.VM] = append(stops[p.Run.VM], l.stopOf(key))
			work += stopWork
		}
		l.work += work
		l.stoppedWork += work
		if s.next = end; s.next >= s.end {
			l.surplus = l.surplus[1:]
		}
	}
	for _, id := range ids {
		l.orderWhenStored(l.vms[id], msgs.Orders{Stops: stops[id]})
	}
}

// stopRun orders the stop of a run, unless that was done before.
func (l *Leader) stopRun(now time.Time, id string, key runKey, reason string) {
	if v := l.noteStop(now, id, key, reason); v != nil {
		l.orderWhenStored(v, msgs.Orders{Stops: []msgs.Stop{l.stopOf(key)}})
	}
}

// noteStop marks a run as stopped, and returns its VM. It returns nil if there is nothing to order.
func (l *Leader) noteStop(now time.Time, id string, key runKey, reason string) *vm {
	v := l.vms[id]
	if v == nil {
		return nil
	}
	r := v.runs[key]
	if r == nil || r.stopped {
		return nil
	}
	v.stop(r)
	l.log.Info("run is stopped", "req", r.ref.Job, "task", key.task, "run", key.number, "vm", id, "reason", reason,
		"connected", v.synced, "heard", now.Sub(v.lastContact), "epoch", l.epoch)
	return v
}

// noteUnwanted logs, once for each run, that a run is stopped whose stop an earlier leader ordered, if
// any. seen says how the agent's list shows the run.
func (l *Leader) noteUnwanted(v *vm, key runKey, seen string) {
	r := v.runs[key]
	if r == nil || r.stopped {
		return
	}
	v.stop(r)
	l.log.Info("run is stopped", "req", r.ref.Job, "task", key.task, "run", key.number, "vm", v.info.ID,
		"reason", "unwanted since before", "seen", seen, "state", r.entry.State, "epoch", l.epoch)
}

// absentUnwanted returns stops for the runs that are not present and that were to be stopped, or
// whose job has ended. The worker may still carry out a start that an earlier process of the
// agent sent, so the agent reports such a run as lost once the worker has confirmed the stop.
func (l *Leader) absentUnwanted(v *vm, present map[runKey]bool) []msgs.Stop {
	var stops []msgs.Stop
	for key, r := range v.runs {
		if !present[key] && r.unwanted() {
			l.noteUnwanted(v, key, "not listed")
			stops = append(stops, l.stopOf(key))
		}
	}
	return stops
}
