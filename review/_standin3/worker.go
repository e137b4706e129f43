package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"
)

// Bounds of the pages for workers.
const (
	beatInterval   = 1100 * time.Millisecond
	holdMax        = 10 * time.Second
	stopTime       = 100 * time.Millisecond
	gangTimeout    = 3 * time.Second
	advanceEvery   = 5 * time.Millisecond
	gangNews       = 20 * time.Millisecond
	greyTime       = 100 * time.Millisecond
	maxEnds        = 500
	lastingStartup = 300 * time.Millisecond
	clockOffset    = 1000 // milliseconds that a new worker's clock shows
)

// worker is a stand-in for a worker and its successive incarnations.
type worker struct {
	f        *fleet
	addr     netip.AddrPort
	registry netip.AddrPort
	cpu      int
	memory   int
	zone     string
	rack     string
	// grey is set while the worker fails all that it starts. It is guarded by f.mu.
	grey     bool
	server   *http.Server
	stopBeat context.CancelFunc
	// The fields below are guarded by f.mu. An incarnation has them to itself.
	up       bool
	id       string
	born     time.Time
	fence    uint64
	deadline int64
	runs     map[string]*run
	highest  map[string]int
	ended    []*endRow
	count    int
	lives    int
	changed  chan struct{}
}

type run struct {
	w        *worker
	task     string
	number   int
	b        behaviour
	started  time.Time
	stopping time.Time
}

type endRow struct {
	n    int
	task string
	run  int
	how  string
}

// boot starts an incarnation under a new id.
func (w *worker) boot() error {
	ln, err := net.Listen("tcp", w.addr.String())
	if err != nil {
		return err
	}
	w.f.mu.Lock()
	w.lives++
	w.id = fmt.Sprintf("i-%08x%02x", w.addr.Addr().As4(), w.lives)
	w.born, w.up = time.Now(), true
	w.fence, w.deadline, w.runs, w.highest, w.ended, w.count = 0, 0, map[string]*run{}, map[string]int{}, nil, 0
	w.changed = make(chan struct{})
	w.server = &http.Server{Handler: w}
	server := w.server
	ctx, cancel := context.WithCancel(context.Background())
	w.stopBeat = cancel
	w.f.mu.Unlock()
	w.f.rec.add("worker %s is up as %s", w.addr, w.id)
	go server.Serve(ln)
	go w.beat(ctx)
	go w.advanceLoop(ctx)
	return nil
}

// crash ends the incarnation without a word.
func (w *worker) crash() {
	w.f.mu.Lock()
	if !w.up {
		w.f.mu.Unlock()
		return
	}
	w.up = false
	w.f.rec.add("worker %s (%s) crashes with %d runs", w.addr, w.id, len(w.runs))
	for _, r := range w.runs {
		w.f.note(r.task, "lost with its worker")
		w.breakGang(r)
	}
	w.runs = map[string]*run{}
	w.stopBeat()
	server := w.server
	w.f.mu.Unlock()
	server.Close()
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() + clockOffset }

// beat sends heartbeats to the agent.
func (w *worker) beat(ctx context.Context) {
	for seq := 1; ctx.Err() == nil; seq++ {
		w.f.mu.Lock()
		body, err := json.Marshal(map[string]any{
			"service": service, "address": w.addr.String(), "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
			"capacity": map[string]int{"cpu": w.cpu, "mem_mb": w.memory, "gpus": 0}, "labels": []string{"a", w.rack},
			"clock_ms": w.clock(), "seq": seq, "born": w.born.UnixMilli(),
		})
		url := "http://" + w.registry.String() + "/Instances.Heartbeat/" + w.id
		w.f.mu.Unlock()
		if err == nil {
			post(ctx, url, body)
		}
		pause(ctx, beatInterval)
	}
}

func post(ctx context.Context, url string, body []byte) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return
	}
	resp, err := http.DefaultClient.Do(req)
	if err == nil {
		resp.Body.Close()
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (w *worker) advanceLoop(ctx context.Context) {
	for ctx.Err() == nil {
		w.f.mu.Lock()
		if ctx.Err() == nil {
			w.advance()
		}
		w.f.mu.Unlock()
		pause(ctx, advanceEvery)
	}
}

// advance ends the runs whose time has come. The caller holds f.mu.
func (w *worker) advance() {
	now := time.Now()
	lapsed := w.clock() > w.deadline
	for _, r := range w.runs {
		g := w.f.gangs[gangKey(r)]
		switch {
		case lapsed:
			w.end(r, "lapsed")
		case !r.stopping.IsZero() && now.Sub(r.stopping) >= stopTime:
			w.end(r, "stopped")
		case r.b.gang > 0 && g.over == "done":
			w.vanish(r)
		case w.grey && now.Sub(r.started) >= greyTime:
			w.end(r, "failed")
		case r.b.gang > 0 && g.heard():
			w.end(r, "broken")
		case r.b.gang > 0 && g.began.IsZero():
			if now.Sub(r.started) > gangTimeout {
				w.end(r, "alone")
			}
		case r.b.work > 0 && now.Sub(r.began()) >= r.b.work:
			w.end(r, "done")
		}
	}
}

// began returns when a run began to work.
func (r *run) began() time.Time {
	if r.b.gang > 0 {
		return r.w.f.gangs[gangKey(r)].began
	}
	return r.started
}

// end lists the end of a run.
func (w *worker) end(r *run, how string) {
	w.count++
	w.ended = append(w.ended, &endRow{n: w.count, task: r.task, run: r.number, how: how})
	w.f.note(r.task, how)
	w.f.rec.add("run %s/%d ends %s at %s", r.task, r.number, how, w.id)
	w.f.gangs[gangKey(r)].finish(how)
	w.vanish(r)
	close(w.changed)
	w.changed = make(chan struct{})
}

// vanish removes a run without an end of its own.
func (w *worker) vanish(r *run) {
	delete(w.runs, key(r.task, r.number))
	w.highest[r.task] = max(w.highest[r.task], r.number)
}

func (w *worker) breakGang(r *run) { w.f.gangs[gangKey(r)].finish("lost") }

func key(task string, number int) string { return task + "/" + strconv.Itoa(number) }
