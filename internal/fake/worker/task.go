package worker

import (
	"strconv"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

type task struct {
	assignment *schema.Assignment
	// done is the work done up to at.
	done       time.Duration
	at         time.Time
	share      uint32
	leaseUntil time.Time
	ended      bool
	failed     bool
}

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

// advance brings the tasks up to now: work goes on, leases end.
func (w *Worker) advance() {
	now := w.cfg.Now()
	for id, t := range w.tasks {
		if t.ended || t.assignment.GetService() {
			continue
		}
		until := now
		lapsed := !t.leaseUntil.IsZero() && !now.Before(t.leaseUntil)
		if lapsed {
			until = t.leaseUntil
		}
		if until.After(t.at) {
			t.done += until.Sub(t.at) * time.Duration(t.share) / 100
			t.at = until
		}
		work := time.Duration(t.assignment.GetWorkMs()) * time.Millisecond
		switch {
		case t.done >= work:
			t.ended = true
			end := until.Add(-(t.done - work))
			w.cfg.Witness.ended(w.cfg.VM, id, end, Finished)
		case lapsed:
			w.cfg.Witness.ended(w.cfg.VM, id, t.leaseUntil, LeaseExpired)
			delete(w.tasks, id)
			w.stopped[id] = true
		}
	}
}

func encodeCheckpoint(done time.Duration) []byte {
	return strconv.AppendInt(nil, done.Milliseconds(), 10)
}

func decodeCheckpoint(token []byte) time.Duration {
	ms, _ := strconv.ParseInt(string(token), 10, 64)
	return time.Duration(ms) * time.Millisecond
}
