package soak

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"strings"
	"time"
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
		return fmt.Errorf("seed %d, logs in %s:\n%s", o.Seed, dir, strings.Join(violations, "\n"))
	}
	fmt.Fprintf(out, "seed %d: %d faults, %d jobs, %d completed, %d refused: held\n", o.Seed, count.faults, count.jobs, count.completed, count.refused)
	return os.RemoveAll(dir)
}

// counts holds the numbers of faults and jobs of a run.
type counts struct {
	faults, jobs, completed, refused int
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
	n := 0
	loadEnded, watchEnded := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(loadEnded)
		c.submitJobs(faultCtx, rand.New(rand.NewPCG(o.Seed, 1)))
	}()
	go func() {
		defer close(watchEnded)
		c.watch(faultCtx)
	}()
	err = f.injectFaults(faultCtx, rng, func(what string) {
		n++
		if o.Verbose {
			fmt.Fprintf(out, "%s: %s\n", time.Now().Format("05.000"), what)
		}
	})
	<-watchEnded
	<-loadEnded
	if err != nil {
		return counts{}, nil, err
	}
	settle, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	c.settle(settle)
	return c.count(n), c.faults, ctx.Err()
}

// count returns the counts of a run with the given number of faults.
func (c *callers) count(faults int) counts {
	n := counts{faults: faults, jobs: len(c.jobs)}
	for _, j := range c.jobs {
		if j.completed {
			n.completed++
		}
		if j.refused {
			n.refused++
		}
	}
	return n
}
