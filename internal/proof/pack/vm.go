package pack

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/ident"
	"github.com/ebonyarch/ebonyarch/internal/sched/guard"
	"github.com/ebonyarch/ebonyarch/internal/sched/learn"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

type vm struct {
	place.VM
	tasks []*task
	guard guard.Guard
	// late holds measurements until they are Lag old.
	late []measurement
}

type measurement struct {
	at       time.Duration
	loads    []learn.Load
	slowdown float64
}

// advance lets a second pass on a VM.
func (s *sim) advance(v *vm) {
	slowdown := 0.0
	var loads []learn.Load
	for _, t := range v.tasks {
		slowdown += t.kind.Disturbs * float64(t.share) / 100
		loads = append(loads, learn.Load{Kind: "t/" + t.kind.Name, Share: float64(t.share) / 100})
	}
	if len(v.Services) > 0 {
		s.result.Slowdown += slowdown
		s.samples++
		s.measure(v, loads, slowdown)
		s.protect(v, slowdown)
	}
	for _, t := range append([]*task(nil), v.tasks...) {
		step := tick * time.Duration(t.share) / 100
		t.done += step
		if s.now-t.savedAt >= checkpointEvery {
			t.saved, t.savedAt = t.done, s.now
		}
		if t.done >= t.work {
			s.stop(v, t)
			s.result.Tasks++
			s.result.Finished += t.work * time.Duration(t.kind.Size.CPU) / 1000
		}
	}
}

// measure passes measurements on once they are old enough.
func (s *sim) measure(v *vm, loads []learn.Load, slowdown float64) {
	noisy := max(0, slowdown+0.05*s.rnd.NormFloat64())
	v.late = append(v.late, measurement{s.now, loads, noisy})
	for len(v.late) > 0 && s.now-v.late[0].at >= s.cfg.Lag {
		m := v.late[0]
		v.late = v.late[1:]
		if s.cfg.Learns {
			s.learned.Update(epoch.Add(s.now), "t/registry", m.loads, m.slowdown)
		}
	}
}

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
	throttle, evict := v.guard.Tick(epoch.Add(s.now), batch)
	for _, t := range append([]*task(nil), v.tasks...) {
		if throttle != nil && t.id == int(throttle.Attempt.Index) {
			t.share = throttle.Percent
		}
		if evict != nil && t.id == int(evict.Index) {
			s.evict(v, t)
		}
	}
}
