package main

import (
	"net/http"
	"time"
)

// pending lets one worker of eleven answer each start with 503 for 6.5 s, and hands in jobs that need
// a label which only this worker has. Without trouble, the worker is healthy.
//
// The check is MIXED: a machine gives as `pending` under half of the jobs without times that were
// accepted over visible_ms + 2 s before and haven't begun.
func pending(rec *Recorder, trouble bool) (int, error) {
	const (
		unhealthy = 6500 * time.Millisecond
		old       = 5 * time.Second // visible_ms + 2 s
	)
	q := Queue{"quick", 0, 4, false}
	f, err := startFleet(rec, Settings{entries: 3, workers: 11, cpu: 64000, mem: 256000, queues: []Queue{q}, label: "special"})
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return invalid, err
	}
	c := newClient(f)
	w := f.workers[0]
	if trouble {
		w.setUnhealthy(true)
	}
	start := time.Now()
	type handedIn struct {
		Job
		at time.Time
	}
	var jobs []handedIn
	for range 6 {
		j := Job{id: newID(), queue: q, Spec: "work=600", Steps: []Step{{Count: 2, CPU: 900, Mem: 500, Estimate: 600, Requires: "special"}}}
		if c.submit(j) {
			jobs = append(jobs, handedIn{j, time.Now()})
		}
		time.Sleep(100 * time.Millisecond)
	}
	faults := 0
	for n := 0; time.Since(start) < unhealthy; n++ {
		asked := time.Now()
		a := c.call(n%len(f.entries), http.MethodGet, q, "", nil)
		waiting := 0
		for _, j := range jobs {
			if asked.Sub(j.at) > old && len(rec.runsOf(j.id)) == 0 {
				waiting++
			}
		}
		if a.status == http.StatusOK && 2*a.pending < waiting {
			faults++
			rec.add("BROKEN", "rule", "MIXED", "entry", n%len(f.entries), "pending", a.pending, "not-begun", waiting)
		}
		time.Sleep(100 * time.Millisecond)
	}
	if trouble {
		w.setUnhealthy(false)
	}
	time.Sleep(6 * time.Second)
	begun := 0
	for _, j := range jobs {
		if len(rec.runsOf(j.id)) > 0 {
			begun++
		}
	}
	rec.add("summary", "accepted", len(jobs), "begun-at-the-end", begun, "wrong-answers", faults)
	if faults > 0 {
		return broken, nil
	}
	return held, nil
}
