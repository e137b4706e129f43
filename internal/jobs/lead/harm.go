package lead

import (
	"math"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
)

const (
	// firstPress is what a core's work of a filler is assumed to add to the utilization
	// of a lasting task; mostPress bounds what is learned.
	firstPress, mostPress = 0.01, 0.08
	// pressRate is the weight of a new measurement.
	pressRate = 0.3
	// leastChange is the change of a VM's fillers, in cores, that is learned from.
	leastChange = 1.0
	// saturated is the utilization from which latency no longer tells how much more
	// there is.
	saturated = 0.96
	// firstOwn is the utilization assumed of a lasting task without fillers.
	firstOwn = 0.45
	// idleShare is the tail latency of an idle task as a part of the least that was
	// measured, idleTarget the most that it is believed to be of the target.
	idleShare, idleTarget = 0.75, 0.2
	// aimedShare is the part of its target up to which fillers may take a task's
	// latency.
	aimedShare = 0.8
	// settled is the age from which a lasting task's latency is believed.
	settled = 2 * time.Second
	// tolerated is the distance from the aim at which fillers count little.
	tolerated = 0.1
	// overCost weighs what is nearer.
	overCost = 8.0
	// harmCost weighs the disturbance of lasting tasks against even use of VMs.
	harmCost = 12.0
)

// harm learns how much fillers of each image disturb lasting tasks of each image.
//
// Tail latency grows without bound as a task nears what its VM gives it, so what is
// learned is utilization, to which each neighbour adds its part. A task's own load
// swings slowly, while fillers come and go at once: the parts are learned from the
// changes between two measurements. The zero value assumes the same of all.
type harm struct {
	// parts holds what a core's work of a filler adds, by images.
	parts map[imagePair]float64
	// least is the least tail latency measured of an image, in milliseconds.
	least map[string]float64
}

type imagePair struct {
	lasting, filler string
}

// sample is what was measured of a lasting run last.
type sample struct {
	// used is the utilization, own the part of it that no filler explains.
	used, own float64
	// cores is the work of fillers beside it, by image.
	cores map[string]float64
}

func (h *harm) part(lasting, filler string) float64 {
	if p, ok := h.parts[imagePair{lasting, filler}]; ok {
		return p
	}
	return firstPress
}

// observe takes the measurements of a VM.
func (h *harm) observe(now time.Time, v *vm, rows []msgs.Row) {
	cores := map[string]float64{}
	for _, row := range rows {
		if it := v.runs[runKey{row.Task, row.Run}]; it != nil && it.step.Filler {
			cores[it.step.Image] += coresOf(row)
		}
	}
	for _, row := range rows {
		it := v.runs[runKey{row.Task, row.Run}]
		if it != nil && it.step.Target > 0 && row.Measure > 0 && now.Sub(it.since) > settled {
			h.measure(it, float64(row.Measure), cores)
		}
	}
}

// coresOf returns the processors that a run uses.
func coresOf(row msgs.Row) float64 { return float64(row.Measure) / 1000 }

func (h *harm) measure(it *run, tail float64, cores map[string]float64) {
	if h.least == nil {
		h.least, h.parts = map[string]float64{}, map[imagePair]float64{}
	}
	image := it.step.Image
	if least, ok := h.least[image]; !ok || tail < least {
		h.least[image] = tail
	}
	s := sample{used: h.used(it.step, tail), cores: cores}
	if last := it.last; last != nil && s.used < saturated && last.used < saturated {
		h.learn(image, s, *last)
	}
	s.own = s.used
	for f, c := range cores {
		s.own -= c * h.part(image, f)
	}
	s.own = max(0, s.own)
	it.last = &s
}

// learn corrects the parts by the change between two samples, by normalized least
// mean squares.
func (h *harm) learn(image string, s, last sample) {
	changes := map[string]float64{}
	for f, c := range s.cores {
		changes[f] = c
	}
	for f, c := range last.cores {
		changes[f] -= c
	}
	missing, norm := s.used-last.used, 0.0
	for f, c := range changes {
		missing -= c * h.part(image, f)
		norm += c * c
	}
	if math.Sqrt(norm) < leastChange {
		return
	}
	for f, c := range changes {
		p := h.part(image, f) + pressRate*missing*c/norm
		h.parts[imagePair{image, f}] = min(max(0, p), mostPress)
	}
}

// idle returns the tail latency in milliseconds of a step's task without load.
func (h *harm) idle(s *model.Step) float64 {
	idle := idleTarget * float64(s.Target.Milliseconds())
	if least, ok := h.least[s.Image]; ok {
		idle = min(idle, idleShare*least)
	}
	return idle
}

// used returns the utilization that a tail latency in milliseconds tells.
func (h *harm) used(s *model.Step, tail float64) float64 {
	return max(0, 1-h.idle(s)/max(tail, 1))
}

// aim returns the utilization up to which fillers may take a step's tasks.
func (h *harm) aim(s *model.Step) float64 {
	return 1 - h.idle(s)/(aimedShare*float64(s.Target.Milliseconds()))
}

// own returns the utilization of a lasting run without fillers.
func (it *run) own() float64 {
	if it.last == nil {
		return firstOwn
	}
	return it.last.own
}

// press returns how much a filler of a step adds to the utilization of a lasting
// task at full pace.
func (h *harm) press(lasting, filler *model.Step) float64 {
	return h.part(lasting.Image, filler.Image) * float64(filler.Size.CPU) / 1000
}

// cost returns what a filler costs the lasting tasks on a VM.
func (h *harm) cost(v *vm, filler *model.Step) float64 {
	cost := 0.0
	for _, it := range v.runs {
		if !it.step.Lasting || it.step.Target <= 0 {
			continue
		}
		used := it.own()
		for _, other := range v.runs {
			if other.step.Filler {
				used += h.press(it.step, other.step)
			}
		}
		limit := h.aim(it.step) - tolerated
		adds := h.press(it.step, filler)
		cost += adds + overCost*(max(0, used+adds-limit)-max(0, used-limit))
	}
	return harmCost * cost
}
