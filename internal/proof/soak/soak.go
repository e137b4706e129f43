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

// settleFor bounds how long the system may take to finish its work after the last fault
// is undone: leases of VMs that were given up have to end before.
const settleFor = 30 * time.Second

// Options say what a soak does.
type Options struct {
	// Seed decides faults and load.
	Seed uint64
	// For is how long faults come.
	For time.Duration
	// Entries and VMs are the numbers of processes, at least one each.
	Entries, VMs int
	// Verbose writes each fault as it comes.
	Verbose bool
}

// Run runs one seed and returns an error that says what did not hold. The processes' logs
// are kept if something did not.
func Run(ctx context.Context, o Options, out io.Writer, log *slog.Logger) error {
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", o.Seed))
	if err != nil {
		return err
	}
	count, broken, err := run(ctx, dir, o, out, log)
	if err != nil {
		return fmt.Errorf("seed %d could not be run: %w (logs in %s)", o.Seed, err, dir)
	}
	if len(broken) > 0 {
		return fmt.Errorf("seed %d, logs in %s:\n%s", o.Seed, dir, strings.Join(broken, "\n"))
	}
	fmt.Fprintf(out, "seed %d: %d faults, %d jobs, %d completed, %d refused: held\n", o.Seed, count.faults, count.jobs, count.completed, count.refused)
	return os.RemoveAll(dir)
}

// counts is what a run did.
type counts struct {
	faults, jobs, completed, refused int
}

func run(ctx context.Context, dir string, o Options, out io.Writer, log *slog.Logger) (counts, []string, error) {
	rng := rand.New(rand.NewPCG(o.Seed, 0))
	alive, end := context.WithCancel(ctx)
	defer end()
	f, err := newFleet(alive, dir, o.Entries, o.VMs, rng, log)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return counts{}, nil, err
	}
	c := newCallers(f)
	troubled, calm := context.WithTimeout(ctx, o.For)
	defer calm()
	n := 0
	loadEnded, watchEnded := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(loadEnded)
		c.load(troubled, rand.New(rand.NewPCG(o.Seed, 1)))
	}()
	go func() {
		defer close(watchEnded)
		c.watch(troubled)
	}()
	err = f.trouble(troubled, rng, func(what string) {
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
	settle, cancel := context.WithTimeout(ctx, settleFor)
	defer cancel()
	c.settle(settle)
	return c.count(n), c.faults, ctx.Err()
}

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
