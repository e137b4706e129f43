package main

import (
	"fmt"
	"strings"
	"time"
)

// say writes a line to the record and to standard output.
func say(rec *record, format string, args ...any) {
	rec.add(format, args...)
	fmt.Printf(format+"\n", args...)
}

// unable ends a system, says why and returns cannotRun.
func unable(s *system, rec *record, err error) verdict {
	say(rec, "the case cannot run: %v", err)
	if s != nil {
		s.close()
	}
	return cannotRun
}

// step returns a step of a job.
func step(count, cpu, memory int, estimate time.Duration) map[string]any {
	return map[string]any{"count": count, "cpu": cpu, "mem_mb": memory, "estimate_ms": estimate.Milliseconds()}
}

const (
	shortTask = 640 * time.Millisecond
	longTask  = 2700 * time.Millisecond
)

// Two of 24 workers are a share of 0.083. They fail what they start for greyFor.
const (
	gangWorkers = 24
	greyWorkers = 2
	greyStride  = 7
	greyFor     = 6500 * time.Millisecond
)

// greyGang hands in a gang while some workers fail all that they start. A gang has failed once if a run of
// it has ended failed, by whichever of its members.
func greyGang(rec *record, root string, trouble bool) verdict {
	s, err := newSystem(rec, root, 3, gangWorkers, 16000, 64000)
	if err != nil {
		return unable(s, rec, err)
	}
	defer s.close()
	c := newClient(s, 1)
	id := c.id()
	s.setGrey(trouble)
	time.AfterFunc(greyFor, func() { s.setGrey(false) })
	const members = 20
	s.fleet.set(id, 0, behaviour{work: longTask, gang: members})
	job := step(members, 3000, 2000, longTask)
	job["gang"], job["anti_affinity"] = true, 1
	if !c.submit(id, map[string]any{"spec": "gang", "steps": []any{job}}) {
		return cannotRun
	}
	var state string
	for range 30 {
		time.Sleep(500 * time.Millisecond)
		if state = c.state(id); state == "failed" || state == "completed" {
			break
		}
	}
	s.fleet.mu.Lock()
	runs, failedRuns := 0, 0
	for name, g := range s.fleet.gangs {
		if strings.HasPrefix(name, id) {
			runs++
			if g.over == "failed" {
				failedRuns++
			}
		}
	}
	s.fleet.mu.Unlock()
	say(rec, "the gang is %s; it had %d runs, of which %d ended failed, of %d allowed; ends of members: %v", state, runs, failedRuns, maxAttempts, s.fleet.endsOf(id))
	switch {
	case state == "failed" && failedRuns < maxAttempts:
		say(rec, "LOST: shown as failed without cause")
		return broken
	case state != "completed" && state != "failed":
		return cannotRun
	}
	return held
}

// setGrey sets whether the workers of the disruption fail what they start.
func (s *system) setGrey(grey bool) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	for i := range greyWorkers {
		s.workers[greyStride*i].grey = grey
	}
}
