package lead

import (
	"maps"
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/jobs/plan"
	"github.com/ebonyarch/ebonyarch/internal/jobs/table"
)

const (
	// maxStarts bounds the runs that one pass orders.
	maxStarts = 400
	// roomyBelow is the part of the processors held below which VMs have much room.
	roomyBelow = 0.5
	// lateBy is how many times its objective a job may take and still be worth
	// something.
	lateBy = 3
)

// pass is one pass over the waiting work.
type pass struct {
	l    *Leader
	now  time.Time
	vms  []*vm
	room []*plan.VM
	// orders holds what each VM is told, by its id.
	orders map[string]*msgs.Orders
	starts int
	// roomy is set if less than half of the VMs' processors are held.
	roomy bool
}

// place gives waiting work to VMs.
func (l *Leader) place(now time.Time) {
	p := &pass{l: l, now: now, orders: map[string]*msgs.Orders{}}
	for _, v := range l.sortedVMs() {
		if !v.usable(now) {
			continue
		}
		v.room.Suspicion, v.room.Probing = v.health.doubt(now), v.health.probe(now)
		v.room.Overloaded = v.strained(now)
		v.room.InterferenceCost = func(filler *model.Step) float64 { return l.harm.cost(v, filler) }
		// Where there is much room, work that has to be slowed is better than none.
		v.room.WouldOverload = func(filler *model.Step) bool { return !p.roomy && l.harm.overloads(v, filler) }
		p.vms = append(p.vms, v)
		p.room = append(p.room, &v.room)
	}
	p.roomy = p.held() < roomyBelow
	p.plan()
	work := l.waiting(now)
	plan.SortStages(now, work)
	for i := range work {
		p.stage(&work[i])
	}
	p.move()
	for _, id := range slices.Sorted(maps.Keys(p.orders)) {
		l.hold(l.vms[id].conn, &msgs.Message{Orders: p.orders[id]})
	}
}

// held returns the part of the VMs' processors that is held.
func (p *pass) held() float64 {
	var used, capacity int64
	for _, v := range p.room {
		used += v.Used.CPU
		capacity += v.Capacity.CPU
	}
	return float64(used) / float64(max(1, capacity))
}

// waiting returns the stages with tasks that may start now.
func (l *Leader) waiting(now time.Time) []plan.WaitingStage {
	var work []plan.WaitingStage
	for _, e := range l.table.Active() {
		l.noteIdle(now, e)
		for i := range e.Stages {
			st := &e.Stages[i]
			if len(st.Waiting) == 0 || !e.Ready(now, st) {
				continue
			}
			w := l.workOf(e, st)
			if l.waits.over(now, w.Key) {
				work = append(work, w)
			}
		}
	}
	return work
}

// idleFor is how long a job may have nothing running, while less than half of
// the VMs' processors are held, before one of its fillers starts without processors to
// spare.
const idleFor = 1500 * time.Millisecond

// noteIdle notes since when nothing of a job runs.
func (l *Leader) noteIdle(now time.Time, e *table.Entry) {
	if _, idle := l.idle[e.Job.ID]; e.RunCount > 0 {
		delete(l.idle, e.Job.ID)
	} else if !idle {
		l.idle[e.Job.ID] = now
	}
}

// idleLong reports whether a job has had nothing running for long.
func (l *Leader) idleLong(now time.Time, e *table.Entry) bool {
	since, idle := l.idle[e.Job.ID]
	return idle && e.RunCount == 0 && now.Sub(since) > idleFor
}

func (l *Leader) workOf(e *table.Entry, st *table.Stage) plan.WaitingStage {
	q := &e.Job.Queue
	whole, left := l.learn.chain(e, st.Occurrence, l.timely.underWay)
	begin := e.Job.Accepted
	if due := e.Job.Due(st.Occurrence); due.After(begin) {
		begin = due
	}
	aim := time.Duration(q.Stretch*float64(whole)) + q.TargetLatency
	return plan.WaitingStage{
		Key:     plan.StageKey{Job: e.Job.ID, Occurrence: st.Occurrence, Step: st.Step},
		LongRunning: e.StepOf(st).LongRunning, Priority: q.Priority, RemainingTime: left, Accepted: begin,
		Objective: begin.Add(aim), UsefulUntil: begin.Add(lateBy * aim),
		PlannedLate: l.timely.untimelyOf(e.Job.ID, st.Occurrence),
	}
}

