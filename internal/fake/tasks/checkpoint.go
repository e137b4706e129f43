package tasks

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
)

// saves is what a run has saved of its progress.
type saves struct {
	// resumed is the progress in the checkpoint with which the run was started.
	resumed time.Duration
	// count is the number of checkpoints that the run has produced, latest the latest one.
	count  int
	latest string
}

// progress returns how much of its run time a run has behind it, including what its checkpoint
// spared it.
func (x *Witness) progress(now time.Time, r *run) time.Duration {
	return r.saves.resumed + x.worked(now, r)
}

// workDone reports whether a run has its run time behind it. A member of a gang has it only once
// the gang is complete, however far its checkpoint was.
func (x *Witness) workDone(now time.Time, r *run) bool {
	complete := r.plan.Members == 0 || x.worked(now, r) > 0
	return r.plan.Work > 0 && complete && x.progress(now, r) >= r.plan.Work
}

// owner returns whose checkpoints a run may be started with: its gang or its task.
func owner(r *run) string { return ownerOf(r.task, r.plan.Members) }

// ownerOf returns whose checkpoints a run of a task may be started with. members is the number of
// members of its gang, 0 if it has none.
func ownerOf(task string, members int) string {
	if members > 0 {
		return stepOf(task)
	}
	return task
}

// advanceSaves produces the checkpoint that is due, if there is one. Those of earlier intervals
// that nobody could have seen are left out.
func (w *Worker) advanceSaves(now time.Time, r *run) {
	if r.plan.SaveInterval == 0 {
		return
	}
	worked := w.witness.worked(now, r)
	if due := int(worked / r.plan.SaveInterval); due > r.saves.count {
		w.save(now, r, due)
	}
}

// save produces the checkpoint with the given number of a run.
func (w *Worker) save(now time.Time, r *run, number int) {
	r.saves.count = number
	r.saves.latest = r.plan.Checkpoint(number)
	w.witness.noteSaved(r, r.saves.latest, w.witness.progress(now, r))
}

// saveAtEnd returns the checkpoint that a run's end lists. A run that is stopped produces one
// more.
func (w *Worker) saveAtEnd(now time.Time, r *run, o msgs.Outcome) string {
	switch {
	case o == msgs.Done:
		return ""
	case o == msgs.Stopped && r.plan.SaveInterval > 0:
		w.save(now, r, r.saves.count+1)
	}
	return r.saves.latest
}

// noteSaved records a checkpoint and the progress in it.
func (x *Witness) noteSaved(r *run, checkpoint string, progress time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.saved == nil {
		x.saved = map[string]map[string]time.Duration{}
	}
	if x.saved[owner(r)] == nil {
		x.saved[owner(r)] = map[string]time.Duration{}
	}
	x.saved[owner(r)][checkpoint] = progress
}

// resume sets the progress of a run that starts with a checkpoint. x.mu is held.
func (x *Witness) resume(r *run, checkpoint string) {
	if checkpoint == "" {
		return
	}
	r.saves.resumed = x.saved[owner(r)][checkpoint]
	x.resumed++
}

// Resumed returns the number of runs that were started with a checkpoint.
func (x *Witness) Resumed() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.resumed
}
