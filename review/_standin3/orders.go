package main

import (
	"encoding/json"
	"net/http"
	"time"
)

// order is the body of a call to a worker.
type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Fence    uint64 `json:"fencing_token"`
	Seen     int    `json:"last_seen"`
	Wait     int    `json:"wait_ms"`
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	expect := r.Header.Get("X-Expect-Instance")
	switch {
	case !w.up:
		panic(http.ErrAbortHandler)
	case expect != "" && expect != w.id:
		w.answer(rw, http.StatusMisdirectedRequest, "")
		return
	case o.Fence < w.fence:
		w.answer(rw, http.StatusConflict, "fence")
		return
	}
	w.fence = o.Fence
	w.advance()
	switch r.URL.Path {
	case "/run-start":
		w.start(rw, &o)
	case "/run-stop":
		w.stop(&o)
		w.answer(rw, http.StatusOK, "")
	case "/pace":
		w.answer(rw, http.StatusOK, "")
	case "/hold":
		w.hold(rw, r, &o)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (w *worker) stop(o *order) {
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if present := w.runs[key(o.Task, o.Run)]; present != nil && present.stopping.IsZero() {
		present.stopping = time.Now()
	}
}

func (w *worker) answer(rw http.ResponseWriter, status int, reason string) {
	body := map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli()}
	if reason != "" {
		body["reason"] = reason
	}
	reply(rw, status, body)
}

func (w *worker) extend(deadline int64) {
	w.deadline = max(w.deadline, min(deadline, w.clock()+holdMax.Milliseconds()))
}

func (w *worker) start(rw http.ResponseWriter, o *order) {
	w.extend(o.Deadline)
	switch {
	case w.runs[key(o.Task, o.Run)] != nil:
		w.answer(rw, http.StatusOK, "")
		return
	case o.Run <= w.highest[o.Task]:
		w.answer(rw, http.StatusConflict, "old")
		return
	case w.clock() > o.Deadline:
		w.answer(rw, http.StatusConflict, "late")
		return
	}
	id, _, step, index := parts(o.Task)
	b, known := w.f.tasks[id+"."+step]
	if !known {
		w.f.rec.add("run %s/%d is started, which nobody sent", o.Task, o.Run)
	}
	r := &run{w: w, task: o.Task, number: o.Run, b: b, started: time.Now()}
	w.runs[key(o.Task, o.Run)] = r
	w.f.rec.add("run %s/%d starts at %s", o.Task, o.Run, w.id)
	if b.gang > 0 {
		w.f.join(r, index)
	}
	w.answer(rw, http.StatusOK, "")
}

// hold responds to a poll. It waits for an end as long as the poll asks for.
func (w *worker) hold(rw http.ResponseWriter, r *http.Request, o *order) {
	if o.Deadline > 0 {
		w.extend(o.Deadline)
	}
	for len(w.ended) > 0 && w.ended[0].n <= o.Seen {
		w.ended = w.ended[1:]
	}
	until := time.After(time.Duration(o.Wait) * time.Millisecond)
	born := w.born
wait:
	for len(w.ended) == 0 && o.Wait > 0 {
		changed := w.changed
		w.f.mu.Unlock()
		over := false
		select {
		case <-changed:
		case <-until:
			over = true
		case <-r.Context().Done():
			over = true
		}
		w.f.mu.Lock()
		if !w.up || w.born != born {
			panic(http.ErrAbortHandler)
		}
		if over {
			break wait
		}
	}
	running, ended := [][]any{}, [][]any{}
	for _, p := range w.runs {
		running = append(running, []any{p.task, p.number, "", p.percent(), p.measure()})
	}
	for _, e := range w.ended[:min(len(w.ended), maxEnds)] {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
	}
	reply(rw, http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli(), "running": running, "ended": ended})
}

func (r *run) percent() int {
	began := r.began()
	switch {
	case began.IsZero():
		return 0
	case r.b.lasting:
		if time.Since(began) < lastingStartup {
			return 0
		}
		return 100
	}
	return min(100, int(100*time.Since(began)/r.b.work))
}

// measure returns the rough figure of the last half second.
func (r *run) measure() int {
	if r.b.lasting {
		return 5
	}
	return 900
}
