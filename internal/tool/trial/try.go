package trial

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/node/view"
	"github.com/ebonyarch/ebonyarch/internal/tool/client"
)

// Options are the options of a trial.
type Options struct {
	Workload Workload
	// Seed determines the requests and the VMs that fail and drain.
	Seed uint64
	// Requests is the number of requests to send, Tasks the number of tasks of the job.
	Requests int
	Tasks    uint32
	// Out receives the progress and the summary.
	Out io.Writer
	// BeforeStop, if not nil, is called with the fleet before it is stopped.
	BeforeStop func(*Fleet)
}

const (
	fleetEntries = 3
	fleetAgents  = 4
	// trialTimeout limits the whole trial.
	trialTimeout = 55 * time.Second
	// killDelay, drainDelay and publishDelay are the times to wait before a VM is killed,
	// another one is drained and a configuration is published.
	killDelay    = 700 * time.Millisecond
	drainDelay   = 500 * time.Millisecond
	publishDelay = 300 * time.Millisecond
	// drainTimeout limits the shutdown of the VM that is drained.
	drainTimeout = 20 * time.Second
	// publishTimeout is the time within which a published configuration must be in force on
	// every entry.
	publishTimeout = 6 * time.Second
)

// Outcome holds the results of a trial.
type Outcome struct {
	// Requests is the number of requests. Answered is the number of those that succeeded;
	// Wrong of these got a response that does not match the request. Lost is the number
	// of those that did not succeed.
	Requests, Answered, Wrong, Lost int
	// Tasks is the number of tasks of the job; see audit for Completed and Doubled.
	Tasks, Completed, Doubled int
	// P99 is the 99th percentile of the latency of answered requests.
	P99 time.Duration
}

// String formats the summary of a trial.
func (o Outcome) String() string {
	return fmt.Sprintf("try: requests=%d answered=%d wrong=%d lost=%d tasks=%d completed=%d doubled=%d p99=%s",
		o.Requests, o.Answered, o.Wrong, o.Lost, o.Tasks, o.Completed, o.Doubled, o.P99.Round(10*time.Microsecond))
}

// Passed reports whether all requests got the right response and all tasks were completed
// exactly once.
func (o Outcome) Passed() bool {
	return o.Answered == o.Requests && o.Wrong == 0 && o.Lost == 0 && o.Completed == o.Tasks && o.Doubled == 0
}

// trial is a running trial.
type trial struct {
	Options
	fleet *Fleet
	start time.Time
}

// Run starts a fleet, sends it requests and a job while a VM fails, another one drains and
// a configuration changes, and checks every response and every task.
func Run(ctx context.Context, o Options, log *slog.Logger) (Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	t := &trial{Options: o, start: time.Now()}
	fleet, err := Start(FleetConfig{
		Entries: fleetEntries, Agents: fleetAgents, CPU: 16, Memory: 60 << 10, ServiceTime: 2 * time.Millisecond,
	}, log)
	defer fleet.Stop()
	if err != nil {
		return Outcome{}, err
	}
	t.fleet = fleet
	outcome, err := t.run(ctx)
	if err != nil {
		return outcome, err
	}
	fmt.Fprintln(t.Out, outcome)
	if t.BeforeStop != nil {
		t.BeforeStop(fleet)
	}
	return outcome, nil
}

// logf prints a line of progress with the time since the start.
func (t *trial) logf(format string, args ...any) {
	fmt.Fprintf(t.Out, "%6.2fs  %s\n", time.Since(t.start).Seconds(), fmt.Sprintf(format, args...))
}

// client returns a client of entry i, modulo the number of entries.
func (t *trial) client(i int) *client.Client {
	return &client.Client{Addr: t.fleet.Entries[i%len(t.fleet.Entries)].Addr()}
}

