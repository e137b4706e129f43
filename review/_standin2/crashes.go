package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// crashes lets workers crash one after the other, one at a time, beside a stream of small jobs.
// Without trouble, none crashes.
//
// The check is LOST: an accepted job is shown as `failed` without cause. Only ends `failed` count as
// attempts, and no task of this case ends so.
func crashes(rec *Recorder, trouble bool) (int, error) {
	const (
		traffic  = 75 * time.Second
		down     = time.Second
		interval = 1500 * time.Millisecond
	)
	q := Queue{"quick", 0, 4, false}
	f, err := startFleet(rec, Settings{entries: 3, workers: 11, cpu: 64000, mem: 256000, queues: []Queue{q}})
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return invalid, err
	}
	c := newClient(f)
	start := time.Now()
	var mu sync.Mutex
	var accepted []Job
	var wg sync.WaitGroup
	if trouble {
		wg.Go(func() {
			time.Sleep(2 * time.Second)
			for time.Since(start) < traffic {
				w := f.workers[rand.IntN(len(f.workers))]
				w.crash()
				time.Sleep(down)
				if err := w.up(); err != nil {
					rec.add("note", "text", err)
				}
				time.Sleep(interval - down)
			}
		})
	}
	for time.Since(start) < traffic {
		j := Job{id: newID(), queue: q, Spec: "work=640", Steps: []Step{{Count: 6, CPU: 960, Mem: 1900, Estimate: 640}, {Count: 4, CPU: 960, Mem: 1900, Estimate: 640, After: []int{0}}}}
		wg.Go(func() {
			if c.submit(j) {
				mu.Lock()
				defer mu.Unlock()
				accepted = append(accepted, j)
			}
		})
		time.Sleep(125 * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(8 * time.Second)
	failed, completed := 0, 0
	for _, j := range accepted {
		a := c.state(j)
		ends := map[string]int{}
		for _, runs := range rec.runsOf(j.id) {
			for _, r := range runs {
				ends[r.how]++
			}
		}
		switch {
		case a.status == http.StatusOK && a.state == "completed":
			completed++
		case a.status == http.StatusOK && a.state == "failed" && ends["failed"] == 0:
			failed++
			rec.add("BROKEN", "rule", "LOST", "job", j.id, "state", a.state, "ends", ends)
		}
	}
	rec.add("summary", "accepted", len(accepted), "completed", completed, "shown-as-failed-without-cause", failed, "ends", rec.ends)
	if failed > 0 {
		return broken, nil
	}
	return held, nil
}
