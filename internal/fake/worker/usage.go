package worker

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/ident"
)

// usage is what was measured of one attempt, in percent.
type usage struct {
	speed, share uint32
}

// usageSample is what was measured at one time.
type usageSample struct {
	at time.Time
	of map[ident.Attempt]usage
}

// lateUsage measures the attempts and returns the latest measurement that is at
// least UsageLag old, nil if there is none yet.
func (w *Worker) lateUsage() map[ident.Attempt]usage {
	now := w.cfg.Now()
	sample := usageSample{now, make(map[ident.Attempt]usage, len(w.tasks))}
	for id, t := range w.tasks {
		u := usage{share: t.share}
		if a := t.assignment; a.GetService() {
			u = usage{speed: uint32(100 * w.speed(a.GetTeam()+"/"+a.GetKind()))}
		}
		sample.of[id] = u
	}
	w.usage = append(w.usage, sample)
	for len(w.usage) > 1 && now.Sub(w.usage[1].at) >= w.cfg.UsageLag {
		w.usage = w.usage[1:]
	}
	if now.Sub(w.usage[0].at) < w.cfg.UsageLag {
		return nil
	}
	return w.usage[0].of
}
