package tasks

import (
	"slices"

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
