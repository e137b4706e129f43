package tasks

import (
	"strings"
	"time"
)

// CancelBounds bounds what workers may do for a job once its cancelling was acknowledged. The zero
// value checks nothing.
type CancelBounds struct {
	// Start is how long after the acknowledgement a task may still start, Stop how long a run may
	// go on after that.
	Start, Stop time.Duration
	// Contact is how long an agent must have been without disruption to be in touch. A run that was
	// started late counts from so long after its start, one of which an order to stop it is late from
	// so long after the agent sent that.
	Contact time.Duration
	// InTouchSince returns since when a worker's agent has been without disruption, CalmSince since
	// when everything has.
	InTouchSince func(worker string) time.Time
	CalmSince    func() time.Time
}

// cancelling is the acknowledged cancelling of a job.
type cancelling struct {
	at time.Time
	// absent is set if the caller was told that there is no such job.
	absent bool
}

// String says in faults what the caller was told.
func (c cancelling) String() string {
	if c.absent {
		return "a caller was told that there is no such job"
	}
	return "the job's cancelling was acknowledged"
}

// runID identifies a run at a worker.
type runID struct {
	task, worker string
	number       uint32
}

// Cancelled records that a caller was told, at a time, that a job is cancelled or, if absent is set,
// that there is no such job. The first such response counts.
func (x *Witness) Cancelled(at time.Time, job string, absent bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.init()
	if _, known := x.cancelled[job]; !known {
		x.cancelled[job] = cancelling{at, absent}
	}
}

// jobOf returns the id of a task's job.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// checkStart checks that a job's cancelling allows a start. x.mu is held.
func (x *Witness) checkStart(now time.Time, w *Worker, r *run) {
	if x.Late {
		x.late[runID{r.task, w.id, r.number}] = now
		return
	}
	c, ok := x.cancelled[jobOf(r.task)]
	if !ok || x.CancelBounds.Start == 0 {
		return
	}
	after, at := now.Sub(c.at), now.Format("05.000")
	switch {
	case c.absent:
		x.reported[runID{r.task, w.id, r.number}] = true
		x.addFault("%s: %s run %d starts on %s %s after %s", at, r.task, r.number, w.id, after, c)
	case after > x.CancelBounds.Start && now.Sub(x.CancelBounds.InTouchSince(w.id)) >= x.CancelBounds.Contact:
		x.addFault("%s: %s run %d starts on %s %s after %s", at, r.task, r.number, w.id, after, c)
	}
}

// LateStop records that the network holds an order to stop a run that is sent now.
func (x *Witness) LateStop(now time.Time, w *Worker, task string, number uint32) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.init()
	x.late[runID{task, w.id, number}] = now
}

// CheckCancelled checks that no run of a cancelled job goes on for too long.
func (x *Witness) CheckCancelled(now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	b := x.CancelBounds
	if b.Start == 0 || len(x.cancelled) == 0 {
		return
	}
	calm := b.CalmSince()
	for task, workers := range x.running {
		c, ok := x.cancelled[jobOf(task)]
		if !ok {
			continue
		}
		for worker, number := range workers {
			id := runID{task, worker, number}
			since := c.at
			if calm.After(since) {
				since = calm
			}
			if at, late := x.late[id]; late && at.Add(b.Contact).After(since) {
				since = at.Add(b.Contact)
			}
			if now.Sub(since) <= b.Start+b.Stop || x.reported[id] {
				continue
			}
			x.reported[id] = true
			x.addFault("%s: %s run %d still runs on %s %s after %s, %s after the latest disruption",
				now.Format("05.000"), task, number, worker, now.Sub(c.at), c, now.Sub(calm))
		}
	}
}
