package lead

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/jobs/table"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

// handleLeaseRequest processes an agent's lease request, which describes its VM and may
// list the present runs, and sends the lease.
func (l *Leader) handleLeaseRequest(now time.Time, conn uint64, req *msgs.LeaseRequest) {
	v := l.vms[req.VM.ID]
	switch {
	case req.VM.ID == "":
		l.sendLease(now, conn, nil, req)
		return
	case l.replaced(v, conn):
		l.log.Info("ignored a lease request on an earlier connection", "vm", req.VM.ID, "life", req.VM.Incarnation)
		return
	case v != nil && req.VM.Incarnation < v.info.Incarnation:
		l.log.Info("ignored a lease request of an earlier incarnation", "vm", req.VM.ID, "life", req.VM.Incarnation, "latest", v.info.Incarnation)
		return
	case req.VM.Down:
		l.removeVM(now, v, "the agent reports that the worker is gone")
		return
	case v == nil:
		v = newVM(req.VM)
		v.placement.MaxRuns = l.maxRuns
		l.vms[req.VM.ID] = v
	case req.VM.Incarnation > v.info.Incarnation && !req.RunsListed:
		// The next request lists the runs of the new incarnation. These may include runs
		// whose orders were meant for the earlier one.
		v.synced = false
		l.sendLease(now, conn, v, req)
		return
	case req.VM.Incarnation > v.info.Incarnation:
		v.adoptRuns(req)
		l.endRunsBefore(now, v, req.VM.Incarnation, "the worker was restarted")
	}
	l.updateInfo(v, req.VM)
	if conn != v.conn {
		v.synced = false // orders refer to lists, which count from the start with each process of the agent
	}
	v.conn, v.lastContact = conn, now
	l.removeReplaced(now, v)
	l.vmByConn[conn] = req.VM.ID
	if req.Synced {
		v.synced, v.listSeq = true, req.Seq
		l.placementDue = true
		l.log.Info("VM joins", "vm", v.info.ID, "life", v.info.Incarnation, "zone", v.info.Zone, "service", v.info.Service, "runs", len(req.Runs))
	}
	if req.RunsListed {
		l.reconcile(now, v, req)
	}
	l.sendLease(now, conn, v, req)
}

// replaced reports whether the VM's agent has contacted the leader on a later connection, which
// may have ended since. What arrives on the earlier one after that may be out of date: a run that
// is reported as lost there may have been ordered again since.
func (l *Leader) replaced(v *vm, conn uint64) bool {
	return v != nil && conn < v.conn
}

// adoptRuns assigns the runs that a new incarnation of the worker lists to it: their orders
// were in transit to the earlier incarnation when the worker was restarted.
func (v *vm) adoptRuns(req *msgs.LeaseRequest) {
	for _, status := range req.Runs {
		if r := v.runs[runKey{status.Task, status.Run}]; r != nil {
			r.incarnation = req.VM.Incarnation
		}
	}
}

// updateInfo stores the agent's description of a VM and logs what placement depends on.
func (l *Leader) updateInfo(v *vm, info msgs.VM) {
	if info.Draining != v.info.Draining || info.Capacity != v.info.Capacity {
		l.log.Info("VM changes", "vm", info.ID, "draining", info.Draining, "remaining", info.Remaining,
			"capacity", info.Capacity, "before", v.info.Capacity, "used", v.placement.Used)
		l.placementDue = true
	}
	v.updateInfo(info)
}

// sendLease responds to a lease request, unless the store has not confirmed this
// leadership for StoreTimeout. A request that names no VM gets no lease: the agent may extend a
// worker's lease with it, and the leader would not know for how long.
func (l *Leader) sendLease(now time.Time, conn uint64, v *vm, req *msgs.LeaseRequest) {
	if l.StoreAge(now) > StoreTimeout {
		return
	}
	lease := &msgs.Lease{Seq: req.Seq}
	if v != nil {
		v.extendLease(now.Add(leaseWait(LeaseDuration)))
		lease.ValidFor, lease.Resync = LeaseDuration, !v.synced && req.RunsListed
	}
	l.send(conn, &msgs.Message{Lease: lease})
}

