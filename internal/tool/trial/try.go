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

// Options of a trial.
type Options struct {
	Workload Workload
	Seed     uint64
	Requests int
	Tasks    uint32
	// Out gets the progress and the last line.
	Out io.Writer
	// BeforeStop is called with the fleet before it stops; it may be nil.
	BeforeStop func(*Fleet)
}

const (
	fleetEntries = 3
	fleetAgents  = 4
	// limit bounds the whole trial.
	limit = 55 * time.Second
	// beforeKill and the times after it space the events of a trial.
	beforeKill    = 700 * time.Millisecond
	beforeDrain   = 500 * time.Millisecond
	beforePublish = 300 * time.Millisecond
	drainLimit    = 20 * time.Second
	// inForce is how soon a configuration must be in force everywhere.
	inForce = 6 * time.Second
)

// Outcome is what a trial found.
type Outcome struct {
	Requests, Answered, Wrong, Lost int
	Tasks, Completed, Doubled       int
	P99                             time.Duration
}

// String formats the last line of a trial.
func (o Outcome) String() string {
	return fmt.Sprintf("try: requests=%d answered=%d wrong=%d lost=%d tasks=%d completed=%d doubled=%d p99=%s",
		o.Requests, o.Answered, o.Wrong, o.Lost, o.Tasks, o.Completed, o.Doubled, o.P99.Round(10*time.Microsecond))
}

// Passed reports whether everything held.
func (o Outcome) Passed() bool {
	return o.Answered == o.Requests && o.Wrong == 0 && o.Lost == 0 && o.Completed == o.Tasks && o.Doubled == 0
}

type trial struct {
	Options
	fleet *Fleet
	start time.Time
}

// Run brings up a fleet, puts it through the main job with a VM that fails and
// one that drains, and checks every answer and every task.
func Run(ctx context.Context, o Options, log *slog.Logger) (Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
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

func (t *trial) say(format string, args ...any) {
	fmt.Fprintf(t.Out, "%6.2fs  %s\n", time.Since(t.start).Seconds(), fmt.Sprintf(format, args...))
}

func (t *trial) client(i int) *client.Client {
	return &client.Client{Addr: t.fleet.Entries[i%len(t.fleet.Entries)].Addr()}
}

func (t *trial) run(ctx context.Context) (Outcome, error) {
	t.say("%d entries, %d agents with workers and a log are up", len(t.fleet.Entries), len(t.fleet.VMs))
	for _, team := range t.Workload.teams() {
		if err := t.publish(ctx, team, 0); err != nil {
			return Outcome{}, err
		}
	}
	if err := t.served(ctx); err != nil {
		return Outcome{}, err
	}
	load := newLoad(t)
	load.begin(ctx)
	job, err := t.client(1).Submit(ctx, t.Workload.BatchTeam, fmt.Sprintf("trial-%d", t.Seed),
		view.JobSpec{Kind: t.Workload.BatchKind, Tasks: t.Tasks})
	if err != nil {
		return Outcome{}, err
	}
	t.say("job %s of %d tasks is accepted", job, t.Tasks)
	if err := t.disturb(ctx); err != nil {
		return Outcome{}, err
	}
	outcome := load.finish()
	t.say("%d of %d requests are answered", outcome.Answered, outcome.Requests)
	err = t.finished(ctx, job, &outcome)
	return outcome, err
}

// publish puts a team's configuration in force, once an entry is ready.
func (t *trial) publish(ctx context.Context, team string, base uint64) error {
	body, err := configOf(team)
	if err != nil {
		return err
	}
	var published view.Published
	err = until(ctx, "publish "+team, func() bool {
		published, err = t.client(0).Publish(ctx, team, base, "try", body)
		return err == nil || codes.Of(err) != codes.NotReady
	})
	if err != nil {
		return err
	}
	t.say("%s is at revision %d", team, published.Revision)
	return nil
}

// served waits until every entry reaches the service.
func (t *trial) served(ctx context.Context) error {
	for i := range t.fleet.Entries {
		err := until(ctx, "first answer", func() bool {
			a, err := t.client(i).Do(ctx, "GET", t.Workload.requestPath(), nil, nil)
			return err == nil && a.Status == 200
		})
		if err != nil {
			return err
		}
	}
	t.say("every entry reaches %s/%s", t.Workload.Team, t.Workload.Service)
	return nil
}

// disturb kills a VM, drains another and publishes a change, all under load.
func (t *trial) disturb(ctx context.Context) error {
	wait(ctx, beforeKill)
	n := len(t.fleet.VMs)
	victim := t.fleet.VMs[int(t.Seed%uint64(n))]
	victim.Kill()
	t.say("%s is killed", victim.Name)
	wait(ctx, beforeDrain)
	leaver := t.fleet.VMs[int((t.Seed+1)%uint64(n))]
	drainCtx, cancel := context.WithTimeout(ctx, drainLimit)
	defer cancel()
	if err := leaver.Agent.Shutdown(drainCtx); err != nil {
		return fmt.Errorf("drain %s: %w", leaver.Name, err)
	}
	t.say("%s is drained", leaver.Name)
	wait(ctx, beforePublish)
	if err := t.publish(ctx, t.Workload.Team, 1); err != nil {
		return err
	}
	return t.everywhere(ctx, t.Workload.Team, 2)
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// everywhere waits until every entry has a revision in force.
func (t *trial) everywhere(ctx context.Context, team string, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, inForce)
	defer cancel()
	for i := range t.fleet.Entries {
		err := until(ctx, "revision in force", func() bool {
			_, n, err := t.client(i).Config(ctx, team)
			return err == nil && n >= revision
		})
		if err != nil {
			return err
		}
	}
	t.say("revision %d of %s is in force on every entry", revision, team)
	return nil
}

// finished waits for the job's end and compares it with what the workers saw.
func (t *trial) finished(ctx context.Context, job string, o *Outcome) error {
	var view view.Job
	last := -1
	err := until(ctx, "job", func() bool {
		v, err := t.client(2).Job(ctx, t.Workload.BatchTeam, job)
		if err != nil {
			return false
		}
		if n := v.Counts["completed"]; n != last {
			last = n
			t.say("%d of %d tasks are completed", n, v.Tasks)
		}
		view = v
		return v.Ended != nil
	})
	o.Tasks = int(t.Tasks)
	if err != nil {
		data, _ := json.Marshal(view.Counts)
		t.say("the job did not end: %s", data)
	}
	o.Completed, o.Doubled = t.audit(view)
	return nil
}
