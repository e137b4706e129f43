package soak

import (
	"context"
	"net/http"
	"strings"
	"time"
)

// watchEvery spaces the questions about configuration and states.
const watchEvery = 150 * time.Millisecond

// seen is the newest configuration that an incarnation of an entry was seen to follow.
type seen struct {
	incarnation, version int64
}

// watch asks for the states of jobs and for the configuration in force until ctx ends.
func (c *callers) watch(ctx context.Context) {
	config := map[*entry]seen{}
	for n := 0; ctx.Err() == nil; n++ {
		e := c.fleet.entries[n%len(c.fleet.entries)]
		config[e] = c.follow(ctx, e, config[e])
		for i, j := range c.open() {
			if i%len(c.fleet.entries) == n%len(c.fleet.entries) {
				c.look(ctx, e, j)
			}
		}
		pause(ctx, watchEvery)
	}
}

// follow checks that an entry does not go back to an earlier configuration.
func (c *callers) follow(ctx context.Context, e *entry, before seen) seen {
	incarnation, newest := e.starts.Load(), c.fleet.version.Load()
	if before.incarnation != incarnation {
		before = seen{incarnation: incarnation}
	}
	inForce, known := c.follows(ctx, e, newest)
	switch {
	case known && inForce:
		return seen{incarnation, newest}
	case known && before.version >= newest && e.starts.Load() == incarnation:
		c.fault("%s went back behind configuration %d", e.name, newest)
	}
	return before
}

// follows asks whether an entry follows a version of the configuration; known is false
// without an answer.
func (c *callers) follows(ctx context.Context, e *entry, version int64) (inForce, known bool) {
	status, _ := c.call(ctx, e, http.MethodGet, versionPrefix(version)+"0000000000000000", "")
	return status == http.StatusGone, status == http.StatusGone || status == http.StatusNotFound
}

// settle waits until all that was accepted is completed, and says what is not.
func (c *callers) settle(ctx context.Context) {
	for ctx.Err() == nil && len(c.open()) > 0 {
		for i, j := range c.open() {
			c.look(ctx, c.fleet.entries[i%len(c.fleet.entries)], j)
		}
		pause(ctx, watchEvery)
	}
	for _, j := range c.open() {
		c.fault("job %s, accepted %s ago, is not completed", j.id, time.Since(j.accepted).Round(time.Millisecond))
	}
	c.ownEnds()
	newest := c.fleet.version.Load()
	for _, e := range c.fleet.entries {
		if inForce, _ := c.follows(context.WithoutCancel(ctx), e, newest); !inForce {
			c.fault("%s does not follow configuration %d", e.name, newest)
		}
	}
	c.judge()
}

// ownEnds notes processes that ended though nothing ended them, once the faults are over.
func (c *callers) ownEnds() {
	for _, p := range c.fleet.processes() {
		if p.gone() {
			c.fault("%s has ended by itself", p.name)
		}
	}
}

// judge checks what must hold at the end, whatever happened.
func (c *callers) judge() {
	c.mu.Lock()
	defer c.mu.Unlock()
	running := strings.Join(c.fleet.witness.Running(), " ")
	for _, j := range c.jobs {
		switch {
		case j.refused && c.fleet.witness.Starts(j.id+".0.0.0") > 0:
			c.faults = append(c.faults, "job "+j.id+" was refused each time, and ran")
		case !j.cancelled.IsZero() && strings.Contains(running, j.id):
			c.faults = append(c.faults, "job "+j.id+" was cancelled, and runs on")
		}
	}
	c.faults = append(c.faults, c.fleet.witness.Faults()...)
}