func (t *trial) run(ctx context.Context) (Outcome, error) {
	t.logf("%d entries, %d agents with workers and a log are running", len(t.fleet.Entries), len(t.fleet.VMs))
	for _, team := range t.Workload.teams() {
		if err := t.publish(ctx, team, 0); err != nil {
			return Outcome{}, err
		}
	}
	if err := t.awaitService(ctx); err != nil {
		return Outcome{}, err
	}
	load := newLoad(t)
	load.begin(ctx)
	job, err := t.client(1).Submit(ctx, t.Workload.BatchTeam, fmt.Sprintf("trial-%d", t.Seed),
		view.JobSpec{Kind: t.Workload.BatchKind, Tasks: t.Tasks})
	if err != nil {
		return Outcome{}, err
	}
	t.logf("job %s of %d tasks is accepted", job, t.Tasks)
	if err := t.injectFaults(ctx); err != nil {
		return Outcome{}, err
	}
	outcome := load.finish()
	t.logf("%d of %d requests are answered", outcome.Answered, outcome.Requests)
	err = t.awaitJob(ctx, job, &outcome)
	return outcome, err
}

// publish publishes a team's configuration as soon as the first entry is ready. base is
// the revision that it replaces, 0 for a new team.
func (t *trial) publish(ctx context.Context, team string, base uint64) error {
	body, err := configOf(team)
	if err != nil {
		return err
	}
	var published view.Published
	err = pollUntil(ctx, "publish "+team, func() bool {
		published, err = t.client(0).Publish(ctx, team, base, "try", body)
		return err == nil || codes.Of(err) != codes.NotReady
	})
	if err != nil {
		return err
	}
	t.logf("%s is at revision %d", team, published.Revision)
	return nil
}

// awaitService waits until every entry forwards requests to the service.
func (t *trial) awaitService(ctx context.Context) error {
	for i := range t.fleet.Entries {
		err := pollUntil(ctx, "first successful response of an entry", func() bool {
			a, err := t.client(i).Do(ctx, "GET", t.Workload.requestPath(), nil, nil)
			return err == nil && a.Status == 200
		})
		if err != nil {
			return err
		}
	}
	t.logf("every entry reaches %s/%s", t.Workload.Team, t.Workload.Service)
	return nil
}

// injectFaults kills a VM, drains another and publishes a configuration change while load
// is running.
func (t *trial) injectFaults(ctx context.Context) error {
	wait(ctx, killDelay)
	n := len(t.fleet.VMs)
	victim := t.fleet.VMs[int(t.Seed%uint64(n))]
	victim.Kill()
	t.logf("%s is killed", victim.Name)
	wait(ctx, drainDelay)
	drained := t.fleet.VMs[int((t.Seed+1)%uint64(n))]
	drainCtx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	if err := drained.Agent.Shutdown(drainCtx); err != nil {
		return fmt.Errorf("drain %s: %w", drained.Name, err)
	}
	t.logf("%s is drained", drained.Name)
	wait(ctx, publishDelay)
	if err := t.publish(ctx, t.Workload.Team, 1); err != nil {
		return err
	}
	return t.awaitRevision(ctx, t.Workload.Team, 2)
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// awaitRevision waits until a revision is in force on every entry.
func (t *trial) awaitRevision(ctx context.Context, team string, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	for i := range t.fleet.Entries {
		err := pollUntil(ctx, "published revision in force on every entry", func() bool {
			_, n, err := t.client(i).Config(ctx, team)
			return err == nil && n >= revision
		})
		if err != nil {
			return err
		}
	}
	t.logf("revision %d of %s is in force on every entry", revision, team)
	return nil
}

// awaitJob waits until the job ends, compares it with what the workers recorded, and sets
// the outcome. If the job does not end before ctx is done, awaitJob uses its latest known
// state.
func (t *trial) awaitJob(ctx context.Context, job string, o *Outcome) error {
	var view view.Job
	last := -1
	err := pollUntil(ctx, "job", func() bool {
		v, err := t.client(2).Job(ctx, t.Workload.BatchTeam, job)
		if err != nil {
			return false
		}
		if n := v.Counts["completed"]; n != last {
			last = n
			t.logf("%d of %d tasks are completed", n, v.Tasks)
		}
		view = v
		return v.Ended != nil
	})
	o.Tasks = int(t.Tasks)
	if err != nil {
		data, _ := json.Marshal(view.Counts)
		t.logf("the job did not end: %s", data)
	}
	o.Completed, o.Doubled = t.audit(view)
	return nil
}
