package tasks

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

// texts holds what the Witness knows of the payloads and checkpoints in orders. The zero value is
// empty.
type texts struct {
	// payloads holds the payload of each job, as the first order to start one of its runs named it.
	payloads map[model.ID]string
	// gangs holds the checkpoint of each run of a gang, as the first order to start a member named it.
	gangs map[gangKey]string
}

// checkTexts checks the payload and the checkpoint of an order to start a run, also if the order is
// repeated or refused. members is the number of members of the run's gang, 0 if it has none.
func (x *Witness) checkTexts(now time.Time, worker string, o port.StartOrder, members int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.texts.payloads == nil {
		x.texts.payloads, x.texts.gangs = map[model.ID]string{}, map[gangKey]string{}
	}
	job := model.JobOf(o.Task)
	if payload, known := x.texts.payloads[job]; known && payload != o.Payload {
		x.addFault("%s run %d is started with the payload %.200q, an earlier run of the job %.200q", o.Task, o.Run, o.Payload, payload)
	} else {
		x.texts.payloads[job] = o.Payload
	}
	if _, saved := x.saved[ownerOf(o.Task, members)][o.Checkpoint]; o.Checkpoint != "" && !saved {
		x.addFault("%s: %s run %d starts on %s with a checkpoint that it has not produced: %.200q",
			now.Format("05.000"), o.Task, o.Run, worker, o.Checkpoint)
	}
	if members == 0 {
		return
	}
	key := gangKey{stepOf(o.Task), o.Run}
	if checkpoint, known := x.texts.gangs[key]; known && checkpoint != o.Checkpoint {
		x.addFault("%s run %d is to resume from %.200q, another member of its gang from %.200q", o.Task, o.Run, o.Checkpoint, checkpoint)
	} else {
		x.texts.gangs[key] = o.Checkpoint
	}
}
