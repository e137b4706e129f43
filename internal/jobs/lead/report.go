package lead

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/jobs/table"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

// beat takes an agent's announcement and answers it with a lease.
func (l *Leader) beat(now time.Time, conn uint64, b *msgs.LeaseRequest) {
	v := l.vms[b.VM.ID]
	switch {
	case b.VM.ID == "":
		l.lease(now, conn, nil, b)
		return
	case v != nil && b.VM.Incarnation < v.info.Incarnation:
		l.log.Info("ignored an earlier life of a VM", "vm", b.VM.ID, "life", b.VM.Incarnation, "latest", v.info.Incarnation)
		return
	case b.VM.Down:
		l.down(now, v, "the agent says that the worker is gone")
		return
	case v == nil:
		v = newVM(b.VM)
		l.vms[b.VM.ID] = v
	case b.VM.Incarnation > v.info.Incarnation && !b.RunsListed:
		// What the new life runs is told next; orders to the earlier one may be among it.
		v.synced = false
		l.lease(now, conn, v, b)
		return
	case b.VM.Incarnation > v.info.Incarnation:
		v.adopt(b)
		l.endLife(now, v, b.VM.Incarnation, "the worker was started again")
	}
	l.describe(v, b.VM)
	l.replaced(now, v)
	v.conn, v.heardAt = conn, now
	l.agents[conn] = b.VM.ID
	if b.Synced {
		v.synced = true
		l.changed = true
		l.log.Info("VM joins", "vm", v.info.ID, "life", v.info.Incarnation, "zone", v.info.Zone, "service", v.info.Service, "runs", len(b.Runs))
	}
	if b.RunsListed {
		l.rows(now, v, b)
	}
	l.lease(now, conn, v, b)
}

// adopt takes over runs that a new life of the worker lists: their orders were on the
// way to the earlier life.
func (v *vm) adopt(b *msgs.LeaseRequest) {
	for _, row := range b.Runs {
		if it := v.runs[runKey{row.Task, row.Run}]; it != nil {
			it.life = b.VM.Incarnation
		}
	}
}

func (l *Leader) describe(v *vm, info msgs.VM) {
	if info.Draining != v.info.Draining {
		l.log.Info("VM changes", "vm", info.ID, "draining", info.Draining, "remaining", info.Remaining)
		l.changed = true
	}
	v.describe(info)
}

// replaced gives up earlier workers beside a VM's agent: each had to end before the
// next could listen at its address.
func (l *Leader) replaced(now time.Time, v *vm) {
	for _, other := range l.vms {
		if other != v && other.info.Node != "" && other.info.Node == v.info.Node && other.info.Incarnation < v.info.Incarnation {
			l.down(now, other, "another worker runs beside its agent")
		}
	}
}

// lease answers a beat while the store confirms that this entry leads.
func (l *Leader) lease(now time.Time, conn uint64, v *vm, b *msgs.LeaseRequest) {
	if l.StoreAge(now) > StoreTimeout {
		return
	}
	if v != nil {
		v.until = now.Add(leaseEnd(LeaseDuration))
	}
	resync := v != nil && !v.synced && b.RunsListed
	l.send(conn, &msgs.Message{Lease: &msgs.Lease{Seq: b.Seq, ValidFor: LeaseDuration, Resync: resync}})
}

// rows compares what runs with what should run.
func (l *Leader) rows(now time.Time, v *vm, b *msgs.LeaseRequest) {
	present := make(map[runKey]bool, len(b.Runs))
	var stops []msgs.Stop
	for _, row := range b.Runs {
		key := runKey{row.Task, row.Run}
		present[key] = true
		it := v.runs[key]
		if it == nil || it.stopped || it.entry.State.Ended() {
			stops = append(stops, msgs.Stop{Task: row.Task, Run: row.Run})
			continue
		}
		l.table.Checkpoint(it.ref, row.Run, row.Checkpoint)
	}
	l.harm.observe(now, v, b.Runs)
	l.advance(now, v, b.Runs)
	orders := &msgs.Orders{Epoch: l.epoch, VM: v.info.ID, Incarnation: v.info.Incarnation, Stops: stops}
	if b.Synced {
		for _, it := range v.runs {
			if !it.stopped && !it.entry.State.Ended() {
				// The agent starts what is missing and learns what the rest is for.
				orders.Starts = append(orders.Starts, startOf(it))
			}
		}
		l.endSurplus(now, v, present)
	}
	l.send(v.conn, l.paces(now, v, b.Runs))
	if len(orders.Starts)+len(orders.Stops) > 0 {
		l.hold(v.conn, &msgs.Message{Orders: orders})
	}
}

// endSurplus ends runs that are neither wanted nor present.
func (l *Leader) endSurplus(now time.Time, v *vm, present map[runKey]bool) {
	for key, it := range v.runs {
		if !present[key] && (it.stopped || it.entry.State.Ended()) {
			l.end(now, v, key, msgs.Lost, "", "not present after the agent came back")
		}
	}
}

// report takes the ends of runs.
func (l *Leader) report(now time.Time, conn uint64, r *msgs.Report) {
	v := l.vms[r.VM]
	if v == nil || v.info.Incarnation != r.Incarnation {
		l.log.Info("ignored ends of another life", "vm", r.VM, "life", r.Incarnation, "ends", len(r.Ends))
		return
	}
	var last int64
	for _, e := range r.Ends {
		l.noteRefusal(now, v, e)
		l.end(now, v, runKey{e.Task, e.Run}, e.Outcome, e.Checkpoint, e.Reason)
		last = max(last, e.Number)
	}
	if last > 0 {
		l.hold(conn, &msgs.Message{EndsStored: &msgs.EndsStored{VM: r.VM, Incarnation: r.Incarnation, Number: last}})
	}
}

