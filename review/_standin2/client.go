package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// Client sends requests as the platform's clients do.
type Client struct {
	f    *Fleet
	http *http.Client
}

func newClient(f *Fleet) *Client {
	return &Client{f, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}}
}

// Answer is the outcome of a request. The status is 0 if there was no response.
type Answer struct {
	status  int
	state   string
	pending int
}

// deadline is how long clients wait for a response.
const deadline = 3 * time.Second

// Job is a submission.
type Job struct {
	id    string
	queue Queue
	Spec  string `json:"spec"`
	Steps []Step `json:"steps"`
}

// Step is a step of a job. Fields whose value is 0, false or empty are omitted.
type Step struct {
	Count         int    `json:"count,omitempty"`
	CPU           int64  `json:"cpu,omitempty"`
	Mem           int64  `json:"mem_mb,omitempty"`
	Estimate      int64  `json:"estimate_ms,omitempty"`
	After         []int  `json:"after,omitempty"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
	Fills         bool   `json:"fills,omitempty"`
	LongRunning   bool   `json:"long_running,omitempty"`
	Image         string `json:"image,omitempty"`
	Target        int64  `json:"target_ms,omitempty"`
	Apart         int    `json:"anti_affinity,omitempty"`
}

// chain returns n steps like s, each after the one before.
func chain(s Step, n int) []Step {
	steps := []Step{s}
	for i := range n - 1 {
		s.After = []int{i}
		steps = append(steps, s)
	}
	return steps
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// call sends one request to an entry and records both.
func (c *Client) call(entry int, method string, q Queue, id string, body any) Answer {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			panic(err)
		}
	}
	req, err := http.NewRequest(method, "http://"+c.f.entries[entry]+q.prefix()+id, bytes.NewReader(data))
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	sent := time.Now()
	client := *c.http
	client.Timeout = deadline
	var a Answer
	if resp, err := client.Do(req); err == nil {
		text, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		var b struct {
			State   string `json:"state"`
			Pending int    `json:"pending"`
		}
		if err == nil {
			a.status = resp.StatusCode
			if json.Unmarshal(text, &b) == nil {
				a.state, a.pending = b.State, b.Pending
			}
		}
	}
	c.f.rec.add("request", "method", method, "entry", entry, "queue", q.name, "job", id, "status", a.status, "state", a.state, "pending", a.pending, "ms", time.Since(sent).Milliseconds())
	return a
}

// submit hands a job in with up to four retries at other entries, and reports whether it was accepted.
func (c *Client) submit(j Job) bool {
	first := rand.IntN(len(c.f.entries))
	for try := range 5 {
		a := c.call((first+try)%len(c.f.entries), http.MethodPost, j.queue, j.id, j)
		switch {
		case a.status/100 == 2:
			return true
		case a.status == http.StatusNotFound:
			return false
		}
		time.Sleep(time.Second)
	}
	return false
}

// state asks for a job's state, with up to four retries.
func (c *Client) state(j Job) Answer {
	var a Answer
	first := rand.IntN(len(c.f.entries))
	for try := range 5 {
		a = c.call((first+try)%len(c.f.entries), http.MethodGet, j.queue, j.id, nil)
		if a.status == http.StatusOK || a.status == http.StatusGone {
			return a
		}
		time.Sleep(time.Second)
	}
	return a
}
