package main

import (
	"fmt"
	"strings"
	"sync"
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

// judgeStates asks for the state of each job and compares it with the ends of its runs.
func judgeStates(s *system, c *client, accepted []string) verdict {
	v := held
	for _, id := range accepted {
		state := c.state(id)
		failed := s.fleet.failedRuns(id)
		switch {
		case state == "failed" && failed < maxAttempts:
			say(s.rec, "LOST: job %s is shown as failed; no task of it has more than %d runs that ended failed: %v", id, failed, s.fleet.endsOf(id))
			v = broken
		case state == "" || state == "410":
			say(s.rec, "LOST: job %s: state %q", id, state)
			v = broken
		}
	}
	say(s.rec, "%d jobs accepted", len(accepted))
	return v
}

// crashes hands in jobs while workers crash, one of seven at a time, at moments that do not depend on
// what they run.
func crashes(rec *record, root string, trouble bool) verdict {
	s, err := newSystem(rec, root, 3, crashWorkers, 16000, 64000)
	if err != nil {
		return unable(s, rec, err)
	}
	defer s.close()
	c := newClient(s, 1)
	lasting := c.id()
	s.fleet.set(lasting, 0, behaviour{lasting: true})
	feed := step(6, 1000, 2000, shortTask)
	feed["long_running"] = true
	var accepted []string
	if c.submit(lasting, map[string]any{"spec": "feed", "steps": []any{feed}}) {
		accepted = append(accepted, lasting)
	}
	var wg sync.WaitGroup
	if trouble {
		wg.Go(func() {
			for i := range crashCount {
				w := s.workers[i*crashStride%len(s.workers)]
				w.crash()
				time.Sleep(crashDown)
				if err := w.boot(); err != nil {
					say(rec, "a worker cannot start: %v", err)
				}
				time.Sleep(crashEvery - crashDown)
			}
		})
	}
	for range crashJobs {
		id := c.id()
		s.fleet.set(id, 0, behaviour{work: shortTask})
		if c.submit(id, map[string]any{"spec": "check " + id, "steps": []any{step(10, 960, 1900, shortTask)}}) {
			accepted = append(accepted, id)
		}
		time.Sleep(jobEvery)
	}
	wg.Wait()
	time.Sleep(finishTime)
	return judgeStates(s, c, accepted)
}

// One worker of seven is a share of 0.143.
const (
	crashWorkers = 7
	crashJobs    = 160
	jobEvery     = 250 * time.Millisecond
	finishTime   = 14 * time.Second
	crashCount   = 40
	crashStride  = 3
	crashEvery   = time.Second
	crashDown    = 600 * time.Millisecond
)

// Four of 27 workers are a share of 0.148.
const (
	gangWorkers = 27
	greyWorkers = 4
	greyStride  = 7
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
	s.fleet.mu.Lock()
	for i := range greyWorkers {
		s.workers[greyStride*i].grey = trouble
	}
	s.fleet.mu.Unlock()
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
