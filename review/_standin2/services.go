package main

import (
	"net/http"
	"sync"
	"time"
)

// services runs two services. On each worker of the first one a task lasts that is within its target, and
// a job of one task that fills is handed in there. Trouble is a burst of large jobs on the second
// service, which has other workers.
//
// The check is LOST: finish_s after the end of the traffic, for 3 s a job must not have nothing running
// while a task's turn has come, there is capacity for it twice over, and under half of the service's
// capacity is in use.
func services(rec *Recorder, trouble bool) (int, error) {
	const (
		workers, second = 11, 8
		cpu, mem        = 64000, 256000
		traffic         = 16 * time.Second
		finish          = 14 * time.Second
	)
	serving, bulk := Queue{name: "serving", priority: 0, attempts: 4}, Queue{name: "bulk", priority: 2, attempts: 4}
	other := Queue{name: "other", priority: 1, attempts: 4, second: true}
	f, err := startFleet(rec, Settings{entries: 3, workers: workers, second: second, cpu: cpu, mem: mem, queues: []Queue{serving, bulk, other}})
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
	submit(Job{id: newID(), queue: serving, Spec: "lasts serves", Steps: []Step{{Count: workers - second, CPU: 13000, Mem: 26000, Estimate: 1000, LongRunning: true, Image: "web", Target: 25, Apart: 1}}})
	if trouble {
		for range 10 {
			step := Step{Count: 8, CPU: 10000, Mem: 4000, Estimate: 6800}
			submit(Job{id: newID(), queue: other, Spec: "work=6800", Steps: chain(step, 4)})
			time.Sleep(400 * time.Millisecond)
		}
	}
	time.Sleep(time.Until(start.Add(8 * time.Second)))
	for range 4 {
		submit(Job{id: newID(), queue: bulk, Spec: "work=2000 disturbs", Steps: []Step{{Count: 1, CPU: 14000, Mem: 4000, Estimate: 2000, Fills: true, Image: "scan"}}})
		time.Sleep(time.Second)
	}
	wg.Wait()
	time.Sleep(time.Until(start.Add(traffic + finish - idleTime)))
	var first []Job
	for _, j := range accepted {
		if !j.queue.second {
			first = append(first, j)
		}
	}
	u := rec.watch(first, start.Add(traffic+finish))
	rec.add("in-use", "cpu", u.cpu, "of", (workers-second)*cpu, "mem_mb", u.mem, "of", (workers-second)*mem)
	idleJobs, done, unanswered := 0, 0, 0
	for _, j := range accepted {
		a := c.state(j)
		switch {
		case a.status == http.StatusOK && a.state == "completed":
			done++
		case a.status != http.StatusOK:
			unanswered++
			rec.add("BROKEN", "rule", "LOST", "job", j.id, "queue", j.queue.name, "why", "no answer", "status", a.status)
		case !j.queue.second && u.idle(j, (workers-second)*cpu, (workers-second)*mem):
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
