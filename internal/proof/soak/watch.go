package soak

import (
	"context"
	"net/http"
	"strings"
	"time"
)

// watchInterval is the time between two rounds of requests for configuration and job states.
const watchInterval = 150 * time.Millisecond

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
		for i, j := range c.pendingJobs() {
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
		c.addFault("%s returned to a configuration before version %d", e.name, newest)
	}
	return last
}

// hasConfig asks whether an entry uses a version of the configuration or a later one. known is
// false if there is no response.
func (c *callers) hasConfig(ctx context.Context, e *entry, version int64) (inForce, known bool) {
	status, _ := c.call(ctx, e, http.MethodGet, versionPrefix(version)+"0000000000000000", "")
	return status == http.StatusGone, status == http.StatusGone || status == http.StatusNotFound
}

// settle waits until all accepted jobs are completed or ctx ends, then checks the final state.
func (c *callers) settle(ctx context.Context) {
	for ctx.Err() == nil && len(c.pendingJobs()) > 0 {
		for i, j := range c.pendingJobs() {
			c.checkJob(ctx, c.fleet.entries[i%len(c.fleet.entries)], j)
		}
		sleep(ctx, watchInterval)
	}
	for _, j := range c.pendingJobs() {
		c.addFault("job %s, accepted %s ago, is not completed", j.id, time.Since(j.acceptedAt).Round(time.Millisecond))
	}
	c.checkProcesses()
	newest := c.fleet.version.Load()
	for _, e := range c.fleet.entries {
		if inForce, _ := c.hasConfig(context.WithoutCancel(ctx), e, newest); !inForce {
			c.addFault("%s does not use configuration version %d", e.name, newest)
		}
	}
	c.checkInvariants()
}

// checkProcesses records processes that have exited on their own. It is called after the
// faults, when every process that the soak stopped is started again.
func (c *callers) checkProcesses() {
	for _, p := range c.fleet.processes() {
		if p.exited() {
			c.addFault("%s has exited on its own", p.name)
		}
	}
}

// checkInvariants checks the invariants that must hold at the end after any faults.
func (c *callers) checkInvariants() {
	c.mu.Lock()
	defer c.mu.Unlock()
	running := strings.Join(c.fleet.witness.Running(), " ")
	for _, j := range c.jobs {
		switch {
		case j.refused && c.fleet.witness.Starts(j.id+".0.0.0") > 0:
			c.faults = append(c.faults, "job "+j.id+" was refused at every try, but ran")
		case !j.cancelledAt.IsZero() && strings.Contains(running, j.id):
			c.faults = append(c.faults, "job "+j.id+" was cancelled, but still runs")
		}
	}
	c.faults = append(c.faults, c.fleet.witness.Faults()...)
}
