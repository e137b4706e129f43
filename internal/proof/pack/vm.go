package pack

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/ident"
	"github.com/ebonyarch/ebonyarch/internal/sched/guard"
	"github.com/ebonyarch/ebonyarch/internal/sched/learn"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

// vm is a fake VM.
type vm struct {
	place.VM
	tasks []*task
	guard guard.Guard
	// pendingMeasurements holds the measurements that are not known yet, the oldest
	// first.
	pendingMeasurements []measurement
}

// measurement is a measured slowdown of the service with the batch tasks that ran
// at that time, in virtual time since the start of the run.
type measurement struct {
	at       time.Duration
	loads    []learn.Load
	slowdown float64
}

// advance simulates one tick on a VM.
func (s *sim) advance(v *vm) {
	slowdown := 0.0
	var loads []learn.Load
	for _, t := range v.tasks {
		slowdown += t.kind.ServiceSlowdown * float64(t.speed) / 100
		loads = append(loads, learn.Load{Kind: "t/" + t.kind.Name, Share: float64(t.speed) / 100})
	}
	if len(v.Services) > 0 {
		s.result.Slowdown += slowdown
		s.samples++
		s.measure(v, loads, slowdown)
		s.protect(v, slowdown)
	}
	for _, t := range append([]*task(nil), v.tasks...) {
		step := tick * time.Duration(t.speed) / 100
		t.done += step
		if s.now-t.savedAt >= checkpointInterval {
			t.saved, t.savedAt = t.done, s.now
		}
		if t.done >= t.work {
			s.stop(v, t)
			s.result.FinishedTasks++
			s.result.FinishedCPUTime += t.work * time.Duration(t.kind.Size.CPU) / 1000
		}
	}
}

// measure records the slowdown with a random error and updates the estimates by the
// measurements that are MeasurementLag old.
func (s *sim) measure(v *vm, loads []learn.Load, slowdown float64) {
	measured := max(0, slowdown+0.05*s.rnd.NormFloat64())
	v.pendingMeasurements = append(v.pendingMeasurements, measurement{s.now, loads, measured})
	for len(v.pendingMeasurements) > 0 && s.now-v.pendingMeasurements[0].at >= s.cfg.MeasurementLag {
		m := v.pendingMeasurements[0]
		v.pendingMeasurements = v.pendingMeasurements[1:]
		if s.cfg.Learning {
			s.estimates.Update(startTime.Add(s.now), "t/registry", m.loads, m.slowdown)
		}
	}
}

// protect lets the guard observe 20 service times, with a random error of up to
// 10%, and carries out its throttling and eviction.
func (s *sim) protect(v *vm, slowdown float64) {
	for range 20 {
		took := float64(serviceTime) * (1 + slowdown) * (0.9 + 0.2*s.rnd.Float64())
		v.guard.ObserveServiceTime("t/registry", time.Duration(took))
	}
	var batch []guard.Batch
	for _, t := range v.tasks {
		if !t.urgent {
			batch = append(batch, guard.Batch{
				Attempt: ident.Attempt{Task: ident.Task{Index: uint32(t.id)}}, Kind: t.kind.Name,
				CPU: uint32(t.kind.Size.CPU), UnsavedWork: s.now - t.savedAt,
			})
		}
	}
	throttle, evict := v.guard.Tick(startTime.Add(s.now), batch)
	for _, t := range append([]*task(nil), v.tasks...) {
		if throttle != nil && t.id == int(throttle.Attempt.Index) {
			t.speed = throttle.Percent
		}
		if evict != nil && t.id == int(evict.Index) {
			s.evict(v, t)
		}
	}
}