// refusals are the reasons of lost runs that are a worker's refusal of the run itself.
var refusals = map[string]bool{
	port.ErrWorkerUnhealthy.Error(): true, port.ErrRunCapacity.Error(): true,
	port.ErrRunTicket.Error(): true, port.ErrRunInvalid.Error(): true,
}

// noteRefusal spaces the starts of a step that a worker refuses, and remembers what is
// refused by whom.
func (l *Leader) noteRefusal(now time.Time, v *vm, e msgs.RunEnd) {
	it := v.runs[runKey{e.Task, e.Run}]
	switch {
	case it == nil:
	case e.Outcome == msgs.Lost && refusals[e.Reason]:
		l.waits.refused(now, stageKey(it.ref))
		delete(l.advice, stageKey(it.ref))
		if e.Reason == port.ErrWorkerUnhealthy.Error() {
			v.health.ended(now, it, msgs.Failed, 0)
		}
	default:
		l.waits.started(stageKey(it.ref))
	}
}

// end takes the end of one run.
func (l *Leader) end(now time.Time, v *vm, key runKey, outcome msgs.Outcome, checkpoint, reason string) {
	it := v.runs[key]
	v.remove(key)
	ref, err := model.ParseTaskRef(key.task)
	if err != nil {
		l.log.Warn("ignored the end of an unknown task", "vm", v.info.ID, "task", key.task, "err", err)
		return
	}
	if _, known := l.table.EndRun(now, ref, key.number, outcome, checkpoint); !known {
		l.log.Info("end of a run that is not in the book", "req", ref.Job, "task", key.task, "run", key.number, "vm", v.info.ID, "outcome", outcome)
		return
	}
	l.changed = true
	l.countEnd(outcome)
	e := l.table.Get(ref.Job)
	took := time.Duration(0)
	if it != nil {
		took = now.Sub(it.since)
	}
	l.log.Info("run ended", "req", ref.Job, "task", key.task, "run", key.number, "vm", v.info.ID, "outcome", outcome,
		"took", took, "reason", reason, "state", e.State, "epoch", l.epoch)
	if it != nil && it.step.Gang && outcome == msgs.Done {
		l.releaseGang(it)
	}
	if it != nil {
		v.health.ended(now, it, outcome, l.learn.expect(it.entry, it.ref.Step))
		switch outcome {
		case msgs.Done:
			l.learn.done(it.entry, it.ref.Step, now.Sub(it.since))
		case msgs.Failed:
			l.learn.failed(it.ref, v.info.ID)
		}
	}
	l.stopSurplus(now, e)
}

func (l *Leader) countEnd(o msgs.Outcome) {
	switch o {
	case msgs.Done:
		l.stats.Done++
	case msgs.Failed:
		l.stats.Failed++
	case msgs.Lost:
		l.stats.Lost++
	default:
		l.stats.OtherEnds++
	}
}

// stopSurplus orders the end of runs that are no longer wanted.
func (l *Leader) stopSurplus(now time.Time, e *table.Entry) {
	for _, p := range e.Surplus() {
		l.stopRun(now, p.Run.VM, runKey{p.Ref.String(), p.Run.Number}, "no longer wanted")
	}
}

func (l *Leader) stopRun(_ time.Time, id string, key runKey, reason string) {
	v := l.vms[id]
	if v == nil {
		return
	}
	it := v.runs[key]
	if it == nil || it.stopped {
		return
	}
	it.stopped = true
	l.log.Info("run is stopped", "req", it.ref.Job, "task", key.task, "run", key.number, "vm", id, "reason", reason)
	l.hold(v.conn, &msgs.Message{Orders: &msgs.Orders{
		Epoch: l.epoch, VM: id, Incarnation: v.info.Incarnation, Stops: []msgs.Stop{{Task: key.task, Run: key.number}},
	}})
}

// down ends all runs of a VM whose life is over.
func (l *Leader) down(now time.Time, v *vm, reason string) {
	if v == nil {
		return
	}
	l.log.Info("VM is gone", "vm", v.info.ID, "life", v.info.Incarnation, "runs", len(v.runs), "reason", reason)
	l.endLife(now, v, v.info.Incarnation+1, reason)
	delete(l.vms, v.info.ID)
	delete(l.agents, v.conn)
	l.changed = true
}

// endLife ends all runs of lives before one.
func (l *Leader) endLife(now time.Time, v *vm, life int64, reason string) {
	for key, it := range v.runs {
		if it.life < life {
			l.end(now, v, key, msgs.Lost, "", reason)
		}
	}
	v.synced = false
}

// expire gives up VMs whose leases have ended by every clock.
func (l *Leader) expire(now time.Time) {
	for _, v := range l.vms {
		if now.After(v.until) {
			l.down(now, v, "its lease has ended")
		}
	}
}

// releaseGang frees the room of a gang's members, of which only one lists its end.
func (l *Leader) releaseGang(done *run) {
	for _, v := range l.vms {
		for key, it := range v.runs {
			if stageKey(it.ref) == stageKey(done.ref) && it.number == done.number {
				v.remove(key)
			}
		}
	}
}
