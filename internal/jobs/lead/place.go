package lead

import (
	"maps"
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/digest"
	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/jobs/plan"
	"github.com/ebonyarch/ebonyarch/internal/jobs/table"
)

const (
	// maxStarts bounds the number of runs that one pass starts. Gangs and speculative
	// copies are started beyond it.
	maxStarts = 400
	// lowUtilization is the requested share of a service's processors below which its VMs count as
	// underused.
	lowUtilization = 0.5
	// lateFactor is the multiple of its objective after which a job is worthless to its
	// caller.
	lateFactor = 3
)

// pass is one placement pass over the waiting work.
type pass struct {
	l   *Leader
	now time.Time
	// vms holds the VMs that may get new work, placement their placement state at the same
	// indexes.
	vms       []*vm
	placement []*plan.VM
	// orders holds the orders for each VM, by its id.
	orders map[string]*msgs.Orders
	starts int
	// adviceWanted holds the stages with tasks that wait for a ticket.
	adviceWanted []adviceWanted
	// underused holds the services of which the requested share of the VMs' processors is below
	// lowUtilization.
	underused map[string]bool
}

// placeWaiting assigns waiting tasks to VMs and moves runs that would end sooner on
// another VM.
func (l *Leader) placeWaiting(now time.Time) {
	p := &pass{l: l, now: now, orders: map[string]*msgs.Orders{}}
	for _, v := range l.sortedVMs() {
		if !v.usable(now) {
			continue
		}
		v.placement.Suspicion, v.placement.Probing = v.health.suspicion(now), v.health.probing(now)
		v.placement.Overloaded = v.overloaded(now)
		v.placement.Quarantined = v.quarantined(now)
		v.placement.InterferenceCost = func(bestEffort *model.Step) float64 { return l.interference.cost(v, bestEffort) }
		// If the service's VMs are underused, throttled work is better than none.
		v.placement.WouldOverload = func(bestEffort *model.Step) bool {
			return !p.underused[v.placement.Service] && l.interference.overloads(v, bestEffort)
		}
		p.vms = append(p.vms, v)
		p.placement = append(p.placement, &v.placement)
	}
	p.underused = p.underusedServices()
	p.plan()
	stages := l.waitingStages(now)
	plan.SortStages(now, stages)
	p.placeSuspects(stages)
	for i := range stages {
		p.placeStage(&stages[i])
	}
	p.moveRuns()
	p.requestAdvice()
	for _, id := range slices.Sorted(maps.Keys(p.orders)) {
		l.sendWhenStored(l.vms[id].conn, &msgs.Message{Orders: p.orders[id]})
	}
}

// underusedServices returns the services whose VMs have runs that request less than lowUtilization
// of the processors. The runs of a VM that has shrunk may request more than it has.
func (p *pass) underusedServices() map[string]bool {
	used, capacity := map[string]int64{}, map[string]int64{}
	for _, v := range p.placement {
		used[v.Service] += min(v.Used.CPU, v.Capacity.CPU)
		capacity[v.Service] += v.Capacity.CPU
	}
	underused := map[string]bool{}
	for service, n := range capacity {
		underused[service] = float64(used[service]) < lowUtilization*float64(n)
	}
	return underused
}

// waitingStages returns the stages with tasks that may start now. It leaves out those of which a
// VM still runs a task that is to be stopped there, so that no task runs twice.
func (l *Leader) waitingStages(now time.Time) []plan.WaitingStage {
	var stages []plan.WaitingStage
	unexpected := l.unexpectedStages()
	for _, e := range l.table.Active() {
		l.trackIdle(now, e)
		l.work += uint64(len(e.Stages))
		for i := range e.Stages {
			st := &e.Stages[i]
			if len(st.Waiting) == 0 || !e.Ready(now, st) {
				continue
			}
			w := l.describeStage(e, st)
			if !unexpected[w.Key] && l.backoffs.elapsed(now, w.Key) {
				stages = append(stages, w)
			}
		}
	}
	return stages
}

// maxIdle is how long a job may have no run while its service's VMs are underused. After that, one of
// its best-effort tasks starts even where no processors are free.
const maxIdle = 1500 * time.Millisecond

// trackIdle updates the time since which a job has no run. The start of one ends it, see
// noteStarted.
func (l *Leader) trackIdle(now time.Time, e *table.Entry) {
	if _, idle := l.idle[e.Job.ID]; !idle && e.RunCount == 0 {
		l.idle[e.Job.ID] = now
	}
}

