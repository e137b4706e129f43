package soak

import (
	"bufio"
	"context"
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
	// agentsPaused is the fraction of the agents that are paused together.
	agentsPaused = 0.15
	// overloadDuration is how long an overload lasts.
	overloadDuration = 2 * time.Second
)

// pauseKind is a kind of event in a series of pauses.
type pauseKind struct {
	name string
	// weight is the kind's share among all kinds.
	weight  int
	entries func(f *fleet, rng *rand.Rand) []*process
	agents  func(f *fleet, rng *rand.Rand) []*process
}

func nobody(*fleet, *rand.Rand) []*process { return nil }

// pauseKinds lists what is paused together.
var pauseKinds = []pauseKind{
	{"the leader", 4, leaderOf, nobody},
	{"the leader and agents", 2, leaderOf, someAgents},
	{"an entry", 1, anEntry, nobody},
	{"agents", 1, nobody, someAgents},
}

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

func someAgents(f *fleet, rng *rand.Rand) (list []*process) {
	for range max(1, int(agentsPaused*float64(len(f.vms)))) {
		list = append(list, pick(rng, f.vms).process)
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
// overloads the system meanwhile. It calls report for each pause.
func (f *fleet) injectPauses(ctx context.Context, rng *rand.Rand, report func(string)) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for sleep(ctx, between(rng, minPauseGap, maxPauseGap)); ctx.Err() == nil; sleep(ctx, between(rng, minPauseGap, maxPauseGap)) {
		kind, duration, overload := pickPause(rng), between(rng, minPause, maxPause), rng.IntN(6) == 0
		paused := kind.agents(f, rng)
		if f.mayPause() {
			paused = append(paused, kind.entries(f, rng)...)
		}
		for _, p := range paused {
			report(p.name + " is paused for " + duration.Round(time.Millisecond).String() + ", as are: " + kind.name)
			wg.Go(func() { suspend(ctx, p, duration) })
		}
		if overload {
			report("an overload")
			wg.Go(func() { f.overload(ctx) })
		}
	}
}

// overload lets callers submit more than fits, for overloadDuration.
func (f *fleet) overload(ctx context.Context) {
	f.overloads.Add(1)
	defer f.overloads.Add(-1)
	sleep(ctx, overloadDuration)
}
