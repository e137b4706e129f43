package demo

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"time"
)

const (
	// host is the host name in callers' requests, to which the route applies.
	host = "presses.example"
	// tryTimeout limits the whole trial.
	tryTimeout = 60 * time.Second
	// pollInterval is the time between two requests for a job's state.
	pollInterval = 50 * time.Millisecond
	jobCount     = 12
	// jobTasks is the number of tasks of each job: two steps of four.
	jobTasks = 8
)

// Configuration is a configuration with one queue.
const Configuration = `{"version":1,"routes":[{"name":"assign","host":"` + host + `","path_prefix":"/assign/","service":"registry","priority":1,"max_attempts":4,"stretch":2,"target_latency_ms":1000,"timeout_ms":3000}],"services":[{"name":"registry"}],"limits":{"max_body_bytes":262144}}`

// jobBody is the body of the request that submits a job.
const jobBody = `{"spec":"assign numbers","steps":[{"count":4,"cpu":1000,"mem_mb":1000,"estimate_ms":150},{"count":4,"cpu":1000,"mem_mb":1000,"estimate_ms":150,"after":[0]}]}`

// Try starts a fleet, submits jobs and, while they run, kills the first entry, which is
// normally the leader. It checks that all jobs are completed and that the workers observed
// no violated invariant.
func Try(ctx context.Context, out io.Writer, log *slog.Logger) error {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	f, err := Start(log, Configuration)
	if err != nil {
		return err
	}
	defer f.Close()
	fmt.Fprintf(out, "%d entries, %d VMs and a store are running on loopback\n", entries, vms)
	for i := range jobCount {
		if err := f.submit(ctx, i); err != nil {
			return err
		}
		if i == jobCount/2 {
			fmt.Fprintln(out, "half of the jobs are accepted; the first entry is killed")
			f.Entries[0].Kill()
		}
	}
	fmt.Fprintf(out, "%d jobs are accepted\n", jobCount)
	for i := range jobCount {
		if err := f.awaitJob(ctx, i); err != nil {
			return err
		}
	}
	if faults := f.Faults(); len(faults) > 0 {
		return fmt.Errorf("the workers observed violated invariants:\n%s", strings.Join(faults, "\n"))
	}
	fmt.Fprintf(out, "all jobs are completed: %d tasks, each done once, no VM over its capacity\n", jobCount*jobTasks)
	return nil
}

// path returns the request path of job i.
func path(i int) string { return fmt.Sprintf("/assign/%016x", i+1) }

// sendUntilOK sends a request to the entries in turn until it succeeds.
func (f *Fleet) sendUntilOK(ctx context.Context, method, path, body string) (string, error) {
	for n := 0; ; n++ {
		e := f.Entries[n%len(f.Entries)]
		status, text, err := Call(ctx, method, e.Callers, host, path, body)
		if err == nil && status == http.StatusOK {
			return text, nil
		}
		select {
		case <-ctx.Done():
			return "", fmt.Errorf("%s %s: last answer %d %s: %w", method, path, status, text, ctx.Err())
		case <-time.After(pollInterval):
		}
	}
}

func (f *Fleet) submit(ctx context.Context, i int) error {
	_, err := f.sendUntilOK(ctx, http.MethodPost, path(i), jobBody)
	return err
}

// awaitJob waits until job i is completed.
func (f *Fleet) awaitJob(ctx context.Context, i int) error {
	for {
		state, err := f.sendUntilOK(ctx, http.MethodGet, path(i), "")
		if err != nil {
			return err
		}
		if strings.Contains(state, "completed") {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("job %d is still %s: %w", i, state, ctx.Err())
		case <-time.After(pollInterval):
		}
	}
}
