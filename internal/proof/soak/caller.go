package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// submitInterval is the mean time between the submissions of two jobs to a fleet of
	// usualVMs VMs or fewer. A larger one gets more, in proportion.
	submitInterval = 120 * time.Millisecond
	usualVMs       = 16
	// overloadPerVM is how many jobs per second an overload submits for each VM, maxOverload the
	// limit for all of them.
	overloadPerVM, maxOverload = 6, 300
	// maxSubmits is the number of times that a caller tries to submit a job.
	maxSubmits = 6
	// retryInterval is the time between two tries of a request.
	retryInterval = 250 * time.Millisecond
	// requestTimeout is how long a caller waits for a response, cancelTimeout how long for that
	// to a cancellation.
	requestTimeout, cancelTimeout = 3 * time.Second, 6 * time.Second
	// visibilityDelay is the time after a job's acceptance within which an entry may not know
	// the job yet.
	visibilityDelay = 3 * time.Second
	// promptShare is the fraction of the cancellations that follow the acceptance within
	// minCancelWait to maxPromptWait. The others follow within maxCancelWait.
	promptShare                                 = 0.8
	minCancelWait, maxPromptWait, maxCancelWait = 5 * time.Millisecond, 2 * time.Second, 5 * time.Second
	// toPausedShare is the fraction of the cancellations that go to a paused entry, if there is
	// one.
	toPausedShare = 0.7
	// copyShare is the fraction of the accepted and of the cancelled jobs whose submission
	// arrives again, minCopyWait to maxCopyWait later.
	copyShare                = 0.3
	minCopyWait, maxCopyWait = 500 * time.Millisecond, 4500 * time.Millisecond
	// openConnections is the number of connections to each entry that callers keep open.
	openConnections = 64
)

// callers submits jobs over persistent connections, records the responses and checks them.
type callers struct {
	fleet  *fleet
	jobs   *jobList
	client *http.Client
}

func newCallers(f *fleet) *callers {
	return &callers{f, &f.jobs, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: openConnections}}}
}

// call sends one request and returns the status and body of the response. The status is 0 if
// there is no complete response within the timeout.
func (c *callers) call(ctx context.Context, timeout time.Duration, e *entry, method, path, body string) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
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
func (c *callers) submitJobs(ctx context.Context, rng *rand.Rand) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		s, interval := pickShape(rng), submitInterval*usualVMs/time.Duration(max(usualVMs, len(c.fleet.vms)))
		if c.fleet.overloads.Load() > 0 {
			s, interval = &wholeVM, time.Second/time.Duration(min(overloadPerVM*len(c.fleet.vms), maxOverload))
		}
		j, err := newJob(rng, s)
		if err != nil {
			return err
		}
		c.jobs.add(j)
		jobRNG := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		wg.Go(func() { c.handle(context.WithoutCancel(ctx), j, jobRNG) })
		sleep(ctx, time.Duration(rng.ExpFloat64()*float64(interval)))
	}
	return nil
}

// handle submits a job, cancels a part of the jobs, and lets copies of submissions arrive late.
func (c *callers) handle(ctx context.Context, j *job, rng *rand.Rand) {
	accepted := c.submit(ctx, j, rng)
	if accepted && rng.Float64() < copyShare {
		copyRNG := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		var wg sync.WaitGroup
		defer wg.Wait()
		wg.Go(func() { c.repeat(ctx, j, copyRNG) })
	}
	if j.refused || (!accepted && !j.lasts()) || rng.Float64() >= j.shape.cancelled {
		return
	}
	wait := maxCancelWait
	if rng.Float64() < promptShare {
		wait = maxPromptWait
	}
	sleep(ctx, between(rng, minCancelWait, wait))
	c.cancel(ctx, j, rng)
	if accepted && rng.Float64() < copyShare {
		c.repeat(ctx, j, rng)
	}
}

// between returns a random duration of at least low and less than high.
func between(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)))
}

// submit submits a job until an entry accepts it or maxSubmits tries have failed, and reports
// whether one has accepted it.
func (c *callers) submit(ctx context.Context, j *job, rng *rand.Rand) bool {
	refused := true
	for range maxSubmits {
		status, _ := c.call(ctx, requestTimeout, pick(rng, c.fleet.entries), http.MethodPost, prefix+j.id, j.body)
		if status == http.StatusOK {
			c.jobs.update(func() { j.acceptedAt = time.Now() })
			return true
		}
		refused = refused && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests)
		sleep(ctx, retryInterval)
	}
	c.jobs.update(func() { j.refused = refused })
	return false
}

// repeat lets a copy of a job's submission arrive late. It remains one job.
func (c *callers) repeat(ctx context.Context, j *job, rng *rand.Rand) {
	sleep(ctx, between(rng, minCopyWait, maxCopyWait))
	c.call(ctx, requestTimeout, pick(rng, c.fleet.entries), http.MethodPost, prefix+j.id, j.body)
}

// cancel repeats the request to cancel a job until an entry has carried it out or does not
// know the job any more. The job counts as cancelled then, unless it may not have been accepted
// before.
func (c *callers) cancel(ctx context.Context, j *job, rng *rand.Rand) {
	c.jobs.update(func() { j.cancelledAt = time.Now() })
	for {
		status, _ := c.call(ctx, cancelTimeout, c.cancelTarget(rng), http.MethodDelete, prefix+j.id, "")
		if status == http.StatusOK || status == http.StatusGone {
			c.jobs.update(func() {
				if status == http.StatusOK || !j.acceptedAt.IsZero() {
					j.GoneAt, j.GoneStatus = time.Now(), status
				}
			})
			return
		}
		sleep(ctx, retryInterval)
	}
}

// cancelTarget returns the entry that gets a cancellation.
func (c *callers) cancelTarget(rng *rand.Rand) *entry {
	var paused []*entry
	for _, e := range c.fleet.entries {
		if e.pauses.Load() > 0 {
			paused = append(paused, e)
		}
	}
	if len(paused) > 0 && rng.Float64() < toPausedShare {
		return pick(rng, paused)
	}
	return pick(rng, c.fleet.entries)
}

// checkJob reads a job's state at an entry and checks the response.
func (c *callers) checkJob(ctx context.Context, e *entry, j *job) {
	status, data := c.call(ctx, requestTimeout, e, http.MethodGet, prefix+j.id, "")
	var response struct {
		State string `json:"state"`
	}
	switch {
	case status == http.StatusGone && time.Since(j.acceptedAt) > visibilityDelay:
		c.jobs.addFault("%s does not know job %s, accepted %s ago", e.name, j.id, time.Since(j.acceptedAt))
	case status != http.StatusOK:
	case json.Unmarshal(data, &response) != nil:
		c.jobs.addFault("%s responds for job %s with invalid JSON %q", e.name, j.id, data)
	case response.State == "completed":
		c.completed(e, j)
	case response.State == "failed" || response.State == "cancelled":
		cancelled := false
		c.jobs.update(func() { cancelled = !j.cancelledAt.IsZero() })
		if !cancelled {
			c.jobs.addFault("%s reports job %s as %s", e.name, j.id, response.State)
		}
	}
}

// completed records that an entry reported a job as completed, and checks that all its tasks
// are done.
func (c *callers) completed(e *entry, j *job) {
	for step := range j.Steps {
		for _, task := range j.tasksOf(step) {
			if !c.fleet.witness.Done(task) {
				c.jobs.addFault("%s reports job %s as completed, but task %s is not done", e.name, j.id, task)
			}
		}
	}
	c.jobs.update(func() { j.completed = true })
}
