package main

import (
	"net/http"
	"sync"
	"time"
)

// fills hands in five large jobs of tasks that fill, which take 70 s, and jobs of ordinary tasks of a
// queue with priority 1 beside them. Without trouble, the large jobs don't come.
//
// The check is LOST: finish_s after the end of the traffic, accepted jobs are asked for, and for 3 s
// a job must not have nothing running while a task's turn has come, there is capacity for it twice
// over, and under half of the service's capacity is in use. The cpu of tasks that fill is not counted
// against a worker's capacity.
func fills(rec *Recorder, trouble bool) (int, error) {
	const (
		workers = 11
		cpu     = 64000
		mem     = 256000
		traffic = 24 * time.Second
		finish  = 14 * time.Second
	)
	quick, batch, bulk := Queue{name: "quick", priority: 0, attempts: 4}, Queue{name: "batch", priority: 1, attempts: 4}, Queue{name: "bulk", priority: 2, attempts: 4}
	f, err := startFleet(rec, Settings{entries: 3, workers: workers, cpu: cpu, mem: mem, queues: []Queue{quick, batch, bulk}})
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
	submit := func(j Job) {
		wg.Go(func() {
			if c.submit(j) {
				mu.Lock()
				defer mu.Unlock()
				accepted = append(accepted, j)
			}
		})
	}
	start := time.Now()
	if trouble {
		for range 5 {
			submit(Job{id: newID(), queue: bulk, Spec: "work=70000", Steps: []Step{{Count: 20, CPU: 7000, Mem: 1000, Estimate: 70000, Fills: true}}})
		}
	}
	time.Sleep(2 * time.Second)
	for n := 0; time.Since(start) < traffic; n++ {
		submit(Job{id: newID(), queue: quick, Spec: "work=600", Steps: []Step{{Count: 4, CPU: 900, Mem: 500, Estimate: 600}}})
		if n%4 == 0 {
			submit(Job{id: newID(), queue: batch, Spec: "work=1000", Steps: []Step{{Count: 2, CPU: 4000, Mem: 1000, Estimate: 1000}}})
		}
		time.Sleep(500 * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(time.Until(start.Add(traffic + finish - idleTime)))
	u := rec.watch(accepted, start.Add(traffic+finish))
	rec.add("in-use", "cpu", u.cpu, "of", workers*cpu, "mem_mb", u.mem, "of", workers*mem)
	idleJobs, done, unanswered := 0, 0, 0
	for _, j := range accepted {
		a := c.state(j)
		switch {
		case a.status == http.StatusOK && a.state == "completed":
			done++
		case a.status != http.StatusOK:
			unanswered++
			rec.add("BROKEN", "rule", "LOST", "job", j.id, "queue", j.queue.name, "why", "no answer", "status", a.status)
		case u.idle(j, workers*cpu, workers*mem):
			idleJobs++
			rec.add("BROKEN", "rule", "LOST", "job", j.id, "queue", j.queue.name, "why", "nothing of it ran for 3 s", "state", a.state)
		}
	}
	rec.add("summary", "accepted", len(accepted), "completed", done, "without-answer", unanswered, "idle", idleJobs, "starts", rec.starts, "ends", rec.ends)
	if idleJobs+unanswered > 0 {
		return broken, nil
	}
	return held, nil
}
