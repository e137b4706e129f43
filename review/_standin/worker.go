package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1100 * time.Millisecond
	// maxHold is the longest lease.
	maxHold = 10 * time.Second
	// stopTime is how long a run takes to stop.
	stopTime = 100 * time.Millisecond
	// pollStep is how often a waiting response looks for ends.
	pollStep = 2 * time.Millisecond
)

// event is a line that a worker writes for the driver when a run starts or ends.
type event struct {
	Unix   int64  `json:"unix_ms"`
	Worker string `json:"worker"`
	Born   int64  `json:"born"`
	Task   string `json:"task"`
	Run    uint32 `json:"run"`
	What   string `json:"what"`
}

type run struct {
	task      string
	number    uint32
	startedAt time.Time
	work      time.Duration // 0 for a task that lasts
	stopping  time.Time
}

type end struct {
	number int64
	task   string
	run    uint32
	how    string
}

// worker is a worker process. A killed one keeps nothing.
type worker struct {
	id, service, label string
	cpu, memory        int64
	startedAt          time.Time

	mu       sync.Mutex
	token    uint64
	deadline time.Duration
	runs     []*run
	over     map[string]uint32 // the highest run of each task that was stopped or has ended
	ended    []end
	ends     int64
	// refusing is set while the worker is unhealthy: it answers orders to start with 503 and
	// does nothing.
	refusing bool
}

func serveWorker(addr, registry, id, service, label string, cpu, memory int64) {
	w := &worker{id: id, service: service, label: label, cpu: cpu, memory: memory, startedAt: time.Now(), over: map[string]uint32{}}
	m := http.NewServeMux()
	m.HandleFunc("POST /run-start", w.handle(w.start))
	m.HandleFunc("POST /run-stop", w.handle(w.stop))
	m.HandleFunc("POST /hold", w.handle(w.hold))
	m.HandleFunc("POST /pace", w.handle(func(*order) (int, map[string]any) { return http.StatusOK, map[string]any{} }))
	m.HandleFunc("POST /unhealthy", func(_ http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.refusing = r.URL.Query().Get("on") == "true"
	})
	go w.sendHeartbeats(addr, registry)
	go func() {
		for range time.Tick(pollStep) {
			w.mu.Lock()
			w.advance()
			w.mu.Unlock()
		}
	}()
	fail(http.ListenAndServe(addr, m).Error())
}

// clock returns the worker's steady clock.
func (w *worker) clock() time.Duration { return time.Since(w.startedAt) + time.Second }

func (w *worker) sendHeartbeats(addr, registry string) {
	client := http.Client{Timeout: time.Second}
	for seq := 1; ; seq++ {
		body, err := json.Marshal(map[string]any{
			"service": w.service, "address": addr, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
			"capacity": map[string]int64{"cpu": w.cpu, "mem_mb": w.memory, "gpus": 0},
			"labels":   []string{w.label, "r1-1"}, "clock_ms": w.clock().Milliseconds(), "seq": seq, "born": w.startedAt.UnixMilli(),
		})
		if err != nil {
			fail(err.Error())
		}
		resp, err := client.Post("http://"+registry+"/Instances.Heartbeat/"+w.id, "application/json", bytes.NewReader(body))
		if err != nil {
			time.Sleep(50 * time.Millisecond) // the agent may be starting
			continue
		}
		resp.Body.Close()
		time.Sleep(heartbeatInterval)
	}
}

