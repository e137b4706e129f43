package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// submitEvery is the mean time between two jobs of a caller.
	submitEvery = 120 * time.Millisecond
	// tries bounds how often a caller hands in a job.
	tries = 6
	// retryEvery spaces the tries.
	retryEvery = 250 * time.Millisecond
	// deadline is how long a caller waits for an answer.
	deadline = 3 * time.Second
	// visible is how long after its acceptance a job may be unknown.
	visible = 3 * time.Second
	// cancelShare is the part of the jobs that are cancelled.
	cancelShare = 0.1
	// width is the number of tasks of each of a job's two steps.
	width = 3
)

const work = `{"spec":"assign numbers","steps":[{"count":3,"cpu":1000,"mem_mb":1000,"estimate_ms":200},` +
	`{"count":3,"cpu":1000,"mem_mb":1000,"estimate_ms":200,"after":[0]}]}`

// job is what a caller knows of a job that it handed in.
type job struct {
	id string
	// accepted is when an entry said so, zero if none did.
	accepted time.Time
	// refused is set if every try was refused in so many words.
	refused bool
	// cancelled is when a cancelling was sent, zero if none was.
	cancelled time.Time
	// completed is set once an entry said so.
	completed bool
}

// callers hand in jobs over connections that they keep, and remember what they were told.
type callers struct {
	fleet  *fleet
	client *http.Client

	mu     sync.Mutex
	jobs   []*job
	faults []string
}

func newCallers(f *fleet) *callers {
	return &callers{fleet: f, client: &http.Client{Timeout: deadline, Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
}

func (c *callers) fault(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = append(c.faults, time.Now().Format("05.000")+": "+fmt.Sprintf(format, args...))
}

// call sends one request and returns status and body; status 0 if there is no answer.
func (c *callers) call(ctx context.Context, e *entry, method, path, body string) (int, []byte) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.callers.String()+path, bytes.NewBufferString(body))
	if err != nil {
		return 0, nil
	}
	req.Host = host
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

// load hands in jobs until ctx ends.
func (c *callers) load(ctx context.Context, rng *rand.Rand) {
	var wg sync.WaitGroup
	for ctx.Err() == nil {
		j := &job{id: fmt.Sprintf("%016x", rng.Uint64())}
		c.mu.Lock()
		c.jobs = append(c.jobs, j)
		c.mu.Unlock()
		one := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.submit(context.WithoutCancel(ctx), j, one)
		}()
		pause(ctx, time.Duration(rng.ExpFloat64()*float64(submitEvery)))
	}
	wg.Wait()
}

// submit hands in a job until an entry answers for good, and cancels some.
func (c *callers) submit(ctx context.Context, j *job, rng *rand.Rand) {
	refused := true
	for range tries {
		status, _ := c.call(ctx, pick(rng, c.fleet.entries), http.MethodPost, prefix+j.id, work)
		if status == http.StatusOK {
			c.update(func() { j.accepted = time.Now() })
			break
		}
		refused = refused && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests)
		pause(ctx, retryEvery)
	}
	c.update(func() { j.refused = refused && j.accepted.IsZero() })
	if !j.accepted.IsZero() && rng.Float64() < cancelShare {
		pause(ctx, time.Duration(rng.Int64N(int64(time.Second))))
		c.update(func() { j.cancelled = time.Now() })
		c.cancel(ctx, j, rng)
	}
}

func (c *callers) cancel(ctx context.Context, j *job, rng *rand.Rand) {
	for {
		status, _ := c.call(ctx, pick(rng, c.fleet.entries), http.MethodDelete, prefix+j.id, "")
		if status == http.StatusOK || status == http.StatusGone {
			return
		}
		pause(ctx, retryEvery)
	}
}

func (c *callers) update(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

// open returns the jobs that were accepted, not cancelled, and not shown as completed.
func (c *callers) open() []*job {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*job
	for _, j := range c.jobs {
		if !j.accepted.IsZero() && j.cancelled.IsZero() && !j.completed {
			list = append(list, j)
		}
	}
	return list
}

// look asks an entry for a job's state and checks the answer.
func (c *callers) look(ctx context.Context, e *entry, j *job) {
	status, data := c.call(ctx, e, http.MethodGet, prefix+j.id, "")
	var answer struct {
		State string `json:"state"`
	}
	switch {
	case status == http.StatusGone && time.Since(j.accepted) > visible:
		c.fault("%s does not know job %s, accepted %s ago", e.name, j.id, time.Since(j.accepted))
	case status != http.StatusOK:
	case json.Unmarshal(data, &answer) != nil:
		c.fault("%s answers for job %s with %q", e.name, j.id, data)
	case answer.State == "completed":
		c.completed(e, j)
	case answer.State == "failed" || answer.State == "cancelled":
		c.update(func() {
			if !j.cancelled.IsZero() {
				return
			}
			c.faults = append(c.faults, fmt.Sprintf("%s shows job %s as %s", e.name, j.id, answer.State))
		})
	}
}

// completed checks that all tasks of a job that is shown as completed are done.
func (c *callers) completed(e *entry, j *job) {
	for step := range 2 {
		for i := range width {
			if task := fmt.Sprintf("%s.0.%d.%d", j.id, step, i); !c.fleet.witness.Done(task) {
				c.fault("%s shows job %s as completed, and %s is not done", e.name, j.id, task)
			}
		}
	}
	c.update(func() { j.completed = true })
}
