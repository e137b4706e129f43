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
	// submitInterval is the mean time between the submissions of two jobs.
	submitInterval = 120 * time.Millisecond
	// maxSubmits is the number of times that a caller tries to submit a job.
	maxSubmits = 6
	// retryInterval is the time between two tries of a request.
	retryInterval = 250 * time.Millisecond
	// requestTimeout is how long a caller waits for a response.
	requestTimeout = 3 * time.Second
	// visibilityDelay is the time after a job's acceptance within which an entry may not know
	// the job yet.
	visibilityDelay = 3 * time.Second
	// cancelShare is the fraction of the accepted jobs that are cancelled.
	cancelShare = 0.1
	// tasksPerStep is the number of tasks in each of the two steps of jobSpec.
	tasksPerStep = 3
)

// jobSpec is the description of each job. The second step starts after the first.
const jobSpec = `{"spec":"assign numbers","steps":[{"count":3,"cpu":1000,"mem_mb":1000,"estimate_ms":200},` +
	`{"count":3,"cpu":1000,"mem_mb":1000,"estimate_ms":200,"after":[0]}]}`

// job is what a caller knows about a job that it submitted.
type job struct {
	id string
	// acceptedAt is the time at which an entry accepted the job, zero if none did.
	acceptedAt time.Time
	// refused is set if an entry explicitly refused the job at every try.
	refused bool
	// cancelledAt is the time of the first request to cancel, zero if none was sent.
	cancelledAt time.Time
	// completed is set once an entry reported the job as completed.
	completed bool
}

// callers submits jobs over persistent connections, records the responses and checks them.
type callers struct {
	fleet  *fleet
	client *http.Client

	// mu guards the fields below, and is held while the fields of a job are written.
	mu   sync.Mutex
	jobs []*job
	// faults describes the violations that were found.
	faults []string
}

func newCallers(f *fleet) *callers {
	return &callers{fleet: f, client: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
}

func (c *callers) addFault(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = append(c.faults, time.Now().Format("05.000")+": "+fmt.Sprintf(format, args...))
}

// call sends one request and returns the status and body of the response. The status is 0 if
// there is no complete response.
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

// submitJobs submits jobs until ctx ends, then waits until every job was accepted or given up
// and every cancellation is confirmed.
func (c *callers) submitJobs(ctx context.Context, rng *rand.Rand) {
	var wg sync.WaitGroup
	for ctx.Err() == nil {
		j := &job{id: fmt.Sprintf("%016x", rng.Uint64())}
		c.mu.Lock()
		c.jobs = append(c.jobs, j)
		c.mu.Unlock()
		jobRNG := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.submit(context.WithoutCancel(ctx), j, jobRNG)
		}()
		sleep(ctx, time.Duration(rng.ExpFloat64()*float64(submitInterval)))
	}
	wg.Wait()
}

// submit submits a job until an entry accepts it or maxSubmits tries have failed. It cancels
// a random part of the accepted jobs.
func (c *callers) submit(ctx context.Context, j *job, rng *rand.Rand) {
	refused := true
	for range maxSubmits {
		status, _ := c.call(ctx, pick(rng, c.fleet.entries), http.MethodPost, prefix+j.id, jobSpec)
		if status == http.StatusOK {
			c.update(func() { j.acceptedAt = time.Now() })
			break
		}
		refused = refused && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests)
		sleep(ctx, retryInterval)
	}
	c.update(func() { j.refused = refused && j.acceptedAt.IsZero() })
	if !j.acceptedAt.IsZero() && rng.Float64() < cancelShare {
		sleep(ctx, time.Duration(rng.Int64N(int64(time.Second))))
		c.update(func() { j.cancelledAt = time.Now() })
		c.cancel(ctx, j, rng)
	}
}

// cancel repeats the request to cancel a job until an entry has carried it out or does not
// know the job any more.
func (c *callers) cancel(ctx context.Context, j *job, rng *rand.Rand) {
	for {
		status, _ := c.call(ctx, pick(rng, c.fleet.entries), http.MethodDelete, prefix+j.id, "")
		if status == http.StatusOK || status == http.StatusGone {
			return
		}
		sleep(ctx, retryInterval)
	}
}

// update calls f with mu locked.
func (c *callers) update(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

// pendingJobs returns the jobs that were accepted, were not cancelled and are not known to be
// completed.
func (c *callers) pendingJobs() []*job {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*job
	for _, j := range c.jobs {
		if !j.acceptedAt.IsZero() && j.cancelledAt.IsZero() && !j.completed {
			list = append(list, j)
		}
	}
	return list
}

// checkJob reads a job's state at an entry and checks the response.
func (c *callers) checkJob(ctx context.Context, e *entry, j *job) {
	status, data := c.call(ctx, e, http.MethodGet, prefix+j.id, "")
	var response struct {
		State string `json:"state"`
	}
	switch {
	case status == http.StatusGone && time.Since(j.acceptedAt) > visibilityDelay:
		c.addFault("%s does not know job %s, accepted %s ago", e.name, j.id, time.Since(j.acceptedAt))
	case status != http.StatusOK:
	case json.Unmarshal(data, &response) != nil:
		c.addFault("%s responds for job %s with invalid JSON %q", e.name, j.id, data)
	case response.State == "completed":
		c.completed(e, j)
	case response.State == "failed" || response.State == "cancelled":
		c.update(func() {
			if !j.cancelledAt.IsZero() {
				return
			}
			c.faults = append(c.faults, fmt.Sprintf("%s reports job %s as %s", e.name, j.id, response.State))
		})
	}
}

// completed records that an entry reported a job as completed, and checks that all its tasks
// are done.
func (c *callers) completed(e *entry, j *job) {
	for step := range 2 {
		for i := range tasksPerStep {
			if task := fmt.Sprintf("%s.0.%d.%d", j.id, step, i); !c.fleet.witness.Done(task) {
				c.addFault("%s reports job %s as completed, but task %s is not done", e.name, j.id, task)
			}
		}
	}
	c.update(func() { j.completed = true })
}