// order is the union of the bodies of all calls.
type order struct {
	Task     string `json:"task"`
	Run      uint32 `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Token    uint64 `json:"fencing_token"`
	Seen     int64  `json:"last_seen"`
	Wait     int64  `json:"wait_ms"`
}

// handle decodes a call, checks whom it is for and its fencing token, and calls f.
func (w *worker) handle(f func(*order) (int, map[string]any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		w.advance()
		status, body := http.StatusConflict, map[string]any{"reason": "fence"}
		switch id := r.Header.Get("X-Expect-Instance"); {
		case id != "" && id != w.id:
			status, body = http.StatusMisdirectedRequest, map[string]any{}
		case o.Token >= w.token:
			w.token = o.Token
			status, body = f(&o)
		}
		body["clock_ms"], body["born"] = w.clock().Milliseconds(), w.startedAt.UnixMilli()
		reply(rw, status, body)
	}
}

// extend extends the lease, to maxHold from now at most.
func (w *worker) extend(ms int64) {
	d := min(time.Duration(ms)*time.Millisecond, w.clock()+maxHold)
	w.deadline = max(w.deadline, d)
}

func (w *worker) start(o *order) (int, map[string]any) {
	if w.refusing {
		return http.StatusServiceUnavailable, map[string]any{}
	}
	w.extend(o.Deadline)
	for _, r := range w.runs {
		if r.task == o.Task && r.number == o.Run {
			return http.StatusOK, map[string]any{}
		}
	}
	if o.Run <= w.over[o.Task] {
		return http.StatusConflict, map[string]any{"reason": "old"}
	}
	if time.Duration(o.Deadline)*time.Millisecond < w.clock() {
		return http.StatusConflict, map[string]any{"reason": "late"}
	}
	r := &run{task: o.Task, number: o.Run, startedAt: time.Now(), work: workOf(o.Spec)}
	w.runs = append(w.runs, r)
	w.record(r, "start")
	return http.StatusOK, map[string]any{}
}

// workOf returns the run time that a spec like "work 800ms" names, 0 for a task that lasts.
func workOf(spec string) time.Duration {
	d, err := time.ParseDuration(strings.TrimPrefix(spec, "work "))
	if err != nil {
		return 0
	}
	return d
}

func (w *worker) stop(o *order) (int, map[string]any) {
	w.over[o.Task] = max(w.over[o.Task], o.Run)
	for _, r := range w.runs {
		if r.task == o.Task && r.number == o.Run && r.stopping.IsZero() {
			r.stopping = time.Now()
		}
	}
	return http.StatusOK, map[string]any{}
}

func (w *worker) hold(o *order) (int, map[string]any) {
	if o.Deadline > 0 {
		w.extend(o.Deadline)
	}
	for len(w.ended) > 0 && w.ended[0].number <= o.Seen {
		w.ended = w.ended[1:]
	}
	for until := time.Now().Add(time.Duration(min(o.Wait, 2000)) * time.Millisecond); len(w.ended) == 0 && time.Now().Before(until); {
		w.mu.Unlock()
		time.Sleep(pollStep)
		w.mu.Lock()
		w.advance()
	}
	running, ended := [][]any{}, [][]any{}
	for _, r := range w.runs {
		percent := 100
		if r.work > 0 {
			percent = int(min(99, 100*time.Since(r.startedAt)/r.work))
		}
		running = append(running, []any{r.task, r.number, "", percent, 0})
	}
	for _, e := range w.ended[:min(len(w.ended), 500)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	return http.StatusOK, map[string]any{"running": running, "ended": ended}
}

// advance ends the runs that are done, have stopped or have lost their lease.
func (w *worker) advance() {
	var left []*run
	for _, r := range w.runs {
		how := ""
		switch {
		case w.clock() > w.deadline:
			how = "lapsed"
		case !r.stopping.IsZero() && time.Since(r.stopping) >= stopTime:
			how = "stopped"
		case r.work > 0 && time.Since(r.startedAt) >= r.work:
			how = "done"
		}
		if how == "" {
			left = append(left, r)
			continue
		}
		w.ends++
		w.ended = append(w.ended, end{w.ends, r.task, r.number, how})
		w.over[r.task] = max(w.over[r.task], r.number)
		w.record(r, how)
	}
	w.runs = left
}

// record writes an event for the driver.
func (w *worker) record(r *run, what string) {
	data, err := json.Marshal(event{time.Now().UnixMilli(), w.id, w.startedAt.UnixMilli(), r.task, r.number, what})
	if err != nil {
		fail(err.Error())
	}
	fmt.Fprintln(os.Stdout, string(data))
}
