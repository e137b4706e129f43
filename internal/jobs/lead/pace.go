package lead

import (
	"cmp"
	"slices"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
)

const (
	// fullPace is the pace of runs that nothing slows, in percent.
	fullPace = 100
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

// paces sets the pace of a VM's fillers by what was measured, and returns the orders
// that this takes, nil if none. It answers noisy neighbours that come in waves: each
// filler may press equally much, so light ones go on while heavy ones are slowed.
func (l *Leader) paces(v *vm, rows []msgs.Row) *msgs.Message {
	cores := map[runKey]float64{}
	for _, row := range rows {
		cores[runKey{row.Task, row.Run}] = coresOf(row)
	}
	aims := map[*run]int{}
	for _, row := range rows {
		it := v.runs[runKey{row.Task, row.Run}]
		if it == nil || it.step.Target <= 0 || row.Measure <= 0 {
			continue
		}
		presses := l.harm.presses(v, it, cores)
		own := l.harm.used(it.step, float64(row.Measure))
		for _, p := range presses {
			own -= p.now
		}
		share(presses, l.harm.aim(it.step)-max(0, own), aims)
	}
	var list []msgs.Pace
	for key, it := range v.runs {
		aim, slowed := aims[it]
		if !it.step.Filler || it.stopped {
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
		list = append(list, msgs.Pace{Task: key.task, Run: key.number, Percent: aim})
	}
	if len(list) == 0 {
		return nil
	}
	slices.SortFunc(list, func(a, b msgs.Pace) int { return cmp.Compare(a.Task, b.Task) })
	return &msgs.Message{Orders: &msgs.Orders{Epoch: l.epoch, VM: v.info.ID, Life: v.info.Life, Paces: list}}
}

// presses returns the parts of a VM's fillers in the utilization of a lasting task.
func (h *harm) presses(v *vm, lasting *run, cores map[runKey]float64) []press {
	var list []press
	for key, it := range v.runs {
		if !it.step.Filler || it.stopped {
			continue
		}
		weight := h.part(lasting.step.Image, it.step.Image)
		full := float64(it.step.Size.CPU) / 1000
		if c := cores[key]; it.percent > leastPace && c > 0 {
			full = min(full, c*fullPace/float64(it.percent))
		}
		list = append(list, press{it, weight * cores[key], weight * full})
	}
	slices.SortFunc(list, func(a, b press) int {
		if c := cmp.Compare(a.full, b.full); c != 0 {
			return c
		}
		return cmp.Compare(a.it.ref.String(), b.it.ref.String())
	})
	return list
}

// share divides a budget among fillers, least pressing first, and lowers their aims
// accordingly.
func share(presses []press, budget float64, aims map[*run]int) {
	for i, p := range presses {
		part := max(0, budget) / float64(len(presses)-i)
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
func (h *harm) firstPace(v *vm, filler *run) int {
	aims := map[*run]int{}
	for _, it := range v.runs {
		if it.step.Lasting && it.step.Target > 0 {
			share(h.presses(v, it, nil), h.aim(it.step)-it.own(), aims)
		}
	}
	if aim, ok := aims[filler]; ok {
		return max(aim, leastPace)
	}
	return fullPace
}

// pace returns the pace that a further filler would have on a VM.
func (h *harm) pace(v *vm, filler *model.Step) int {
	further := &run{step: filler, percent: fullPace}
	key := runKey{}
	v.runs[key] = further
	defer delete(v.runs, key)
	return h.firstPace(v, further)
}