// stage places the waiting tasks of a stage until one finds no room.
func (p *pass) stage(w *plan.WaitingStage) {
	e := p.l.table.Get(w.Key.Job)
	st := stageOf(e, w.Key)
	step := e.StepOf(st)
	task := &plan.Task{
		Key: w.Key, Step: step, Service: p.serviceOf(e), Urgent: w.LongRunning || w.Priority == 0,
	}
	if p.l.advisedQueue(e) {
		task.NeedsTicket, task.Tickets = true, p.l.tickets(p.now, w.Key)
	}
	if step.Gang {
		p.gang(e, st, task)
		return
	}
	for len(st.Waiting) > 0 && p.starts < maxStarts {
		index := st.Waiting[0]
		task.Avoid = p.l.failedOn(e, st, index)
		if step.BestEffort {
			task.Urgent = p.roomy && p.l.idleLong(p.now, e)
		}
		i := p.choose(task)
		if i < 0 && task.NeedsTicket {
			p.ask(task)
			return
		}
		if i < 0 {
			if w.LongRunning {
				p.makeRoom(task)
			}
			if step.BestEffort {
				p.l.timely.starve(task.Service)
			}
			return
		}
		p.start(e, st, index, p.vms[i], 0)
	}
}

// choose returns the VM for a task, leaving out those where room is being made for
// another stage.
func (p *pass) choose(t *plan.Task) int {
	i := plan.Choose(t, p.room)
	if i < 0 || !p.vms[i].keptFor(p.now, t.Key) {
		return i
	}
	var room []*plan.VM
	var index []int
	for j, v := range p.vms {
		if !v.keptFor(p.now, t.Key) {
			room, index = append(room, &v.room), append(index, j)
		}
	}
	if i = plan.Choose(t, room); i < 0 {
		return i
	}
	return index[i]
}

// keptFor reports whether the VM's room is kept for a stage other than key.
func (v *vm) keptFor(now time.Time, key plan.StageKey) bool {
	return now.Before(v.keptUntil) && v.kept != key
}

// advisedQueue reports whether a job's queue needs advice.
func (l *Leader) advisedQueue(e *table.Entry) bool {
	if q := l.cfg.Queue(e.Job.Queue.Name); q != nil {
		return q.Advised
	}
	return e.Job.Queue.Advised
}

func (p *pass) serviceOf(e *table.Entry) string {
	if q := p.l.cfg.Queue(e.Job.Queue.Name); q != nil {
		return q.Service
	}
	return e.Job.Queue.Service
}

// start gives a task to a VM.
func (p *pass) start(e *table.Entry, st *table.Stage, index int, v *vm, number uint32) {
	ref := e.Ref(st, index)
	r := p.l.table.Assign(e, ref, table.Run{Number: number, VM: v.info.ID, Incarnation: v.info.Incarnation, Node: v.info.Node})
	it := v.add(e, ref, r, p.now)
	if it.step.BestEffort {
		it.percent = p.l.harm.firstPace(p.now, v, it)
	}
	o := p.orders[v.info.ID]
	if o == nil {
		o = &msgs.Orders{Epoch: p.l.epoch, VM: v.info.ID, Incarnation: v.info.Incarnation}
		p.orders[v.info.ID] = o
	}
	it.ticket = p.l.tickets(p.now, stageKey(ref))[v.info.ID]
	o.Starts = append(o.Starts, startOf(it))
	p.starts++
	p.l.stats.Started++
	p.l.log.Info("task placed", "req", ref.Job, "task", ref.String(), "run", r.Number, "vm", v.info.ID,
		"sinceAccepted", p.now.Sub(e.Job.Accepted), "freeCPU", v.room.Free().CPU, "doubt", v.room.Suspicion, "pace", it.percent,
		"heard", p.now.Sub(v.heardAt), "epoch", p.l.epoch)
}

func startOf(it *run) msgs.Start {
	t := it.entry.Task(it.ref)
	return msgs.Start{
		Task: it.ref.String(), Run: it.number, Payload: it.entry.Job.Payload, Percent: it.percent,
		Checkpoint: checkpointOf(it, t), Ticket: it.ticket,
	}
}

// checkpointOf returns the progress that a run resumes from. The members of a gang
// resume from one value, which any of them may have saved.
func checkpointOf(it *run, t *table.Task) string {
	if !it.step.Gang {
		return t.Checkpoint
	}
	st := it.entry.Stage(it.ref)
	for i := range it.step.Tasks {
		if c := it.entry.Tasks[st.First+i].Checkpoint; c != "" {
			return c
		}
	}
	return ""
}

// failedOn returns the VMs on which a task failed.
func (l *Leader) failedOn(e *table.Entry, st *table.Stage, index int) []string {
	return l.learn.failedOn[e.Ref(st, index)]
}
