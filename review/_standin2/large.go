package main

import (
	"net/http"
	"sync"
	"time"
)

// largeJob hands in one job of many small tasks beside a stream of small jobs. Without trouble,
// only the small jobs come.
//
// The check is LOST: finish_s after the end of the traffic, accepted jobs are asked for, and for 3 s
// a job must not have nothing running while a task's turn has come and there is capacity for it.
func largeJob(rec *Recorder, trouble bool) (int, error) {
	const (
		traffic = 40 * time.Second
		finish  = 14 * time.Second
	)
	q := Queue{name: "quick", priority: 0, attempts: 4}
	bulk := Queue{name: "bulk", priority: 2, attempts: 4}
	rec.quiet = true
	f, err := startFleet(rec, Settings{entries: 3, workers: 11, cpu: 64000, mem: 256000, queues: []Queue{q, bulk}})
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return invalid, err
	}
	c := newClient(f)
	var mu sync.Mutex
	var accepted []Job
	var refused int
	var wg sync.WaitGroup
	submit := func(j Job) {
		ok := c.submit(j)
		mu.Lock()
		defer mu.Unlock()
		if ok {
			accepted = append(accepted, j)
		} else {
			refused++
		}
	}
	start := time.Now()
	wg.Go(func() {
		for time.Since(start) < traffic+finish-idleTime {
			time.Sleep(time.Second)
			tooLarge, latest, largest := f.store.sizes()
			rec.add("present", "tasks", rec.present(""), "largest-record", largest, "appends-refused", tooLarge, "latest", latest)
		}
	})
	for n := 0; time.Since(start) < traffic; n++ {
		j := Job{id: newID(), queue: q, Spec: "work=600", Steps: []Step{{Count: 4, CPU: 900, Mem: 500, Estimate: 600}}}
		if n == 6 && trouble {
			j = Job{id: newID(), queue: bulk, Spec: "work=1500,1500,60000,8000 checkpoint", Steps: []Step{
				{Count: 2000, CPU: 50, Mem: 60, Estimate: 1500, Checkpointing: true},
				{Count: 2000, CPU: 50, Mem: 60, Estimate: 1500, Checkpointing: true, After: []int{0}},
				{Count: 2950, CPU: 50, Mem: 60, Estimate: 60000, Checkpointing: true, After: []int{1}},
				{Count: 220, CPU: 50, Mem: 60, Estimate: 8000, Checkpointing: true, After: []int{1}},
			}}
			rec.add("large-job", "job", j.id, "tasks", 7170)
		}
		wg.Go(func() { submit(j) })
		time.Sleep(500 * time.Millisecond)
	}
	for time.Since(start) < traffic+finish-idleTime {
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	u := rec.watch(accepted, start.Add(traffic+finish))
	rec.add("in-use", "cpu", u.cpu, "of", 11*64000, "mem_mb", u.mem, "of", 11*256000)
	lost, unanswered, done := 0, 0, 0
	for _, j := range accepted {
		a := c.state(j)
		switch {
		case a.status == http.StatusOK && a.state == "completed":
			done++
		case a.status != http.StatusOK:
			unanswered++
			rec.add("BROKEN", "rule", "LOST", "job", j.id, "queue", j.queue.name, "why", "known to nobody or no answer", "status", a.status)
		case u.idle(j, 11*64000, 11*256000):
			lost++
			rec.add("BROKEN", "rule", "LOST", "job", j.id, "queue", j.queue.name, "why", "nothing of it ran for 3 s", "state", a.state)
		}
	}
	rec.add("summary", "accepted", len(accepted), "completed", done, "without-answer", unanswered, "idle", lost, "not-accepted", refused,
		"starts", rec.starts, "ends", rec.ends, "appends-refused", f.store.tooLarge)
	switch {
	case lost+unanswered > 0:
		return broken, nil
	case refused > 0 || done < len(accepted):
		rec.add("note", "text", "jobs were refused or are late, which breaks no rule checked here")
	}
	return held, nil
}
