package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the advice of a queue.
const (
	decideTime  = 100 * time.Millisecond
	periodTime  = 20 * time.Millisecond
	adviceValid = 3 * time.Second
	// maxAdvised is the number of calls that may wait.
	maxAdvised = 32
)

// Advisor is a stand-in for the service that knows which workers may run a step.
type Advisor struct {
	rec *Recorder
	// serial is held while a call is decided: the service handles one call at a time for each
	// calling machine, and only one machine calls here at a time.
	serial sync.Mutex

	mu      sync.Mutex
	waiting int
	// barred holds the jobs that no worker may run.
	barred map[string]bool
	issued map[string]time.Time
}

func newAdvisor(rec *Recorder) *Advisor {
	return &Advisor{rec: rec, barred: map[string]bool{}, issued: map[string]time.Time{}}
}

// bar makes the policy allow no worker to run a job.
func (a *Advisor) bar(job string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.barred[job] = true
}

// ServeHTTP implements http.Handler.
func (a *Advisor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var b struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil || r.URL.Path != "/advise" {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	a.mu.Lock()
	if a.waiting >= maxAdvised {
		a.mu.Unlock()
		reply(w, http.StatusTooManyRequests, struct{}{})
		return
	}
	a.waiting++
	a.mu.Unlock()
	a.serial.Lock()
	time.Sleep(decideTime + time.Duration(len(b.Workers))*periodTime)
	a.serial.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting--
	job, _, _ := strings.Cut(b.Step, ".")
	good := [][2]string{}
	for _, id := range b.Workers {
		if !a.barred[job] {
			ticket := fmt.Sprintf("t-%s-%s-%d", b.Step, id, len(a.issued))
			a.issued[ticket] = time.Now()
			good = append(good, [2]string{id, ticket})
		}
	}
	a.rec.add("advice", "step", b.Step, "workers", len(b.Workers), "good", len(good))
	reply(w, http.StatusOK, map[string]any{"good": good, "valid_ms": adviceValid.Milliseconds()})
}

// admits reports whether a worker may start a task. Queues without advice need no ticket, which only
// the spec of this stand-in's jobs says.
func (a *Advisor) admits(worker string, c call) bool {
	if !strings.Contains(c.Spec, "advised") {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	step := c.Task[:strings.LastIndex(c.Task, ".")]
	at, known := a.issued[c.Ticket]
	return known && strings.HasPrefix(c.Ticket, "t-"+step+"-"+worker+"-") && time.Since(at) <= adviceValid
}
