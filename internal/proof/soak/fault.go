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
)

const (
	// leastFault and mostFault bound how long a fault lasts.
	leastFault, mostFault = 200 * time.Millisecond, 2500 * time.Millisecond
	// leastGap and mostGap bound the time between the beginnings of two faults; they
	// overlap.
	leastGap, mostGap = 150 * time.Millisecond, 1500 * time.Millisecond
	// slowBy delays what a relay passes on.
	slowBy = 150 * time.Millisecond
)

// fault is a kind of trouble: it begins, lasts for a while, and is undone.
type fault struct {
	name string
	do   func(ctx context.Context, f *fleet, rng *rand.Rand, lasts time.Duration) error
}

// faults are all kinds of trouble that a seed chooses from.
var faults = []fault{
	{"an entry is killed", func(ctx context.Context, f *fleet, rng *rand.Rand, lasts time.Duration) error {
		return restart(ctx, pick(rng, f.entries).process, syscall.SIGKILL, lasts)
	}},
	{"an entry is stopped in good order", func(ctx context.Context, f *fleet, rng *rand.Rand, lasts time.Duration) error {
		return restart(ctx, pick(rng, f.entries).process, syscall.SIGTERM, lasts)
	}},
	{"an entry is paused", func(ctx context.Context, f *fleet, rng *rand.Rand, lasts time.Duration) error {
		return freeze(ctx, pick(rng, f.entries).process, lasts)
	}},
	{"an agent is killed", func(ctx context.Context, f *fleet, rng *rand.Rand, lasts time.Duration) error {
		return restart(ctx, pick(rng, f.vms).process, syscall.SIGKILL, lasts)
	}},
	{"an agent is stopped in good order", func(ctx context.Context, f *fleet, rng *rand.Rand, lasts time.Duration) error {
		return restart(ctx, pick(rng, f.vms).process, syscall.SIGTERM, lasts)
	}},
	{"an agent is paused", func(ctx context.Context, f *fleet, rng *rand.Rand, lasts time.Duration) error {
		return freeze(ctx, pick(rng, f.vms).process, lasts)
	}},
	{"a process reloads its settings", func(_ context.Context, f *fleet, rng *rand.Rand, _ time.Duration) error {
		pick(rng, f.processes()).signal(syscall.SIGHUP)
		return nil
	}},
	{"a worker crashes", func(ctx context.Context, f *fleet, rng *rand.Rand, lasts time.Duration) error {
		return crash(ctx, pick(rng, f.vms), lasts)
	}},
	{"the store is busy", func(ctx context.Context, f *fleet, _ *rand.Rand, lasts time.Duration) error {
		return f.disturb(ctx, topics.Faults{Refuse: true}, lasts)
	}},
	{"the store is silent", func(ctx context.Context, f *fleet, _ *rand.Rand, lasts time.Duration) error {
		return f.disturb(ctx, topics.Faults{Silent: true}, lasts)
	}},
	{"answers of the store are lost", func(ctx context.Context, f *fleet, _ *rand.Rand, lasts time.Duration) error {
		return f.disturb(ctx, topics.Faults{LoseReplies: true}, lasts)
	}},
	{"connections are silent for good", func(_ context.Context, f *fleet, rng *rand.Rand, _ time.Duration) error {
		pick(rng, f.relays()).Blackhole()
		return nil
	}},
	{"connections are reset", func(_ context.Context, f *fleet, rng *rand.Rand, _ time.Duration) error {
		pick(rng, f.relays()).Reset()
		return nil
	}},
	{"a path is cut", func(ctx context.Context, f *fleet, rng *rand.Rand, lasts time.Duration) error {
		return impair(ctx, pick(rng, f.relays()), relay.Impairment{Cut: true}, lasts)
	}},
	{"a path is cut one way", func(ctx context.Context, f *fleet, rng *rand.Rand, lasts time.Duration) error {
		return impair(ctx, pick(rng, f.relays()), relay.Impairment{CutReplies: true}, lasts)
	}},
	{"a path is slow", func(ctx context.Context, f *fleet, rng *rand.Rand, lasts time.Duration) error {
		return impair(ctx, pick(rng, f.relays()), relay.Impairment{Delay: slowBy}, lasts)
	}},
	{"the configuration changes", func(_ context.Context, f *fleet, _ *rand.Rand, _ time.Duration) error {
		f.publish()
		return nil
	}},
}

func pick[T any](rng *rand.Rand, list []T) T { return list[rng.IntN(len(list))] }

// restart ends a process and starts it again after a while.
func restart(ctx context.Context, p *process, sig syscall.Signal, after time.Duration) error {
	if !p.restarting.TryLock() {
		return nil // it is being started again already
	}
	defer p.restarting.Unlock()
	p.signal(syscall.SIGCONT)
	p.end(sig)
	pause(ctx, after)
	return p.start()
}

// freeze pauses a process for a while.
func freeze(ctx context.Context, p *process, d time.Duration) error {
	p.signal(syscall.SIGSTOP)
	pause(ctx, d)
	p.signal(syscall.SIGCONT)
	return nil
}

// crash ends a worker and starts it again under its id. Its connections break, and for a
// while nobody listens.
func crash(ctx context.Context, v *vm, d time.Duration) error {
	v.toWorker.SetImpairment(relay.Impairment{Refuse: true})
	v.worker.Do(func(w *tasks.Worker) {
		v.toWorker.Reset()
		w.Restart(time.Now())
	})
	pause(ctx, d)
	v.toWorker.SetImpairment(relay.Impairment{})
	return nil
}

func (f *fleet) disturb(ctx context.Context, faults topics.Faults, d time.Duration) error {
	f.store.Set(faults)
	pause(ctx, d)
	f.store.Set(topics.Faults{})
	return nil
}

func impair(ctx context.Context, r *relay.Relay, how relay.Impairment, d time.Duration) error {
	r.SetImpairment(how)
	pause(ctx, d)
	r.SetImpairment(relay.Impairment{})
	return nil
}

// relays returns what lies between the processes, the store and the workers.
func (f *fleet) relays() []*relay.Relay {
	var list []*relay.Relay
	for _, e := range f.entries {
		list = append(list, e.store)
	}
	for _, v := range f.vms {
		list = append(list, v.toWorker, v.log)
	}
	return list
}

// publish puts the next configuration into the store.
func (f *fleet) publish() {
	version := f.version.Add(1)
	f.store.Put("op", port.Record{Key: "config", Value: configuration(version)})
}

// trouble brings faults on a fleet until ctx ends, and returns when all are undone.
func (f *fleet) trouble(ctx context.Context, rng *rand.Rand, report func(string)) error {
	var wg sync.WaitGroup
	errs := make(chan error, 1)
	for ctx.Err() == nil {
		pause(ctx, leastGap+time.Duration(rng.Int64N(int64(mostGap-leastGap))))
		kind := pick(rng, faults)
		lasts := leastFault + time.Duration(rng.Int64N(int64(mostFault-leastFault)))
		one := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		if ctx.Err() != nil {
			break
		}
		report(fmt.Sprintf("%s for %s", kind.name, lasts.Round(time.Millisecond)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := kind.do(ctx, f, one, lasts); err != nil {
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
