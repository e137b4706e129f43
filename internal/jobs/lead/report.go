package lead

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
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