// reconcile compares the runs that an agent lists with those that should be present. It
// orders the stop of unwanted runs and, if the request is Synced, the start of missing ones.
// It also updates the estimates and speed limits from the listed measurements.
func (l *Leader) reconcile(now time.Time, v *vm, req *msgs.LeaseRequest) {
	present := make(map[runKey]bool, len(req.Runs))
	unexpected := map[runKey]place.Resources{}
	var stops []msgs.Stop
	l.work += uint64(len(req.Runs))
	for _, status := range req.Runs {
		key := runKey{status.Task, status.Run}
		present[key] = true
		r := v.runs[key]
		if r == nil {
			r = l.readopt(now, v, key)
		}
		if r == nil && !l.gangDone(key) {
			unexpected[key] = l.sizeOrAll(v, key.task)
		}
		if r == nil || r.unwanted() {
			l.noteUnwanted(v, key, "present")
			stops = append(stops, l.stopOf(key))
			continue
		}
		l.noteCheckpoint(r, status)
	}
	l.noteUnexpected(v, unexpected, req.Synced)
	v.estimateSpeeds(req.Runs)
	l.interference.observe(now, v, req.Runs)
	l.updateProgress(now, v, req.Runs)
	orders := msgs.Orders{Stops: stops}
	if req.Synced {
		l.work += uint64(len(v.runs))
		var gangs gangRuns
		for key, r := range v.runs {
			switch {
			case r.unwanted():
			case !present[key] && gangs.memberEnded(r):
				v.stop(r)
				l.log.Info("run is stopped", "req", r.ref.Job, "task", key.task, "run", key.number, "vm", v.info.ID, "reason", "another member of its gang has ended")
			default:
				// The agent starts the missing runs and needs the details of the others.
				orders.Starts = append(orders.Starts, startOf(r))
			}
		}
		orders.Stops = append(orders.Stops, l.absentUnwanted(v, present)...)
	}
	l.send(v.conn, l.throttleBestEffort(now, v, req.Runs))
	if len(orders.Starts)+len(orders.Stops) > 0 {
		l.orderWhenStored(v, orders)
	}
}

// noteCheckpoint records the checkpoint of a run that an agent lists.
func (l *Leader) noteCheckpoint(r *run, status msgs.RunStatus) {
	if !r.checkpointTooLarge && !r.entry.TakesCheckpoint(status.Checkpoint) {
		r.checkpointTooLarge = true
		l.log.Warn("a checkpoint is too large to be stored; the task would resume from an earlier one", "req", r.ref.Job,
			"task", status.Task, "run", status.Run, "bytes", len(status.Checkpoint), "tasks", len(r.entry.Tasks))
	}
	l.table.Checkpoint(r.ref, status.Run, status.Checkpoint)
}

// orderWhenStored sends orders for a VM once all changes made so far are stored.
func (l *Leader) orderWhenStored(v *vm, o msgs.Orders) {
	o.Epoch, o.VM, o.Incarnation = l.epoch, v.info.ID, v.info.Incarnation
	l.sendWhenStored(v.conn, &msgs.Message{Orders: &o})
}

// handleReport processes an agent's report of run ends.
func (l *Leader) handleReport(now time.Time, conn uint64, r *msgs.Report) {
	v := l.vms[r.VM]
	if v == nil || v.info.Incarnation != r.Incarnation {
		l.log.Info("ignored run ends of another incarnation", "vm", r.VM, "life", r.Incarnation, "ends", len(r.Ends))
		return
	}
	if l.replaced(v, conn) {
		l.log.Info("ignored run ends on an earlier connection", "vm", r.VM, "life", r.Incarnation, "ends", len(r.Ends))
		return
	}
	var last int64
	l.work += uint64(len(r.Ends))
	for _, e := range r.Ends {
		l.noteRefusal(now, v, e)
		l.endRun(now, v, runKey{e.Task, e.Run}, e.Outcome, e.Checkpoint, e.Reason)
		last = max(last, e.Number)
	}
	if last > 0 {
		l.sendWhenStored(conn, &msgs.Message{EndsStored: &msgs.EndsStored{VM: r.VM, Incarnation: r.Incarnation, Number: last}})
	}
}

// refusalReasons holds the reasons with which workers refuse to start a run. The outcome of
// such a run is msgs.Lost.
var refusalReasons = map[string]bool{
	port.ErrWorkerUnhealthy.Error(): true, port.ErrRunCapacity.Error(): true,
	port.ErrRunTicket.Error(): true, port.ErrRunInvalid.Error(): true,
}

