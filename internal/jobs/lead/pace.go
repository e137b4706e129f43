package lead

import (
	"cmp"
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
)

const (
	// fullPace is the pace of runs that nothing slows, in percent.
	fullPace = 100
	// coresPerService is how much batch work, in cores, weighs as much as one lasting
	// task's being within its target.
	coresPerService = 12.0
	// overFor is how long a lasting task may be over its target on end before its
	// fillers yield whatever they weigh.
	overFor = time.Second
	// haltFor is how long it may be over before they stand still.
	haltFor = 1300 * time.Millisecond
	// deepOver is how many times its target a task may be over for haltFor; beyond it
	// fillers stand still after haltSoon, since what has queued up takes a second to
	// drain.
	deepOver = 2.0
	haltSoon = 500 * time.Millisecond
	// haltAll is how long it may be over before fillers that hardly disturb it stand
	// still as well.
	haltAll = 2200 * time.Millisecond
	// nearTarget is the part of the target from which a task counts as over, wellBelow
	// that below which it no longer does: what is measured is rough.
	nearTarget, wellBelow = 0.8, 0.65
	// leastPace is the pace below which a filler stands still, in percent.
	leastPace = 4
	// paceChange is the least change that is worth a call, in percent.
	paceChange = 5
	// fasterStep bounds how much faster a filler becomes at a time, in percent.
	fasterStep = 30
)

// press is a filler's part in the utilization of a lasting task: now, and at full
// pace.
type press struct {
	it        *run
	now, full float64
}

// demand is what a lasting task needs of the fillers beside it.
type demand struct {
	presses []press
	// budget is what the fillers may add to its utilization.
	budget float64
	// over is set if full pace would take the task over its target, must if it has been
	// over for long, halt if for too long, all if even fillers that hardly disturb it
	// have to stand still.
	over, must, halt, all bool
}

// paces sets the pace of a VM's fillers by what was measured, and returns the orders
// that this takes, nil if none. It answers noisy neighbours that come in waves: each
// filler may press equally much, so light ones go on while heavy ones are slowed. Much
// batch work is not slowed for few lasting tasks unless these are over their targets
// for long.
func (l *Leader) paces(now time.Time, v *vm, rows []msgs.RunStatus) *msgs.Message {
	cores := map[runKey]float64{}
	for _, row := range rows {
		cores[runKey{row.Task, row.Run}] = coresOf(row)
	}
	var demands []demand
	over := 0
	for _, row := range rows {
		it := v.runs[runKey{row.Task, row.Run}]
		if it == nil || it.step.LatencyTarget <= 0 || row.Measurement <= 0 {
			continue
		}
		d := l.harm.demand(now, v, it, float64(row.Measurement), cores)
		if d.over {
			over++
		}
		demands = append(demands, d)
	}
	yield := v.fillerCores(cores) <= coresPerService*float64(over)
	aims := map[*run]int{}
	for _, d := range demands {
		if d.halt {
			d.budget = 0
		}
		if d.must || d.halt || (d.over && yield) {
			share(d, aims)
		}
	}
	return l.paceOrders(now, v, aims)
}

// strained reports whether a lasting task has been over its target for so long that no
// further filler may come.
func (v *vm) strained(now time.Time) bool {
	for _, it := range v.runs {
		if !it.overSince.IsZero() && now.Sub(it.overSince) > overFor {
			return true
		}
	}
	return false
}

// demand returns what a lasting task with a tail latency, in milliseconds, needs.
func (h *harm) demand(now time.Time, v *vm, it *run, tail float64, cores map[runKey]float64) demand {
	target := float64(it.step.LatencyTarget.Milliseconds())
	switch {
	case tail < wellBelow*target:
		it.overSince = time.Time{}
	case tail >= nearTarget*target && it.overSince.IsZero():
		it.overSince = now
	}
	d := demand{presses: h.presses(v, it, cores)}
	own, full := h.used(it.step, tail), 0.0
	for _, p := range d.presses {
		own -= p.now
		full += p.full
	}
	d.budget = h.aim(it.step) - max(0, own)
	d.over = full > d.budget
	if !it.overSince.IsZero() {
		over := now.Sub(it.overSince)
		d.must = over > overFor
		d.halt = over > haltFor || (over > haltSoon && tail > deepOver*target)
		d.all = over > haltAll
	}
	return d
}

