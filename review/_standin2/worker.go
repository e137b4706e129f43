package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	stopTime       = 100 * time.Millisecond
	holdMax        = 10 * time.Second
	checkpointTime = 500 * time.Millisecond
	maxHoldWait    = 2 * time.Second
	maxEnds        = 500
)

// Worker is a stand-in for a worker of the platform. It does not guard its capacity.
type Worker struct {
	id, service, zone, addr, registry string
	labels                            []string
	cpu, mem                          int64
	rec                               *Recorder
	advisor                           *Advisor

	mu      sync.Mutex
	started time.Time
	// token is the highest fencing token seen; until is the end of the lease on the worker's clock.
	token   uint64
	until   time.Duration
	runs    map[string]*taskRun
	over    map[string]uint32
	ended   [][5]any
	ends    int
	changed chan struct{}
	seq     int
}

type taskRun struct {
	task     string
	number   uint32
	spec     string
	work     time.Duration
	from     time.Time
	worked   time.Duration
	pace     int
	stopping time.Time
	// lasts is set if the run goes on until it is stopped.
	lasts      bool
	checkpoint string
}

// up starts the worker and returns once it listens.
func (w *Worker) up() error {
	ln, err := net.Listen("tcp", w.addr)
	if err != nil {
		return err
	}
	w.started = time.Now()
	w.runs, w.over, w.changed = map[string]*taskRun{}, map[string]uint32{}, make(chan struct{})
	go http.Serve(ln, w)
	go w.work()
	go w.beat()
	w.rec.add("worker-up", "worker", w.id)
	return nil
}

// clock returns the worker's clock, which starts at 1 s.
func (w *Worker) clock(now time.Time) time.Duration { return now.Sub(w.started) + time.Second }

// work advances the runs.
func (w *Worker) work() {
	last := time.Now()
	for {
		time.Sleep(10 * time.Millisecond)
		now := time.Now()
		w.mu.Lock()
		w.advance(now, now.Sub(last))
		w.mu.Unlock()
		last = now
	}
}

func (w *Worker) advance(now time.Time, passed time.Duration) {
	for _, r := range w.runs {
		r.worked += passed * time.Duration(r.pace) / 100
		if strings.Contains(r.spec, "checkpoint") {
			if n := int(r.worked / checkpointTime); n > 0 {
				r.checkpoint = fmt.Sprintf("%016x", n)
			}
		}
		switch {
		case w.clock(now) > w.until:
			w.end(r, "lapsed")
		case !r.stopping.IsZero() && now.Sub(r.stopping) >= stopTime:
			w.end(r, "stopped")
		case r.worked >= r.work && !r.lasts:
			w.end(r, "done")
		}
	}
}

func (w *Worker) end(r *taskRun, how string) {
	w.ends++
	w.ended = append(w.ended, [5]any{w.ends, r.task, r.number, how, r.checkpoint})
	delete(w.runs, r.task)
	w.over[r.task] = max(w.over[r.task], r.number)
	close(w.changed)
	w.changed = make(chan struct{})
	w.rec.runEnded(w.id, r.task, r.number, how)
}

