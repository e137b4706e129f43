package worker

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/ident"
)

// usage is a measurement of one attempt, in percent: the speed of a service replica, or the
// processor share of a batch attempt.
type usage struct {
	speed, sharePercent uint32
}

// usageSample holds the measurements of all attempts at one time.
type usageSample struct {
	at        time.Time
	byAttempt map[ident.Attempt]usage
}

// delayedUsage measures the attempts and returns the latest sample that is at least UsageLag
// old, nil if there is none yet.
func (w *Worker) delayedUsage() map[ident.Attempt]usage {
	now := w.cfg.Now()
	sample := usageSample{now, make(map[ident.Attempt]usage, len(w.tasks))}
	for id, t := range w.tasks {
		u := usage{sharePercent: t.sharePercent}
		if a := t.assignment; a.GetService() {
			u = usage{speed: uint32(100 * w.speed(a.GetTeam()+"/"+a.GetKind()))}
		}
		sample.byAttempt[id] = u
	}
	w.usage = append(w.usage, sample)
	for len(w.usage) > 1 && now.Sub(w.usage[1].at) >= w.cfg.UsageLag {
		w.usage = w.usage[1:]
	}
	if now.Sub(w.usage[0].at) < w.cfg.UsageLag {
		return nil
	}
	return w.usage[0].byAttempt
}