// fillerCores returns the processors that a VM's fillers would use at full pace.
func (v *vm) fillerCores(cores map[runKey]float64) float64 {
	sum := 0.0
	for key, it := range v.runs {
		if it.step.BestEffort && !it.stopped {
			sum += it.fullCores(cores[key])
		}
	}
	return sum
}

// fullCores returns the processors that a filler would use at full pace, by what it
// uses at its present one.
func (it *run) fullCores(cores float64) float64 {
	full := float64(it.step.Size.CPU) / 1000
	if it.percent > leastPace && cores > 0 {
		full = min(full, cores*fullPace/float64(it.percent))
	}
	return full
}

// paceOrders sets the fillers' paces to the aims; those without one go at full pace.
func (l *Leader) paceOrders(now time.Time, v *vm, aims map[*run]int) *msgs.Message {
	var list []msgs.Throttle
	for key, it := range v.runs {
		aim, slowed := aims[it]
		if !it.step.BestEffort || it.stopped {
			continue
		}
		if !slowed {
			aim = fullPace
		}
		aim = min(aim, it.percent+fasterStep)
		if d := aim - it.percent; d == 0 || (max(d, -d) < paceChange && aim != fullPace && aim != 0) {
			continue
		}
		it.percent = aim
		list = append(list, msgs.Throttle{Task: key.task, Run: key.number, Percent: aim})
	}
	if len(list) == 0 {
		return nil
	}
	slices.SortFunc(list, func(a, b msgs.Throttle) int { return cmp.Compare(a.Task, b.Task) })
	for _, pace := range list {
		l.log.Info("run paced", "req", model.JobOf(pace.Task), "task", pace.Task, "run", pace.Run, "vm", v.info.ID,
			"pace", pace.Percent, "heard", now.Sub(v.heardAt), "epoch", l.epoch)
	}
	return &msgs.Message{Orders: &msgs.Orders{Epoch: l.epoch, VM: v.info.ID, Incarnation: v.info.Incarnation, Throttles: list}}
}

// presses returns the parts of a VM's fillers in the utilization of a lasting task.
func (h *harm) presses(v *vm, lasting *run, cores map[runKey]float64) []press {
	var list []press
	for key, it := range v.runs {
		if !it.step.BestEffort || it.stopped {
			continue
		}
		weight := h.part(lasting.step.Image, it.step.Image) / v.cores()
		list = append(list, press{it, weight * cores[key], weight * it.fullCores(cores[key])})
	}
	slices.SortFunc(list, func(a, b press) int {
		if c := cmp.Compare(a.full, b.full); c != 0 {
			return c
		}
		return cmp.Compare(a.it.ref.String(), b.it.ref.String())
	})
	return list
}

// share divides a demand's budget among its fillers, least pressing first, and lowers
// their aims accordingly. Fillers that hardly press are left alone as long as that may
// help.
func share(d demand, aims map[*run]int) {
	budget := d.budget
	for i, p := range d.presses {
		if p.full < negligible && !d.all {
			budget -= p.full
			continue
		}
		part := max(0, budget) / float64(len(d.presses)-i)
		aim := fullPace
		if p.full > part {
			aim = int(fullPace * part / p.full)
		}
		if aim < leastPace {
			aim = 0
		}
		budget -= min(p.full, part)
		if before, ok := aims[p.it]; !ok || aim < before {
			aims[p.it] = aim
		}
	}
}

// firstPace returns the pace at which a filler that a VM has been given begins, by
// what is expected of it.
func (h *harm) firstPace(now time.Time, v *vm, filler *run) int {
	if v.strained(now) {
		return 0
	}
	aims := map[*run]int{}
	over := 0
	for _, it := range v.runs {
		if !it.step.LongRunning || it.step.LatencyTarget <= 0 {
			continue
		}
		presses, full := h.presses(v, it, nil), 0.0
		for _, p := range presses {
			full += p.full
		}
		budget := h.aim(it.step) - h.own(it)
		if full > budget {
			over++
			share(demand{presses: presses, budget: budget}, aims)
		}
	}
	if v.fillerCores(nil) > coresPerService*float64(over) {
		return fullPace
	}
	if aim, ok := aims[filler]; ok {
		return max(aim, leastPace)
	}
	return fullPace
}

// pace returns the pace that a further filler would have on a VM.
func (h *harm) pace(now time.Time, v *vm, filler *model.Step) int {
	further := &run{step: filler, percent: fullPace}
	key := runKey{}
	v.runs[key] = further
	defer delete(v.runs, key)
	return h.firstPace(now, v, further)
}