type call struct {
	Task       string `json:"task"`
	Run        uint32 `json:"run"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadline_ms"`
	Token      uint64 `json:"fencing_token"`
	Checkpoint string `json:"checkpoint"`
	Seen       int    `json:"last_seen"`
	Wait       int    `json:"wait_ms"`
	Percent    int    `json:"percent"`
	Ticket     string `json:"ticket"`
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var c call
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		reply(rw, http.StatusBadRequest, struct{}{})
		return
	}
	if id := r.Header.Get("X-Expect-Instance"); id != "" && id != w.id {
		reply(rw, http.StatusMisdirectedRequest, struct{}{})
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.Context().Err() != nil {
		return
	}
	now := time.Now()
	refuse := func(reason string) {
		reply(rw, http.StatusConflict, map[string]any{"clock_ms": w.clock(now).Milliseconds(), "reason": reason})
	}
	if c.Token < w.token {
		refuse("fence")
		return
	}
	w.token = c.Token
	if d := min(time.Duration(c.Deadline)*time.Millisecond, w.clock(now)+holdMax); d > w.until {
		w.until = d
	}
	switch r.URL.Path {
	case "/run-start":
		if present := w.runs[c.Task]; present != nil && present.number == c.Run {
			break
		}
		if c.Run <= w.over[c.Task] {
			refuse("old")
			return
		}
		if w.clock(now) > time.Duration(c.Deadline)*time.Millisecond {
			refuse("late")
			return
		}
		if w.advisor != nil && !w.advisor.admits(w.id, c) {
			refuse("ticket")
			return
		}
		w.runs[c.Task] = newRun(c, now)
		w.rec.runStarted(w.id, c.Task, c.Run)
	case "/run-stop":
		w.over[c.Task] = max(w.over[c.Task], c.Run)
		if present := w.runs[c.Task]; present != nil && present.number == c.Run && present.stopping.IsZero() {
			present.stopping = now
		}
	case "/pace":
		if present := w.runs[c.Task]; present != nil && present.number == c.Run {
			present.pace = c.Percent
		}
	case "/hold":
		w.hold(rw, r, c)
		return
	default:
		reply(rw, http.StatusNotFound, struct{}{})
		return
	}
	reply(rw, http.StatusOK, map[string]any{"clock_ms": w.clock(now).Milliseconds()})
}

// newRun returns the run of a start. The spec says how long the tasks of each step work, in ms, as in
// "work=640,300"; further steps take as long as the last one named. The word "lasts" stands for tasks
// that last, "serves" for those that serve, "disturbs" for those that disturb them, "checkpoint" for
// those that checkpoint their progress.
func newRun(c call, now time.Time) *taskRun {
	r := &taskRun{task: c.Task, number: c.Run, spec: c.Spec, from: now, pace: 100, work: time.Second, checkpoint: c.Checkpoint}
	r.lasts = slices.Contains(strings.Fields(c.Spec), "lasts")
	if n, err := strconv.ParseInt(c.Checkpoint, 16, 64); err == nil {
		r.worked = time.Duration(n) * checkpointTime
	}
	for _, f := range strings.Fields(c.Spec) {
		if ms, ok := strings.CutPrefix(f, "work="); ok {
			list := strings.Split(ms, ",")
			step, _ := strconv.Atoi(strings.Split(c.Task, ".")[2])
			n, _ := strconv.Atoi(list[min(step, len(list)-1)])
			r.work = time.Duration(n) * time.Millisecond
		}
	}
	return r
}

// The tail latency of tasks that serve, in ms: alone, and what a task that disturbs adds at full pace.
const (
	ownLatency     = 10
	addedLatency   = 30
	disturbingCPUs = 14000
)

// row returns a run's entry in the list of what runs.
func (w *Worker) row(r *taskRun) [5]any {
	figure, percent := 0, min(int(100*r.worked/r.work), 100)
	switch {
	case strings.Contains(r.spec, "serves"):
		figure, percent = ownLatency, 100
		for _, other := range w.runs {
			if strings.Contains(other.spec, "disturbs") {
				figure += addedLatency * other.pace / 100
			}
		}
	case strings.Contains(r.spec, "disturbs"):
		figure = disturbingCPUs * r.pace / 100
	}
	return [5]any{r.task, r.number, r.checkpoint, percent, figure}
}

// hold answers with both lists, once an end is listed or the wait is over. The caller holds w.mu.
func (w *Worker) hold(rw http.ResponseWriter, r *http.Request, c call) {
	kept := w.ended[:0:0]
	for _, e := range w.ended {
		if e[0].(int) > c.Seen {
			kept = append(kept, e)
		}
	}
	w.ended = kept
	timer := time.NewTimer(min(time.Duration(c.Wait)*time.Millisecond, maxHoldWait))
	defer timer.Stop()
	for waiting := c.Wait > 0; waiting && len(w.ended) == 0; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		w.mu.Lock()
	}
	if r.Context().Err() != nil {
		return
	}
	running := [][5]any{}
	for _, run := range w.runs {
		running = append(running, w.row(run))
	}
	ended := w.ended[:min(len(w.ended), maxEnds)]
	if ended == nil {
		ended = [][5]any{}
	}
	reply(rw, http.StatusOK, map[string]any{
		"born": w.started.UnixMilli(), "clock_ms": w.clock(time.Now()).Milliseconds(), "running": running, "ended": ended,
	})
}
