package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// Recorder keeps what was sent, answered and run. It writes a line for each to a file.
type Recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
	// runs holds the runs at workers, by task.
	runs map[string][]*seenRun
	// quiet is set if starts and ends of tasks are counted only.
	quiet bool
	// starts and ends count the runs, the ends by how they ended.
	starts int
	ends   map[string]int
}

// seenRun is a run as a worker saw it.
type seenRun struct {
	worker string
	number uint32
	over   bool
}

func newRecorder(path string) (*Recorder, error) {
	f, err := os.Create(path)
	return &Recorder{file: f, start: time.Now(), runs: map[string][]*seenRun{}, ends: map[string]int{}}, err
}

// add writes a line with pairs of names and values.
func (r *Recorder) add(what string, pairs ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(what, pairs...)
}

func (r *Recorder) write(what string, pairs ...any) {
	var b strings.Builder
	fmt.Fprintf(&b, "%8.3f %s", time.Since(r.start).Seconds(), what)
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(&b, " %v=%v", pairs[i], pairs[i+1])
	}
	fmt.Fprintln(r.file, b.String())
}

func (r *Recorder) runStarted(worker, task string, number uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts++
	r.runs[task] = append(r.runs[task], &seenRun{worker: worker, number: number})
	if !r.quiet {
		r.write("task-started", "task", task, "run", number, "worker", worker)
	}
}

func (r *Recorder) runEnded(worker, task string, number uint32, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ends[how]++
	for _, x := range r.runs[task] {
		if x.worker == worker && x.number == number {
			x.over = true
		}
	}
	if !r.quiet {
		r.write("task-ended", "task", task, "run", number, "worker", worker, "how", how)
	}
}

// present returns the number of a job's runs that are present at workers, of all jobs if job is empty.
func (r *Recorder) present(job string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for task, list := range r.runs {
		if job != "" && !strings.HasPrefix(task, job+".") {
			continue
		}
		for _, x := range list {
			if !x.over {
				n++
			}
		}
	}
	return n
}
