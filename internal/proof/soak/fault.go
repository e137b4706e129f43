package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/fake/relay"
	"github.com/ebonyarch/ebonyarch/internal/fake/tasks"
	"github.com/ebonyarch/ebonyarch/internal/fake/topics"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/proof/asked"
)

const (
	// minFaultDuration and maxFaultDuration are the limits of a fault's duration.
	minFaultDuration, maxFaultDuration = 200 * time.Millisecond, 2500 * time.Millisecond
	// minFaultGap and maxFaultGap are the limits of the time between the starts of two faults.
	// Faults may overlap.
	minFaultGap, maxFaultGap = 150 * time.Millisecond, 1500 * time.Millisecond
	// silenceNoticed is how long a silent connection counts as a fault of its path.
	silenceNoticed = 2 * time.Second
	// relayDelay is the delay of the bytes on a slow path.
	relayDelay = 150 * time.Millisecond
)

// faultKind is a kind of fault that the soak injects.
type faultKind struct {
	name string
	// inject starts the fault, waits for its duration, undoes it and returns. Faults without
	// a duration return at once.
	inject func(ctx context.Context, f *fleet, rng *rand.Rand, duration time.Duration) error
}

// faultKinds lists the kinds of faults from which a seed chooses. A seed selects by index, so
// a change of the order changes what seeds do.
var faultKinds = []faultKind{
	{"an entry is killed", func(ctx context.Context, f *fleet, rng *rand.Rand, duration time.Duration) error {
		return restart(ctx, pick(rng, f.entries).process, syscall.SIGKILL, duration)
	}},
	{"an entry is stopped in good order", func(ctx context.Context, f *fleet, rng *rand.Rand, duration time.Duration) error {
		return restart(ctx, pick(rng, f.entries).process, syscall.SIGTERM, duration)
	}},
	{"an entry is paused", func(ctx context.Context, f *fleet, rng *rand.Rand, duration time.Duration) error {
		return suspend(ctx, pick(rng, f.entries).process, duration)
	}},
	{"an agent is killed", func(ctx context.Context, f *fleet, rng *rand.Rand, duration time.Duration) error {
		return restart(ctx, pick(rng, f.vms).process, syscall.SIGKILL, duration)
	}},
	{"an agent is stopped in good order", func(ctx context.Context, f *fleet, rng *rand.Rand, duration time.Duration) error {
		return restart(ctx, pick(rng, f.vms).process, syscall.SIGTERM, duration)
	}},
	{"an agent is paused", func(ctx context.Context, f *fleet, rng *rand.Rand, duration time.Duration) error {
		return suspend(ctx, pick(rng, f.vms).process, duration)
	}},
	{"a process reloads its settings", func(_ context.Context, f *fleet, rng *rand.Rand, _ time.Duration) error {
		pick(rng, f.processes()).signal(syscall.SIGHUP)
		return nil
	}},
	{"a worker crashes", func(ctx context.Context, f *fleet, rng *rand.Rand, duration time.Duration) error {
		return restartWorker(ctx, pick(rng, f.vms), duration)
	}},
	{"the store is busy", func(ctx context.Context, f *fleet, _ *rand.Rand, duration time.Duration) error {
		return f.disturbStore(ctx, topics.Faults{Refuse: true}, duration)
	}},
	{"the store is silent", func(ctx context.Context, f *fleet, _ *rand.Rand, duration time.Duration) error {
		return f.disturbStore(ctx, topics.Faults{Silent: true}, duration)
	}},
	{"answers of the store are lost", func(ctx context.Context, f *fleet, _ *rand.Rand, duration time.Duration) error {
		return f.disturbStore(ctx, topics.Faults{LoseReplies: true}, duration)
	}},
	{"connections are silent for good", func(_ context.Context, f *fleet, rng *rand.Rand, _ time.Duration) error {
		p := pick(rng, f.paths())
		p.Blackhole()
		p.disturbed.Until(time.Now().Add(silenceNoticed))
		return nil
	}},
	{"connections are reset", func(_ context.Context, f *fleet, rng *rand.Rand, _ time.Duration) error {
		p := pick(rng, f.paths())
		p.Reset()
		p.disturbed.Until(time.Now())
		return nil
	}},
	{"a path is cut", func(ctx context.Context, f *fleet, rng *rand.Rand, duration time.Duration) error {
		return impair(ctx, pick(rng, f.paths()), relay.Impairment{Cut: true}, duration)
	}},
	{"a path is cut one way", func(ctx context.Context, f *fleet, rng *rand.Rand, duration time.Duration) error {
		return impair(ctx, pick(rng, f.paths()), relay.Impairment{CutReplies: true}, duration)
	}},
	{"a path is slow", func(ctx context.Context, f *fleet, rng *rand.Rand, duration time.Duration) error {
		return impair(ctx, pick(rng, f.paths()), relay.Impairment{Delay: relayDelay}, duration)
	}},
	{"the configuration changes", func(_ context.Context, f *fleet, _ *rand.Rand, _ time.Duration) error {
		f.publish()
		return nil
	}},
}

