package tasks

import (
	"fmt"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

// checkpointInterval is the work after which a run saves another checkpoint.
const checkpointInterval = 200 * time.Millisecond

// oddText is part of each checkpoint, to show whether all text is carried unchanged.
const oddText = "\x00\"\\<é\u2028\ufffd\U0001f600"

// save returns the latest checkpoint of a run: the one that it resumed from until it has saved one.
func (w *Worker) save(now time.Time, r *run) string {
	worked := w.witness.worked(now, r)
	if worked < checkpointInterval {
		return r.checkpoint
	}
	return w.witness.saved(r, fmt.Sprintf("%s run %d interval %d %s", r.task, r.number, worked/checkpointInterval, oddText))
}

// saveAtEnd returns the checkpoint that the end of a run names: a stop saves another one.
func (w *Worker) saveAtEnd(now time.Time, r *run, o msgs.Outcome) string {
	if o != msgs.Stopped {
		return w.save(now, r)
	}
	return w.witness.saved(r, fmt.Sprintf("%s run %d stop %s", r.task, r.number, oddText))
}

// texts holds what the Witness knows of payloads and checkpoints. The zero value is empty.
type texts struct {
	// payloads holds the payload of each job, as the first order to start one of its runs named it.
	payloads map[model.ID]string
	// savedBy holds the task that saved each checkpoint.
	savedBy map[string]string
	// gangs holds the checkpoint of each run of a gang, as the first order to start a member named it.
	gangs map[gangKey]string
}

// saved records a checkpoint of a run and returns it.
func (x *Witness) saved(r *run, checkpoint string) string {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.texts.savedBy == nil {
		x.texts.savedBy = map[string]string{}
	}
	x.texts.savedBy[checkpoint] = r.task
	return checkpoint
}

// told checks the payload and the checkpoint of an order to start a run, also if the order is
// repeated or refused. members is the number of members of the run's gang, 0 if it has none.
func (x *Witness) told(o port.StartOrder, members int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.texts.payloads == nil {
		x.texts.payloads, x.texts.gangs = map[model.ID]string{}, map[gangKey]string{}
	}
	job := model.JobOf(o.Task)
	if payload, known := x.texts.payloads[job]; known && payload != o.Payload {
		x.addFault("%s run %d is told the payload %q, an earlier run of the job %q", o.Task, o.Run, o.Payload, payload)
	} else {
		x.texts.payloads[job] = o.Payload
	}
	saver := x.texts.savedBy[o.Checkpoint]
	if o.Checkpoint != "" && saver != o.Task && (members == 0 || saver == "" || stepOf(saver) != stepOf(o.Task)) {
		x.addFault("%s run %d is told to resume from %q, which is not the task's", o.Task, o.Run, o.Checkpoint)
	}
	if members == 0 {
		return
	}
	key := gangKey{stepOf(o.Task), o.Run}
	if checkpoint, known := x.texts.gangs[key]; known && checkpoint != o.Checkpoint {
		x.addFault("%s run %d is told to resume from %q, another member of its gang from %q", o.Task, o.Run, o.Checkpoint, checkpoint)
	} else {
		x.texts.gangs[key] = o.Checkpoint
	}
}
