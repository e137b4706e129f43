package lead

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/jobs/plan"
)

const (
	// moveInterval is the time between searches for runs that would end sooner on another
	// VM.
	moveInterval = 250 * time.Millisecond
	// minMoves is the number of runs for which one search may choose another VM in a small
	// fleet; a large one may move one run for each vmsPerMove VMs. The runs of jobs that can be
	// on time come first, and those that gain most.
	minMoves, vmsPerMove = 6, 5
	// moveCost is the time that a move takes in addition to the run itself: the stop, the
	// order to start and the restore of the checkpoint.
	moveCost = 900 * time.Millisecond
	// minMoveFactor is the ratio of the remaining time in place to the time after a move
	// from which a run is moved.
	minMoveFactor = 1.6
	// minProgressSpan is how long a run must be observed before its speed is used.
	minProgressSpan = 700 * time.Millisecond
	// stalledRunTime is the assumed remaining time of a run without progress.
	stalledRunTime = time.Minute
	// startupTime is how long after its start a run may show no progress beyond its
	// checkpoint without counting as stalled.
	startupTime = 1200 * time.Millisecond
)

// progress is the progress of a run as reported by its worker.
type progress struct {
	// first is the progress at firstAt, last the one at lastAt, in percent.
	first, last     int
	firstAt, lastAt time.Time
	// speed is the mean speed limit between firstAt and lastAt, in percent.
	speed float64
}

// updateProgress adds a report of a run's progress and its speed limit, both in percent.
func (p *progress) updateProgress(now time.Time, percent, speed int) {
	if p.firstAt.IsZero() || percent < p.last {
		*p = progress{first: percent, last: percent, firstAt: now, lastAt: now, speed: float64(speed)}
		return
	}
	if span := now.Sub(p.firstAt).Seconds(); span > 0 {
		p.speed += (float64(speed) - p.speed) * now.Sub(p.lastAt).Seconds() / span
	}
	p.last, p.lastAt = percent, now
	if now.Sub(p.firstAt) > 2*minProgressSpan {
		// Older progress says little about the present speed, so the window is halved.
		p.first += (p.last - p.first) / 2
		p.firstAt = p.firstAt.Add(now.Sub(p.firstAt) / 2)
	}
}

// remaining returns the remaining time of the run on its present VM, and the time that a
// whole run would take at full speed according to the same measurements. It returns false
// if the run was not observed for long enough.
func (p *progress) remaining(started, now time.Time) (remaining, runTime time.Duration, known bool) {
	span := p.lastAt.Sub(p.firstAt)
	if span < minProgressSpan {
		return 0, 0, false
	}
	done := p.last - p.first
	if done <= 0 {
		return stalledRunTime, stalledRunTime, now.Sub(started) > startupTime
	}
	perPercent := span / time.Duration(done)
	// A whole run at full speed takes 100*perPercent * speed/100.
	return perPercent * time.Duration(100-p.last), time.Duration(float64(perPercent) * p.speed), true
}

// updateProgress updates the progress of a VM's runs.
func (l *Leader) updateProgress(now time.Time, v *vm, statuses []msgs.RunStatus) {
	for _, status := range statuses {
		if r := v.runs[runKey{status.Task, status.Run}]; r != nil && !r.step.LongRunning {
			r.progress.updateProgress(now, status.Percent, r.speedLimit)
		}
	}
}

// moveCandidate is a run that would end sooner on another VM; gain is how much sooner.
type moveCandidate struct {
	v    *vm
	key  runKey
	r    *run
	gain time.Duration
}

