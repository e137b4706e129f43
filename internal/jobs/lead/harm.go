package lead

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/sched/learn"
)

const (
	// coresUnit is the work of fillers that the model counts as one, in thousandths of
	// a processor.
	coresUnit = 5000
	// firstRest is the utilization assumed of a lasting task without fillers.
	firstRest = 0.45
	// restRate is the weight of a new measurement of that.
	restRate = 0.01
	// leastShare is the tail latency of an idle task as a part of the least that was
	// measured, firstLeast that least as a part of the target before it was.
	leastShare, firstLeast = 0.75, 0.25
	// settled is the age from which a lasting task's latency is believed.
	settled = 2 * time.Second
	// tolerated is the utilization up to which fillers count little: beyond it a swing
	// of the task's own load may take it over its target.
	tolerated = 0.66
	// overCost weighs what is beyond.
	overCost = 8.0
	// harmCost weighs the disturbance of lasting tasks against even use of VMs.
	harmCost = 4.0
)

// harm learns how much fillers of each image disturb lasting tasks of each image.
// Tail latency grows without bound as a task nears what its VM gives it, so what is
// learned is utilization, to which each neighbour adds its part. Its zero value
// assumes the same of all.
type harm struct {
	pairs learn.Model
	// least is the least tail latency measured of an image, rest its mean utilization
	// without fillers.
	least map[string]float64
	rest  map[string]float64
}

// observe takes the measurements of a VM.
func (h *harm) observe(now time.Time, v *vm, rows []msgs.Row) {
	var loads []learn.Load
	for _, row := range rows {
		if it := v.runs[runKey{row.Task, row.Run}]; it != nil && it.step.Filler && row.Measure > 0 {
			loads = append(loads, learn.Load{Kind: it.step.Image, Share: float64(row.Measure) / coresUnit})
		}
	}
	for _, row := range rows {
		it := v.runs[runKey{row.Task, row.Run}]
		if it == nil || it.step.Target <= 0 || row.Measure <= 0 || now.Sub(it.since) < settled {
			continue
		}
		h.measure(now, it.step, float64(row.Measure), loads)
	}
}

func (h *harm) measure(now time.Time, s *model.Step, tail float64, loads []learn.Load) {
	if h.least == nil {
		h.least, h.rest = map[string]float64{}, map[string]float64{}
	}
	least, ok := h.least[s.Image]
	if !ok {
		least, h.rest[s.Image] = firstLeast*float64(s.Target.Milliseconds()), firstRest
	}
	least = min(least, tail)
	h.least[s.Image] = least
	used := 1 - leastShare*least/tail
	if len(loads) > 0 {
		h.pairs.Measure(now, s.Image, loads, max(0, used-h.rest[s.Image]))
	}
	rest := used
	for _, l := range loads {
		rest -= h.pairs.Slowdown(s.Image, l.Kind) * l.Share
	}
	h.rest[s.Image] += (max(0, rest) - h.rest[s.Image]) * restRate
}

// press returns how much a filler of a step adds to the utilization of a lasting
// task.
func (h *harm) press(lasting, filler *model.Step) float64 {
	return h.pairs.Slowdown(lasting.Image, filler.Image) * float64(filler.Size.CPU) / coresUnit
}

// cost returns what a filler costs the lasting tasks on a VM.
func (h *harm) cost(v *vm, filler *model.Step) float64 {
	cost := 0.0
	for _, it := range v.runs {
		if !it.step.Lasting || it.step.Target <= 0 {
			continue
		}
		used := firstRest
		if rest, ok := h.rest[it.step.Image]; ok {
			used = rest
		}
		for _, other := range v.runs {
			if other.step.Filler {
				used += h.press(it.step, other.step)
			}
		}
		adds := h.press(it.step, filler)
		cost += adds + overCost*(max(0, used+adds-tolerated)-max(0, used-tolerated))
	}
	return harmCost * cost
}

// weight returns how heavily a filler presses on the VM's most sensitive lasting task.
func (h *harm) weight(v *vm, filler *model.Step) float64 {
	weight := 0.0
	for _, it := range v.runs {
		if it.step.Lasting && it.step.Target > 0 {
			weight = max(weight, h.press(it.step, filler))
		}
	}
	return weight
}
