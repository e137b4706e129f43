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
	// moveEvery spaces the searches for runs that would be done sooner elsewhere.
	moveEvery = 250 * time.Millisecond
	// maxMoves bounds the runs that one search moves.
	maxMoves = 6
	// moveCost is what a move takes beside the run itself: the stop, the order and the
	// restoring.
	moveCost = 900 * time.Millisecond
	// moveGain is how many times as long a run must take where it is.
	moveGain = 1.6
	// watchFor is how long a run is watched before its speed is believed.
	watchFor = 700 * time.Millisecond
	// standing is how long a run that stands still is assumed to take.
	standing = time.Minute
	// startup is how long a run may take to show progress, beside what it restores.
	startup = 1200 * time.Millisecond
)

// progress is how far a run is, as its worker reports it.
type progress struct {
	// first is the part that was done at firstAt, last that at lastAt, in percent.
	first, last     int
	firstAt, lastAt time.Time
	// pace is the mean pace in between, in percent.
	pace float64
}

// advance takes a report on how far the run is.
func (p *progress) advance(now time.Time, percent, pace int) {
	if p.firstAt.IsZero() || percent < p.last {
		*p = progress{first: percent, last: percent, firstAt: now, lastAt: now, pace: float64(pace)}
		return
	}
	if span := now.Sub(p.firstAt).Seconds(); span > 0 {
		p.pace += (float64(pace) - p.pace) * now.Sub(p.lastAt).Seconds() / span
	}
	p.last, p.lastAt = percent, now
	if now.Sub(p.firstAt) > 2*watchFor {
		// What lies further back says little about now.
		p.first += (p.last - p.first) / 2
		p.firstAt = p.firstAt.Add(now.Sub(p.firstAt) / 2)
	}
}

// left returns how long the run still takes where it is, and how long a whole run
// takes at full pace by the same measure; false if it was not watched long enough.
func (p *progress) left(began, now time.Time) (left, whole time.Duration, known bool) {
	span := p.lastAt.Sub(p.firstAt)
	if span < watchFor {
		return 0, 0, false
	}
	done := p.last - p.first
	if done <= 0 {
		return standing, standing, now.Sub(began) > startup
	}
	per := span / time.Duration(done)
	return per * time.Duration(100-p.last), time.Duration(float64(per) * p.pace), true
}

// advance notes how far a VM's runs are.
func (l *Leader) advance(now time.Time, v *vm, rows []msgs.RunStatus) {
	for _, row := range rows {
		if it := v.runs[runKey{row.Task, row.Run}]; it != nil && !it.step.LongRunning {
			it.progress.advance(now, row.Percent, it.percent)
		}
	}
}

// candidate is a run that would be done sooner elsewhere.
type candidate struct {
	v    *vm
	key  runKey
	it   *run
	gain time.Duration
}

// move stops runs that would be done sooner on other VMs: on VMs that turned slow or
// let tasks stand still, and fillers that lasting tasks slow down. Tasks that may run in
// copies get a copy instead.
func (p *pass) move() {
	if p.now.Sub(p.l.movedAt) < moveEvery {
		return
	}
	p.l.movedAt = p.now
	var list []candidate
	for _, v := range p.vms {
		for key, it := range v.runs {
			if gain := p.l.gain(p.now, it); gain > 0 {
				list = append(list, candidate{v, key, it, gain})
			}
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		if c := cmp.Compare(b.gain, a.gain); c != 0 {
			return c
		}
		return cmp.Compare(a.key.task, b.key.task)
	})
	for _, c := range list[:min(len(list), maxMoves)] {
		to := p.better(c)
		if to == nil {
			continue
		}
		c.v.health.slowed(p.now, c.it)
		if c.it.step.Speculative {
			p.copyTo(c, to)
			continue
		}
		p.l.stats.Moved++
		p.l.stopRun(p.now, c.v.info.ID, c.key, "would be done sooner on "+to.info.ID)
	}
}

// copyTo starts a second run of a task that may run in copies; the first to finish
// counts, and the other is stopped.
func (p *pass) copyTo(c candidate, to *vm) {
	p.l.stats.Copied++
	p.l.log.Info("task is copied", "req", c.it.ref.Job, "task", c.key.task, "run", c.key.number, "vm", c.v.info.ID,
		"to", to.info.ID, "gain", c.gain, "epoch", p.l.epoch)
	p.start(c.it.entry, c.it.entry.Stage(c.it.ref), c.it.ref.Index, to, 0)
}

// gain returns how much sooner a run would be done on a VM that does not slow it.
func (l *Leader) gain(now time.Time, it *run) time.Duration {
	if it.stopped || it.step.LongRunning || it.step.Gang || it.entry.State.Ended() {
		return 0
	}
	if len(it.entry.Task(it.ref).Runs) > 1 {
		return 0 // it has a copy
	}
	left, whole, known := it.progress.left(it.since, now)
	if !known {
		return 0
	}
	if mean, ok := l.learn.whole(it.entry, it.ref.Step); ok {
		whole = min(whole, mean)
	}
	whole = min(whole, max(2*it.step.Estimate, leastRun))
	if it.step.Checkpoints {
		whole = whole * time.Duration(100-it.progress.last) / 100
	}
	elsewhere := whole + moveCost
	if float64(left) < moveGain*float64(elsewhere) {
		return 0
	}
	return left - elsewhere
}

// better returns a VM on which a run would not be slowed, nil if there is none.
func (p *pass) better(c candidate) *vm {
	t := &plan.Task{Key: stageKey(c.it.ref), Step: c.it.step, Service: p.serviceOf(c.it.entry), Avoid: []string{c.v.info.ID}}
	i := p.choose(t)
	if i < 0 || p.vms[i] == c.v {
		return nil
	}
	to := p.vms[i]
	if c.it.step.BestEffort && p.l.harm.pace(p.now, to, c.it.step) < minMovePace {
		return nil
	}
	return to
}

// minMovePace is the pace that a VM must promise a filler that moves there.
const minMovePace = 60

// sortedVMs returns the VMs by id.
func (l *Leader) sortedVMs() []*vm {
	return slices.SortedFunc(maps.Values(l.vms), func(a, b *vm) int { return cmp.Compare(a.info.ID, b.info.ID) })
}