// moveRuns stops runs that would end sooner on another VM, so that they are placed again:
// runs on VMs that became slow or make no progress, and best-effort runs that are throttled
// in favour of long-running ones. Speculative tasks get a copy on the other VM instead.
func (p *pass) moveRuns() {
	if p.now.Sub(p.l.lastMoveSearch) < moveInterval {
		return
	}
	p.l.lastMoveSearch = p.now
	var list []moveCandidate
	for _, v := range p.vms {
		for key, r := range v.runs {
			if gain := p.l.gain(p.now, r); gain > 0 {
				list = append(list, moveCandidate{v, key, r, gain})
			}
		}
	}
	slices.SortFunc(list, func(a, b moveCandidate) int {
		if c := compareLate(p.l.plannedLate(a.r), p.l.plannedLate(b.r)); c != 0 {
			return c
		}
		if c := cmp.Compare(b.gain, a.gain); c != 0 {
			return c
		}
		return cmp.Compare(a.key.task, b.key.task)
	})
	limit := max(minMoves, len(p.vms)/vmsPerMove)
	// Runs without a destination must not use up the moves of the others.
	type place struct {
		stage plan.StageKey
		vm    string
	}
	stuck := map[place]bool{}
	for _, c := range list {
		at := place{stageKey(c.r.ref), c.v.info.ID}
		if limit == 0 {
			break
		}
		if stuck[at] {
			continue
		}
		to := p.destination(c)
		if to == nil {
			stuck[at] = true
			continue
		}
		limit--
		c.v.health.noteSlow(p.now, c.r)
		if c.r.step.Speculative {
			p.startSpeculativeCopy(c, to)
			continue
		}
		p.l.stats.Moved++
		p.l.stopRun(p.now, c.v.info.ID, c.key, "would end sooner on "+to.info.ID)
	}
}

// startSpeculativeCopy starts a second run of a task. The first run to finish counts, and
// the other is stopped.
func (p *pass) startSpeculativeCopy(c moveCandidate, to *vm) {
	p.l.stats.Copied++
	p.l.log.Info("task is copied", "req", c.r.ref.Job, "task", c.key.task, "run", c.key.number, "vm", c.v.info.ID,
		"to", to.info.ID, "gain", c.gain, "epoch", p.l.epoch)
	p.assign(c.r.entry, c.r.entry.Stage(c.r.ref), c.r.ref.Index, to, 0)
}

// gain returns how much sooner a run would end on a VM that does not slow it down, or 0 if
// a move is not worthwhile.
func (l *Leader) gain(now time.Time, r *run) time.Duration {
	if r.stopped || r.step.LongRunning || r.step.Gang || r.entry.State.Ended() {
		return 0
	}
	if len(r.entry.Task(r.ref).Runs) > 1 {
		return 0 // the task has a speculative copy
	}
	if r.step.Speculative && r.entry.Suspect(r.ref, 0) {
		return 0 // a copy would start outside of quarantine
	}
	remaining, runTime, known := r.progress.remaining(r.since, now)
	if !known {
		return 0
	}
	if mean, ok := l.durations.runTime(r.entry, r.ref.Step); ok {
		runTime = min(runTime, mean)
	}
	runTime = min(runTime, max(2*r.step.Estimate, minRunTime))
	if r.step.Checkpoints {
		runTime = runTime * time.Duration(100-r.progress.last) / 100
	}
	timeAfterMove := runTime + moveCost
	if float64(remaining) < minMoveFactor*float64(timeAfterMove) {
		return 0
	}
	return remaining - timeAfterMove
}

// destination returns the VM to move a run to, or nil if there is none on which it would
// not be throttled much.
func (p *pass) destination(c moveCandidate) *vm {
	t := &plan.Task{Key: stageKey(c.r.ref), Step: c.r.step, Service: p.serviceOf(c.r.entry), Avoid: []string{c.v.info.ID}}
	copies := c.r.step.Speculative && p.l.needsAdvice(c.r.entry)
	if copies { // a copy starts at once, any other run once its task has a ticket again
		t.NeedsTicket, t.Tickets = true, p.l.tickets(p.now, t.Key)
	}
	i := p.chooseVM(t)
	if copies && (i < 0 || p.vms[i] == c.v) {
		p.wantAdvice(t, c.r.entry, c.r.entry.Stage(c.r.ref))
	}
	if i < 0 || p.vms[i] == c.v {
		return nil
	}
	to := p.vms[i]
	if c.r.step.BestEffort && p.l.expectedSpeed(p.now, to, c.r.step) < minMoveSpeed {
		return nil
	}
	return to
}

// minMoveSpeed is the lowest speed limit, in percent, that a best-effort run may expect on
// the VM that it is moved to.
const minMoveSpeed = 60

// sortedVMs returns all VMs sorted by id.
func (l *Leader) sortedVMs() []*vm {
	return slices.SortedFunc(maps.Values(l.vms), func(a, b *vm) int { return cmp.Compare(a.info.ID, b.info.ID) })
}
