package soak

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// minPause and maxPause are the limits of a pause's duration.
	minPause, maxPause = 500 * time.Millisecond, 4500 * time.Millisecond
	// minPauseGap and maxPauseGap are the limits of the time between the starts of two pauses.
	// Pauses may overlap.
	minPauseGap, maxPauseGap = 400 * time.Millisecond, 3500 * time.Millisecond
	// metricsTimeout is how long an entry may take to say whether it leads.
	metricsTimeout = 300 * time.Millisecond
	// vmsPaused is the fraction of the VMs whose agents are paused, or whose workers start again,
	// together. workerDowntime is how long such a worker does not listen.
	vmsPaused      = 0.15
	workerDowntime = 500 * time.Millisecond
	// One in overloadOneIn pauses comes with an overload, which lasts for overloadDuration.
	overloadOneIn    = 6
	overloadDuration = 2 * time.Second
)

// pauseKind is a kind of event in a series of pauses.
type pauseKind struct {
	name string
	// weight is the kind's share among all kinds.
	weight int
	// entries selects which entries are paused, agents is set if someVMs' agents are, and workers
	// if someVMs' workers start again.
	entries         func(f *fleet, rng *rand.Rand) []*process
	agents, workers bool
}

// pauseKinds lists what is paused together.
var pauseKinds = []pauseKind{
	{"the leader", 4, leaderOf, false, false},
	{"the leader and agents", 2, leaderOf, true, false},
	{"an entry", 1, anEntry, false, false},
	{"agents", 1, noEntry, true, false},
	{"the leader while workers start again", 1, leaderOf, false, true},
}

func noEntry(*fleet, *rand.Rand) []*process { return nil }

// leaderOf returns the entry that leads, if one says so.
func leaderOf(f *fleet, _ *rand.Rand) []*process {
	for _, e := range f.entries {
		if e.pauses.Load() == 0 && e.leads() {
			return []*process{e.process}
		}
	}
	return nil
}

// leads reports whether the entry's metrics say that it leads.
func (e *entry) leads() bool {
	client := http.Client{Timeout: metricsTimeout}
	resp, err := client.Get("http://" + e.admin.String() + "/metrics")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	s := bufio.NewScanner(resp.Body)
	for s.Scan() {
		if strings.HasPrefix(s.Text(), "ebonyarch_leading 1") {
			return true
		}
	}
	return false
}

func anEntry(f *fleet, rng *rand.Rand) []*process { return []*process{pick(rng, f.entries).process} }

func someVMs(f *fleet, rng *rand.Rand) (list []*vm) {
	for range max(1, int(vmsPaused*float64(len(f.vms)))) {
		list = append(list, pick(rng, f.vms))
	}
	return list
}

// pickPause returns a random kind of pause.
func pickPause(rng *rand.Rand) pauseKind {
	var list []pauseKind
	for _, k := range pauseKinds {
		for range k.weight {
			list = append(list, k)
		}
	}
	return pick(rng, list)
}

// pauseDuration returns the random duration of a pause. Long ones, in which another entry takes
// over, are more frequent.
func pauseDuration(rng *rand.Rand) time.Duration {
	return max(between(rng, minPause, maxPause), between(rng, minPause, maxPause))
}

// mayPause reports whether one more entry may be paused: a minority of them, or the only other
// one.
func (f *fleet) mayPause() bool {
	n := 0
	for _, e := range f.entries {
		if e.pauses.Load() > 0 {
			n++
		}
	}
	return n < max(1, (len(f.entries)-1)/2)
}

// injectPauses pauses random processes until ctx ends, and returns when all go on. At times it
// overloads the system meanwhile. It calls report for each event.
func (f *fleet) injectPauses(ctx context.Context, rng *rand.Rand, report func(string)) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for sleep(ctx, between(rng, minPauseGap, maxPauseGap)); ctx.Err() == nil; sleep(ctx, between(rng, minPauseGap, maxPauseGap)) {
		kind, duration, overload := pickPause(rng), pauseDuration(rng), rng.IntN(overloadOneIn) == 0
		vms := someVMs(f, rng)
		var paused []*process
		if f.mayPause() {
			paused = kind.entries(f, rng)
		}
		for _, v := range vms {
			if kind.workers {
				wg.Go(func() { restartWorker(ctx, v, workerDowntime) })
			}
			if kind.agents {
				paused = append(paused, v.process)
			}
		}
		for _, p := range paused {
			wg.Go(func() { suspend(ctx, p, duration) })
		}
		report(fmt.Sprintf("pause of %s for %s: %s", kind.name, duration.Round(time.Millisecond), names(paused)))
		if overload {
			report("overload")
			wg.Go(func() { f.overload(ctx) })
		}
	}
}

// names returns the names of processes.
func names(processes []*process) string {
	var list []string
	for _, p := range processes {
		list = append(list, p.name)
	}
	return strings.Join(list, " ")
}

// overload lets callers submit more than fits, for overloadDuration.
func (f *fleet) overload(ctx context.Context) {
	f.overloads.Add(1)
	defer f.overloads.Add(-1)
	sleep(ctx, overloadDuration)
}
