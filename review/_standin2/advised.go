package main

import (
	"net/http"
	"sync"
	"time"
)

// advised hands in 60 jobs of an urgent queue within 3 s, of which 3 can never be done because the
// policy of the queue allows no worker to run them, and jobs of another queue with advice. Without
// trouble, the policy allows all workers for all jobs.
//
// The check is LOST: finish_s after the end of the traffic, for 3 s a job must not have nothing running
// while a task's turn has come, there is capacity for it twice over, and under half of the service's
// capacity is in use. Jobs that can't be done are not asked for.
func advised(rec *Recorder, trouble bool) (int, error) {
	const (
		traffic = 30 * time.Second
		flood   = 3 * time.Second
		count   = 60
		every   = 20 // one job of the flood in so many can never be done
		finish  = 14 * time.Second
	)
	q, urgent := Queue{name: "checked", priority: 2, attempts: 4, advised: true}, Queue{name: "urgent", priority: 0, attempts: 4, advised: true}
	f, err := startFleet(rec, Settings{entries: 3, workers: 11, cpu: 64000, mem: 256000, queues: []Queue{q, urgent}})
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
	job := func() Job {
		return Job{id: newID(), queue: q, Spec: "work=600 advised", Steps: []Step{{Count: 2, CPU: 900, Mem: 500, Estimate: 600}}}
	}
	start := time.Now()
	submit := func(j Job, asked bool) {
		wg.Go(func() {
			if c.submit(j) && asked {
				mu.Lock()
				defer mu.Unlock()
				accepted = append(accepted, j)
			}
		})
	}
	for n := range count {
		j := job()
		j.queue = urgent
		undoable := trouble && n%every == 0
		if undoable {
			f.advisor.bar(j.id)
			rec.add("undoable-job", "job", j.id)
		}
		submit(j, !undoable)
		time.Sleep(flood / count)
	}
	for time.Since(start) < traffic {
		submit(job(), true)
		time.Sleep(2 * time.Second)
	}
	wg.Wait()
	time.Sleep(time.Until(start.Add(traffic + finish - idleTime)))
	u := rec.watch(accepted, start.Add(traffic+finish))
	rec.add("in-use", "cpu", u.cpu, "of", 11*64000, "mem_mb", u.mem, "of", 11*256000)
	idleJobs, done, unanswered := 0, 0, 0
	for _, j := range accepted {
		a := c.state(j)
		switch {
		case a.status == http.StatusOK && a.state == "completed":
			done++
		case a.status != http.StatusOK:
			unanswered++
			rec.add("BROKEN", "rule", "LOST", "job", j.id, "why", "no answer", "status", a.status)
		case u.idle(j, 11*64000, 11*256000):
			idleJobs++
			rec.add("BROKEN", "rule", "LOST", "job", j.id, "why", "nothing of it ran for 3 s", "state", a.state)
		}
	}
	rec.add("summary", "accepted", len(accepted), "completed", done, "without-answer", unanswered, "idle", idleJobs, "starts", rec.starts, "ends", rec.ends)
	if idleJobs+unanswered > 0 {
		return broken, nil
	}
	return held, nil
}
