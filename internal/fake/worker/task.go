package worker

import (
	"strconv"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// task is an attempt on the VM.
type task struct {
	assignment *schema.Assignment
	// done is the work done up to updatedAt.
	done      time.Duration
	updatedAt time.Time
	// sharePercent is the limit of the processor share.
	sharePercent uint32
	// leaseUntil is zero for an attempt without a lease.
	leaseUntil time.Time
	ended      bool
	failed     bool
}

// used returns the sum of the sizes of the attempts that have not ended.
func (w *Worker) used() *schema.Size {
	sum := &schema.Size{}
	for _, t := range w.tasks {
		if t.ended {
			continue
		}
		sum.CpuMilli += t.assignment.GetSize().GetCpuMilli()
		sum.MemoryMb += t.assignment.GetSize().GetMemoryMb()
		sum.Accelerators += t.assignment.GetSize().GetAccelerators()
	}
	return sum
}

// advance updates the batch attempts to the present: it adds the work done since the last
// update, and ends those that have finished or whose lease has expired.
func (w *Worker) advance() {
	now := w.cfg.Now()
	for id, t := range w.tasks {
		if t.ended || t.assignment.GetService() {
			continue
		}
		until := now
		expired := !t.leaseUntil.IsZero() && !now.Before(t.leaseUntil)
		if expired {
			until = t.leaseUntil
		}
		if until.After(t.updatedAt) {
			t.done += until.Sub(t.updatedAt) * time.Duration(t.sharePercent) / 100
			t.updatedAt = until
		}
		work := time.Duration(t.assignment.GetWorkMs()) * time.Millisecond
		switch {
		case t.done >= work:
			t.ended = true
			end := until.Add(-(t.done - work))
			w.cfg.Witness.ended(w.cfg.VM, id, end, Finished)
		case expired:
			w.cfg.Witness.ended(w.cfg.VM, id, t.leaseUntil, LeaseExpired)
			delete(w.tasks, id)
			w.stopped[id] = true
		}
	}
}

// encodeCheckpoint returns the checkpoint of an attempt: the work done, in milliseconds.
func encodeCheckpoint(done time.Duration) []byte {
	return strconv.AppendInt(nil, done.Milliseconds(), 10)
}

func decodeCheckpoint(token []byte) time.Duration {
	ms, _ := strconv.ParseInt(string(token), 10, 64)
	return time.Duration(ms) * time.Millisecond
}