// noteRefusal starts or extends the backoff of a step if a worker refused its run, and ends
// the backoff otherwise. A refusal also invalidates the step's ticket, all of them if that was the
// reason. If the worker refused because it is unhealthy, that counts as a failure in the health of its VM.
func (l *Leader) noteRefusal(now time.Time, v *vm, e msgs.RunEnd) {
	r := v.runs[runKey{e.Task, e.Run}]
	switch {
	case r == nil:
	case e.Outcome == msgs.Lost && refusalReasons[e.Reason]:
		l.stats.LostRefused++
		l.backoffs.noteRefused(now, stageKey(r.ref))
		if e.Reason == port.ErrRunCapacity.Error() {
			l.backoffs.noteFull(stageKey(r.ref), v.info.ID)
		}
		if a := l.advice[stageKey(r.ref)]; a != nil {
			a.refused(v.info.ID, v.info.Incarnation, e.Reason == port.ErrRunTicket.Error())
		}
		if e.Reason == port.ErrWorkerUnhealthy.Error() {
			v.health.runEnded(now, r, msgs.Failed, 0)
		}
	default:
		l.backoffs.reset(stageKey(r.ref))
	}
}

// endRun processes the end of one run.
func (l *Leader) endRun(now time.Time, v *vm, key runKey, outcome msgs.Outcome, checkpoint, reason string) {
	r := v.runs[key]
	v.remove(key)
	l.dropUnexpected(v, key)
	ref, err := model.ParseTaskRef(key.task)
	if err != nil {
		l.log.Warn("ignored a run end with an invalid task reference", "vm", v.info.ID, "task", key.task, "err", err)
		return
	}
	if outcome != msgs.Lost {
		l.noteStarted(now, v.info.ID, key, "ended")
	}
	before := l.endedBefore(ref, key.number, outcome)
	if _, known := l.table.EndRun(now, ref, key.number, outcome, checkpoint); !known {
		l.log.Info("ignored the end of a run that is not in the job table", "req", ref.Job, "task", key.task, "run", key.number, "vm", v.info.ID, "outcome", outcome, "epoch", l.epoch)
		return
	}
	l.placementDue = true
	l.countEnd(outcome)
	e := l.table.Get(ref.Job)
	took := time.Duration(0)
	if r != nil {
		took = now.Sub(r.since)
	} else if reason == "" {
		reason = "the run was no longer expected"
	}
	l.log.Info("run ended", "req", ref.Job, "task", key.task, "run", key.number, "vm", v.info.ID, "outcome", outcome,
		"took", took, "reason", reason, "state", e.State, "epoch", l.epoch)
	l.releaseGang(before.members)
	if r != nil {
		expected := l.durations.expect(r.entry, r.ref.Step)
		if r.restored {
			expected = 0
		}
		v.health.runEnded(now, r, outcome, expected)
		switch outcome {
		case msgs.Done:
			if !r.restored {
				l.durations.noteDone(r.entry, r.ref.Step, now.Sub(r.since))
			}
		case msgs.Failed:
			l.durations.noteFailed(r.ref, v.info.ID)
		}
	}
	l.stopNoLongerNeeded(now, e, ref, before)
}

// countEnd counts a run end by its outcome.
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

// ended says what had ended before the end of a run was processed.
type ended struct {
	// job and task are set if they had.
	job, task bool
	// members holds the runs of the gang that end with the run.
	members []table.PlacedRun
}

// endedBefore returns what has ended before the end of a run of a task is processed.
func (l *Leader) endedBefore(ref model.TaskRef, number uint32, outcome msgs.Outcome) ended {
	e := l.table.Get(ref.Job)
	if e == nil || e.Task(ref) == nil {
		return ended{}
	}
	before := ended{job: e.State.Ended(), task: e.Task(ref).Done}
	if st := e.Stage(ref); outcome == msgs.Done && e.StepOf(st).Gang && !before.task {
		before.members = e.RunsOf(st, number)
	}
	return before
}

// stopNoLongerNeeded orders the stop of the runs that are no longer needed since a run of a task has
// ended. before tells what had ended before that.
func (l *Leader) stopNoLongerNeeded(now time.Time, e *table.Entry, ref model.TaskRef, before ended) {
	st := e.Stage(ref)
	switch {
	case before.job:
	case e.State.Ended():
		l.stopSurplus(now, e)
	case before.task || !e.Task(ref).Done:
	case e.StepOf(st).Gang:
		l.stopSurplusOf(now, e, st.First, st.First+e.StepOf(st).Tasks)
	default:
		l.stopSurplusOf(now, e, st.First+ref.Index, st.First+ref.Index+1)
	}
}

// releaseGang releases the resources of all members of a gang's run that is done, since the end
// that one of them reports is enough. That one may have been given up before.
func (l *Leader) releaseGang(members []table.PlacedRun) {
	l.work += uint64(len(members))
	for _, p := range members {
		if v := l.vms[p.Run.VM]; v != nil {
			v.remove(runKey{p.Ref.String(), p.Run.Number})
		}
	}
}
