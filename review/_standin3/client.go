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

const (
	clientTimeout = 3 * time.Second
	clientTries   = 5
)

// client is a client of the system. Each try goes to another entry, as behind the balancer.
type client struct {
	s    *system
	http *http.Client
	rng  *rand.Rand
}

func newClient(s *system, seed uint64) *client {
	return &client{s, &http.Client{Timeout: clientTimeout}, rand.New(rand.NewPCG(seed, 51))}
}

func (c *client) id() string { return fmt.Sprintf("%016x", c.rng.Uint64()) }

// call makes one try at an entry. The status is 0 if there was no response.
func (c *client) call(entry int, method, path string, body []byte) (int, []byte) {
	p := c.s.entries[entry%len(c.s.entries)]
	url := fmt.Sprintf("http://%s:%d%s%s", p.ip, frontPort, prefix, path)
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", "3000")
	resp, err := c.http.Do(req)
	if err != nil {
		c.s.rec.add("%s %s at %s: no response", method, path, p.name)
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	c.s.rec.add("%s %s at %s: %d %s", method, path, p.name, resp.StatusCode, data)
	return resp.StatusCode, data
}

// repeat makes tries until one gets a final answer.
func (c *client) repeat(method, path string, body []byte) (int, []byte) {
	first := c.rng.IntN(len(c.s.entries))
	for try := range clientTries {
		status, data := c.call(first+try, method, path, body)
		switch status {
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusServiceUnavailable, http.StatusTooManyRequests:
			time.Sleep(300 * time.Millisecond)
			continue
		}
		return status, data
	}
	return 0, nil
}

// submit hands a job in and reports whether it was accepted.
func (c *client) submit(id string, job map[string]any) bool {
	body, err := json.Marshal(job)
	if err != nil {
		panic(err) // cannot happen
	}
	status, _ := c.repeat(http.MethodPost, id, body)
	return status/100 == 2
}

// state asks for the state of a job. It is empty if there is no answer, "410" if no such job exists.
func (c *client) state(id string) string {
	status, data := c.repeat(http.MethodGet, id, nil)
	if status == http.StatusGone {
		return "410"
	}
	var v struct {
		State string `json:"state"`
	}
	if json.Unmarshal(data, &v) != nil {
		return ""
	}
	return v.State
}