// pick returns a random element of list.
func pick[T any](rng *rand.Rand, list []T) T { return list[rng.IntN(len(list))] }

// restart stops a process with a signal and starts it again after the downtime.
func restart(ctx context.Context, p *process, sig syscall.Signal, downtime time.Duration) error {
	if !p.restarting.TryLock() {
		return nil // another fault restarts the process already
	}
	defer p.restarting.Unlock()
	defer p.disturbed.Begin()()
	p.signal(syscall.SIGCONT)
	p.stop(sig)
	sleep(ctx, downtime)
	return p.start()
}

// suspend stops a process with SIGSTOP and continues it after d.
func suspend(ctx context.Context, p *process, d time.Duration) error {
	defer p.pause()()
	sleep(ctx, d)
	return nil
}

// restartWorker starts a new incarnation of a worker under the same id. Its connections are
// reset, and new ones are refused for d.
func restartWorker(ctx context.Context, v *vm, d time.Duration) error {
	defer v.disturbed.Begin()()
	end := v.toWorker.Impair(relay.Impairment{Refuse: true})
	defer end()
	v.worker.Do(func(w *tasks.Worker) {
		v.toWorker.Reset()
		w.Restart(time.Now())
	})
	sleep(ctx, d)
	return nil
}

// disturbStore gives the store faults for d.
func (f *fleet) disturbStore(ctx context.Context, faults topics.Faults, d time.Duration) error {
	defer f.storeDisturbed.Begin()()
	end := f.store.Disturb(faults)
	defer end()
	sleep(ctx, d)
	return nil
}

// impair gives a path an impairment for d.
func impair(ctx context.Context, p path, impairment relay.Impairment, d time.Duration) error {
	defer p.disturbed.Begin()()
	end := p.Impair(impairment)
	defer end()
	sleep(ctx, d)
	return nil
}

// path is a path between a process and the store or a worker.
type path struct {
	*relay.Relay
	// disturbed records the path's faults.
	disturbed *asked.Faults
}

// paths returns the paths between the processes, the store and the workers.
func (f *fleet) paths() []path {
	var list []path
	for _, e := range f.entries {
		list = append(list, path{e.store, &f.entriesDisturbed})
	}
	for _, v := range f.vms {
		list = append(list, path{v.toWorker, &v.disturbed}, path{v.log, &v.disturbed})
	}
	return list
}

// publish writes the next version of the configuration to the store.
func (f *fleet) publish() {
	version := f.version.Add(1)
	f.store.Put("op", port.Record{Key: "config", Value: configuration(version)})
}

// injectFaults injects random faults until ctx ends, and returns when all are undone. It calls
// report for each fault and returns the first error.
func (f *fleet) injectFaults(ctx context.Context, rng *rand.Rand, report func(string)) error {
	var wg sync.WaitGroup
	errs := make(chan error, 1)
	for ctx.Err() == nil {
		sleep(ctx, minFaultGap+time.Duration(rng.Int64N(int64(maxFaultGap-minFaultGap))))
		kind := pick(rng, faultKinds)
		duration := minFaultDuration + time.Duration(rng.Int64N(int64(maxFaultDuration-minFaultDuration)))
		faultRNG := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		if ctx.Err() != nil {
			break
		}
		report(fmt.Sprintf("%s for %s", kind.name, duration.Round(time.Millisecond)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := kind.inject(ctx, f, faultRNG, duration); err != nil {
				select {
				case errs <- fmt.Errorf("%s: %w", kind.name, err):
				default:
				}
			}
		}()
	}
	wg.Wait()
	select {
	case err := <-errs:
		return err
	default:
		return nil
	}
}
