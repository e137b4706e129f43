package soak

import (
	"context"
	"net/http"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/proof/asked"
)

// watchInterval is the time between two rounds of requests for configuration and job states.
const watchInterval = 150 * time.Millisecond

// startTimeout is how long an entry may take to respond after its process was started.
const startTimeout = 5 * time.Second

// finalStretch is how long the soak waits after the last cancellation and the last fault, so
// that runs that do not stop are seen.
const finalStretch = asked.CancelDelay + asked.StopTime + 2*runsInterval

// configSeen is the newest configuration version that an incarnation of an entry was seen to
// use.
type configSeen struct {
	incarnation, version int64
}

// watch checks the states of jobs and the configuration at all entries, in turn, until ctx
// ends.
func (c *callers) watch(ctx context.Context) {
	config := map[*entry]configSeen{}
	for n := 0; ctx.Err() == nil; n++ {
		e := c.fleet.entries[n%len(c.fleet.entries)]
		config[e] = c.checkConfig(ctx, e, config[e])
		for i, j := range c.jobs.pending() {
			if i%len(c.fleet.entries) == n%len(c.fleet.entries) {
				c.checkJob(ctx, e, j)
			}
		}
		sleep(ctx, watchInterval)
	}
}

// checkConfig checks that an incarnation of an entry does not return to an earlier
// configuration than last, and returns the newest one seen.
func (c *callers) checkConfig(ctx context.Context, e *entry, last configSeen) configSeen {
	incarnation, newest := e.incarnations.Load(), c.fleet.version.Load()
	if last.incarnation != incarnation {
		last = configSeen{incarnation: incarnation}
	}
	inForce, known := c.hasConfig(ctx, e, newest)
	switch {
	case known && inForce:
		return configSeen{incarnation, newest}
	case known && last.version >= newest && e.incarnations.Load() == incarnation:
		c.jobs.addFault("%s returned to a configuration before version %d", e.name, newest)
	}
	return last
}

// hasConfig asks whether an entry uses a version of the configuration or a later one. known is
// false if there is no response.
func (c *callers) hasConfig(ctx context.Context, e *entry, version int64) (inForce, known bool) {
	status, _ := c.call(ctx, requestTimeout, e, http.MethodGet, versionPrefix(version)+"0000000000000000", "")
	return status == http.StatusGone, status == http.StatusGone || status == http.StatusNotFound
}

// settle waits until all accepted jobs are completed or ctx ends, then checks the final state.
func (c *callers) settle(ctx context.Context) {
	for ctx.Err() == nil && len(c.jobs.pending()) > 0 {
		for i, j := range c.jobs.pending() {
			c.checkJob(ctx, c.fleet.entries[i%len(c.fleet.entries)], j)
		}
		sleep(ctx, watchInterval)
	}
	for _, j := range c.jobs.pending() {
		c.jobs.addFault("job %s, accepted %s ago, is not completed", j.id, time.Since(j.acceptedAt).Round(time.Millisecond))
	}
	c.checkProcesses()
	for _, e := range c.fleet.entries {
		c.checkNewest(context.WithoutCancel(ctx), e)
	}
	sleep(ctx, time.Until(c.jobs.lastGone().Add(finalStretch)))
	c.checkInvariants()
}

// checkNewest checks that an entry uses the newest configuration, as soon as it responds. An
// entry that was started just now does not listen yet.
func (c *callers) checkNewest(ctx context.Context, e *entry) {
	newest, until := c.fleet.version.Load(), time.Now().Add(startTimeout)
	inForce, known := c.hasConfig(ctx, e, newest)
	for !known && time.Now().Before(until) {
		sleep(ctx, watchInterval)
		inForce, known = c.hasConfig(ctx, e, newest)
	}
	switch {
	case !known:
		c.jobs.addFault("%s does not respond", e.name)
	case !inForce:
		c.jobs.addFault("%s does not use configuration version %d", e.name, newest)
	}
}

// checkProcesses records processes that have exited on their own. It is called after the
// faults, when every process that the soak stopped is started again.
func (c *callers) checkProcesses() {
	for _, p := range c.fleet.processes() {
		if p.exited() {
			c.jobs.addFault("%s has exited on its own", p.name)
		}
	}
}

// checkInvariants checks the invariants that must hold at the end after any faults.
func (c *callers) checkInvariants() {
	running := map[string]bool{}
	for _, task := range c.fleet.witness.Running() {
		running[string(model.JobOf(task))] = true
	}
	for _, j := range c.jobs.all() {
		switch {
		case j.refused && j.started:
			c.jobs.addFault("job %s was refused at every try, but ran", j.id)
		case !j.cancelledAt.IsZero() && running[j.id]:
			c.jobs.addFault("job %s was cancelled, but still runs", j.id)
		}
	}
}
