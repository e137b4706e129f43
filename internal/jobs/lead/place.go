package lead

import (
	"slices"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/jobs/plan"
	"github.com/ebonyarch/ebonyarch/internal/jobs/table"
)

// placeStage places the waiting tasks of a stage until no VM has capacity for the next. It returns false
// if the pass is exhausted before that.
func (p *pass) placeStage(w *plan.WaitingStage) bool {
	e := p.l.table.Get(w.Key.Job)
	st := stageOf(e, w.Key)
	step := e.StepOf(st)
	task := p.taskOf(w, e, st)
	if step.Gang {
		return p.placeGang(e, st, task)
	}
	p.l.work += uint64(len(p.placement))
	ranking := plan.NewRanking(task, p.placement)
	for len(st.Waiting) > 0 {
		if p.starts > 0 && p.exhausted() {
			return false
		}
		index := p.nextWaiting(e, st)
		if index < 0 {
			return true
		}
		t := *task
		t.Avoid = slices.Concat(task.Avoid, p.l.failedVMs(e, st, index))
		t.Urgent = p.urgent(e, step)
		i := p.chooseRanked(&t, task, ranking)
		if i < 0 && t.NeedsTicket {
			p.wantAdvice(&t, e, st)
			return true
		}
		if i < 0 {
			if w.LongRunning {
				p.preempt(&t)
			}
			if step.BestEffort {
				p.l.onTimePlan.noteStarved(t.Service)
			}
			return true
		}
		delete(p.l.suspectSince, e.Ref(st, index))
		p.assign(e, st, index, p.vms[i], 0)
		ranking.Update(i)
	}
	return true
}

// taskOf describes the tasks of a stage for package plan.
func (p *pass) taskOf(w *plan.WaitingStage, e *table.Entry, st *table.Stage) *plan.Task {
	step := e.StepOf(st)
	task := &plan.Task{
		Key: w.Key, Step: step, Service: p.serviceOf(e), Urgent: p.urgent(e, step),
		Avoid: p.l.backoffs.full(p.now, w.Key),
	}
	if p.l.needsAdvice(e) {
		task.NeedsTicket, task.Tickets = true, p.l.tickets(p.now, w.Key)
	}
	return task
}

// urgent reports whether a task of a best-effort step starts even where other best-effort tasks
// request the processors: its job would have no run although the service's VMs are underused.
func (p *pass) urgent(e *table.Entry, step *model.Step) bool {
	return step.BestEffort && p.underused[p.serviceOf(e)] && p.l.idleTooLong(p.now, e)
}

// needsAdvice reports whether tasks of a job's queue need a ticket of the advisor. The
// operator's configuration takes precedence over the one that the job was accepted with.
func (l *Leader) needsAdvice(e *table.Entry) bool {
	if q := l.cfg.Queue(e.Job.Queue.Name); q != nil {
		return q.Advised
	}
	return e.Job.Queue.Advised
}

// serviceOf returns the service whose VMs run a job.
func (p *pass) serviceOf(e *table.Entry) string {
	if q := p.l.cfg.Queue(e.Job.Queue.Name); q != nil {
		return q.Service
	}
	return e.Job.Queue.Service
}

// assign assigns a task to a VM and adds the order to start it. number is the lowest
// allowed run number, 0 for no bound.
func (p *pass) assign(e *table.Entry, st *table.Stage, index int, v *vm, number uint32) *run {
	ref := e.Ref(st, index)
	assigned := p.l.table.Assign(e, ref, table.Run{Number: number, VM: v.info.ID, Incarnation: v.info.Incarnation, Node: v.info.Node})
	r := v.add(e, ref, assigned, p.checkpoints.latest(e, ref), p.now)
	if r.step.BestEffort {
		p.l.interference.noteAssigned(v, r.step)
	}
	o := p.orders[v.info.ID]
	if o == nil {
		o = &msgs.Orders{Epoch: p.l.epoch, VM: v.info.ID, Incarnation: v.info.Incarnation}
		p.orders[v.info.ID] = o
	}
	r.ticket = p.l.tickets(p.now, stageKey(ref))[v.info.ID]
	p.placed = append(p.placed, placedRun{v, r, v.placement.Free().CPU, len(o.Starts)})
	o.Starts = append(o.Starts, startOf(r))
	p.starts++
	p.l.work += startWork
	p.l.stats.Started++
	return r
}

// startWork is the work of assigning a run, in the unit of Leader.Work.
const startWork = 100

// startOf returns the order to start a run, which the caller gives.
func startOf(r *run) msgs.Start {
	repeated := r.ordered || r.restored
	r.ordered = true
	return msgs.Start{
		Task: r.ref.String(), Run: r.number, Payload: r.entry.Job.Payload, Percent: r.speedLimit,
		Checkpoint: r.checkpoint, Ticket: r.ticket, Repeated: repeated,
		Size: r.step.ResourceRequest(),
	}
}

// failedVMs returns the VMs on which a task failed.
func (l *Leader) failedVMs(e *table.Entry, st *table.Stage, index int) []string {
	return l.durations.failedVMs[e.Ref(st, index)]
}
