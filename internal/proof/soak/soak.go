package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/fake/tasks"
)

// settleTimeout is how long the system may take to finish its work after the last fault is
// undone. It includes the time until the leases of VMs that the leader has abandoned expire.
const settleTimeout = 30 * time.Second

// Options configures a soak.
type Options struct {
	// Seed determines the faults and the load.
	Seed uint64
	// For is how long faults are injected and jobs submitted.
	For time.Duration
	// Entries and VMs are the numbers of entries and VMs, at least one each.
	Entries, VMs int
	// Verbose prints each fault when it starts.
	Verbose bool
}

// Run runs one seed and returns an error that lists the violations, if there are any. It keeps
// the processes' logs after an error.
func Run(ctx context.Context, o Options, out io.Writer, log *slog.Logger) error {
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", o.Seed))
	if err != nil {
		return err
	}
	count, violations, err := run(ctx, dir, o, out, log)
	if err != nil {
		return fmt.Errorf("seed %d could not be run: %w (logs in %s)", o.Seed, err, dir)
	}
	if len(violations) > 0 {
		return fmt.Errorf("seed %d, %s, logs in %s: %d violations:\n%s", o.Seed, count, dir, len(violations), strings.Join(violations, "\n"))
	}
	fmt.Fprintf(out, "seed %d: %s: held\n", o.Seed, count)
	return os.RemoveAll(dir)
}

// counts holds the numbers of faults and jobs of a run.
type counts struct {
	faults, jobs, lasting, completed, refused int
	// cancelled is the number of jobs that count as cancelled, unknown that of those among them
	// that an entry said not to know.
	cancelled, unknown int
	// resumed is the number of runs that were started with a checkpoint.
	resumed int
}

func (n counts) String() string {
	return fmt.Sprintf("%d faults, %d jobs (%d lasting), %d completed, %d refused, %d cancelled (%d of them unknown), %d runs resumed",
		n.faults, n.jobs, n.lasting, n.completed, n.refused, n.cancelled, n.unknown, n.resumed)
}

// run runs one seed and returns its counts and violations.
func run(ctx context.Context, dir string, o Options, out io.Writer, log *slog.Logger) (counts, []string, error) {
	rng := rand.New(rand.NewPCG(o.Seed, 0))
	fleetCtx, stopFleet := context.WithCancel(ctx)
	defer stopFleet()
	f, err := newFleet(fleetCtx, dir, o.Entries, o.VMs, rng, log)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return counts{}, nil, err
	}
	c := newCallers(f)
	faultCtx, stopFaults := context.WithTimeout(ctx, o.For)
	defer stopFaults()
	var loadErr, faultErr error
	var background sync.WaitGroup
	watchCtx, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	runs := runWatch{fleet: f, reported: map[tasks.Run]bool{}}
	background.Go(func() { runs.watch(watchCtx) })
	report := reporter{out: out, verbose: o.Verbose}
	var load sync.WaitGroup
	load.Go(func() { loadErr = c.submitJobs(faultCtx, rand.New(rand.NewPCG(o.Seed, 1))) })
	load.Go(func() { c.watch(faultCtx) })
	load.Go(func() { f.injectPauses(faultCtx, rand.New(rand.NewPCG(o.Seed, 2)), report.report) })
	load.Go(func() { faultErr = f.injectFaults(faultCtx, rng, report.report) })
	load.Wait()
	if err := errors.Join(loadErr, faultErr); err != nil {
		return counts{}, nil, err
	}
	settle, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	c.settle(settle)
	stopWatch()
	background.Wait()
	return f.count(report.n), slices.Concat(f.jobs.faults, f.witness.Faults()), ctx.Err()
}

// reporter counts faults and prints them if verbose is set.
type reporter struct {
	out     io.Writer
	verbose bool
	mu      sync.Mutex
	n       int
}

func (r *reporter) report(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.n++
	if r.verbose {
		fmt.Fprintf(r.out, "%s: %s\n", time.Now().Format("05.000"), what)
	}
}

// count returns the counts of a run with the given number of faults.
func (f *fleet) count(faults int) counts {
	n := counts{faults: faults, resumed: f.witness.Resumed()}
	for _, j := range f.jobs.all() {
		n.jobs++
		n.lasting += count(j.lasts())
		n.completed += count(j.completed)
		n.refused += count(j.refused)
		n.cancelled += count(!j.GoneAt.IsZero())
		n.unknown += count(j.GoneStatus == http.StatusGone)
	}
	return n
}

// count returns 1 if b is set, else 0.
func count(b bool) int {
	if b {
		return 1
	}
	return 0
}
