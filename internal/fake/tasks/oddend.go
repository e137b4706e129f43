package tasks

import (
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

// Oddity is what cannot be decoded of a run end in the worker's list.
type Oddity uint8

// The oddities. Of a run end with OddRow, nothing can be decoded.
const (
	NoOddity Oddity = iota
	OddNumber
	OddOutcome
	OddRow
)

// listEnds returns the run ends without acknowledgement as far as they can be decoded, and
// port.ErrOddEnds if that is not all of them.
func (w *Worker) listEnds() (list []msgs.RunEnd, err error) {
	for _, e := range w.ended {
		odd := w.odd[e.Number]
		if odd != NoOddity {
			err = port.ErrOddEnds
		}
		switch odd {
		case OddNumber:
			e.Number = 0
		case OddOutcome:
			e.Outcome = msgs.Unknown
		case OddRow:
			continue
		}
		list = append(list, e)
	}
	return list, err
}

// reportsDone reports whether the list shows that the run of an end was done.
func (w *Worker) reportsDone(e msgs.RunEnd) bool {
	return e.Outcome == msgs.Done && w.odd[e.Number] <= OddNumber
}