// idleTooLong reports whether a job has had no run for longer than maxIdle.
func (l *Leader) idleTooLong(now time.Time, e *table.Entry) bool {
	since, idle := l.idle[e.Job.ID]
	return idle && e.RunCount == 0 && now.Sub(since) > maxIdle
}

// describeStage describes a stage for package plan.
func (l *Leader) describeStage(e *table.Entry, st *table.Stage) plan.WaitingStage {
	q := &e.Job.Queue
	total, remaining := l.durations.criticalPath(e, st.Occurrence, l.onTimePlan.inProgress)
	begin := e.Job.Accepted
	if due := e.Job.Due(st.Occurrence); due.After(begin) {
		begin = due
	}
	objective := time.Duration(q.Stretch*float64(total)) + q.TargetLatency
	return plan.WaitingStage{
		Key:         plan.StageKey{Job: e.Job.ID, Occurrence: st.Occurrence, Step: st.Step},
		LongRunning: e.StepOf(st).LongRunning, Priority: q.Priority, RemainingTime: remaining, Accepted: begin,
		Objective: begin.Add(objective), UsefulUntil: begin.Add(lateFactor * objective),
		PlannedLate: l.onTimePlan.plannedLate(e.Job.ID, st.Occurrence),
	}
}

// placeStage places the waiting tasks of a stage until no VM has capacity for the next.
func (p *pass) placeStage(w *plan.WaitingStage) {
	e := p.l.table.Get(w.Key.Job)
	st := stageOf(e, w.Key)
	step := e.StepOf(st)
	task := p.taskOf(w, e, st)
	if step.Gang {
		p.placeGang(e, st, task)
		return
	}
	p.l.work += uint64(len(p.placement))
	ranking := plan.NewRanking(task, p.placement)
	for len(st.Waiting) > 0 && p.starts < maxStarts {
		index := p.nextWaiting(e, st)
		if index < 0 {
			return
		}
		t := *task
		t.Avoid = slices.Concat(task.Avoid, p.l.failedVMs(e, st, index))
		t.Urgent = p.urgent(e, step)
		i := p.chooseRanked(&t, task, ranking)
		if i < 0 && t.NeedsTicket {
			p.wantAdvice(&t, e, st)
			return
		}
		if i < 0 {
			if w.LongRunning {
				p.preempt(&t)
			}
			if step.BestEffort {
				p.l.onTimePlan.noteStarved(t.Service)
			}
			return
		}
		delete(p.l.suspectSince, e.Ref(st, index))
		p.assign(e, st, index, p.vms[i], 0)
		ranking.Update(i)
	}
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
	r := v.add(e, ref, assigned, p.now)
	if r.step.BestEffort {
		r.speedLimit = p.l.initialSpeed(p.now, v, r)
	}
	o := p.orders[v.info.ID]
	if o == nil {
		o = &msgs.Orders{Epoch: p.l.epoch, VM: v.info.ID, Incarnation: v.info.Incarnation}
		p.orders[v.info.ID] = o
	}
	r.ticket = p.l.tickets(p.now, stageKey(ref))[v.info.ID]
	o.Starts = append(o.Starts, startOf(r))
	p.starts++
	p.l.stats.Started++
	p.l.log.Info("task placed", "req", ref.Job, "task", ref.String(), "run", assigned.Number, "vm", v.info.ID,
		"sinceAccepted", p.now.Sub(e.Job.Accepted), "freeCPU", v.placement.Free().CPU, "doubt", v.placement.Suspicion, "pace", r.speedLimit,
		"heard", p.now.Sub(v.lastContact), "checkpoint", digest.Text(r.checkpoint), "epoch", p.l.epoch)
	return r
}

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

// latestCheckpoint returns the checkpoint from which the next run of a task resumes. All members
// of a gang resume from the same one, which any of them may have saved.
func latestCheckpoint(e *table.Entry, ref model.TaskRef) string {
	step := &e.Job.Steps[ref.Step]
	if !step.Gang {
		return e.Task(ref).Checkpoint
	}
	st := e.Stage(ref)
	for i := range step.Tasks {
		if c := e.Tasks[st.First+i].Checkpoint; c != "" {
			return c
		}
	}
	return ""
}

// failedVMs returns the VMs on which a task failed.
func (l *Leader) failedVMs(e *table.Entry, st *table.Stage, index int) []string {
	return l.durations.failedVMs[e.Ref(st, index)]
}
