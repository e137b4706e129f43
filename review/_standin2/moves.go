package main

import (
	"net/http"
	"sync"
	"time"
)

// moves hands in jobs of ordinary tasks that take 6 s, on workers that are nearly idle, without an
// estimate of their duration. Without trouble, the estimates are right.
//
// The check is Fault: "The day counts 0 [...] if no request is served." A job is served once it is shown
// as `completed`, which is looked for until finish_s after the end of the traffic.
func moves(rec *Recorder, trouble bool) (int, error) {
	const (
		traffic = 30 * time.Second
		finish  = 14 * time.Second
		work    = 6000
	)
	q := Queue{name: "bulk", priority: 2, attempts: 4}
	f, err := startFleet(rec, Settings{entries: 3, workers: 11, cpu: 64000, mem: 256000, queues: []Queue{q}})
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return invalid, err
	}
	c := newClient(f)
	var mu sync.Mutex
	var accepted []Job
	var wg sync.WaitGroup
	estimate := int64(work)
	if trouble {
		estimate = 0 // the field is omitted
	}
	start := time.Now()
	for time.Since(start) < traffic {
		j := Job{id: newID(), queue: q, Spec: "work=6000", Steps: []Step{{Count: 2, CPU: 7000, Mem: 13000, Estimate: estimate}}}
		wg.Go(func() {
			if c.submit(j) {
				mu.Lock()
				defer mu.Unlock()
				accepted = append(accepted, j)
			}
		})
		time.Sleep(2 * time.Second)
	}
	wg.Wait()
	time.Sleep(time.Until(start.Add(traffic + finish)))
	states := map[string]int{}
	for _, j := range accepted {
		a := c.state(j)
		if a.status != http.StatusOK {
			a.state = http.StatusText(a.status)
		}
		states[a.state]++
	}
	rec.add("summary", "accepted", len(accepted), "states", states, "starts", rec.starts, "ends", rec.ends)
	if len(accepted) > 0 && states["completed"] == 0 {
		rec.add("BROKEN", "rule", "Fault", "why", "no request is served", "accepted", len(accepted))
		return broken, nil
	}
	return held, nil
}
