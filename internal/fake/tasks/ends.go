package tasks

import (
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
)

// Lives returns the number of incarnations so far.
func (w *Worker) Lives() int { return w.lives }

// forget drops the run ends up to a number.
func (w *Worker) forget(number int64) {
	if w.RepeatsEnds {
		w.forgotten = slices.Concat(w.forgotten, w.ended)
	}
	w.ended = slices.DeleteFunc(w.ended, func(e msgs.RunEnd) bool { return e.Number <= number })
}

// Run is a run that is present on a worker.
type Run struct {
	Task      string
	Number    uint32
	StartedAt time.Time
}

// Runs returns the runs that are present at now, those that are being stopped included.
func (w *Worker) Runs(now time.Time) []Run {
	w.Advance(now)
	var list []Run
	for _, r := range w.runs {
		list = append(list, Run{r.task, r.number, r.startedAt})
	}
	return list
}
