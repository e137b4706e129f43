// Package route chooses the upstream for each request.
//
// A Balancer draws a few upstreams at random and takes the one that is expected
// to answer first, from its own requests in flight, the load and service time
// that answers report, and the distance. Old figures fade towards the average
// of all upstreams, so that entries with lagging reports do not herd.
package route

import (
	"net/netip"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/fleet/probe"
)

// Rand draws numbers below n; math/rand/v2's IntN fits.
type Rand interface {
	IntN(n int) int
}

const (
	// defaultService is the service time assumed before any measurement.
	defaultService = 5 * time.Millisecond
	// choices is the number of upstreams drawn for a request. More than two finds
	// the fast ones among few that neighbours slow down, and still spreads.
	choices = 12
	// averageRate is the weight of one measurement in the averages.
	averageRate = 0.02
)

// Balancer holds the upstreams of one service. Its zero value has none. It is
// not safe for concurrent use.
type Balancer struct {
	upstreams []*Upstream
	byVM      map[string]*Upstream
	// mean is the service time over all upstreams and kinds of request, and kinds
	// that of each kind.
	mean  time.Duration
	kinds map[string]time.Duration
	// ejected counts the upstreams that are out of use.
	ejected int
}

// Target describes an upstream to Update.
type Target struct {
	VM          string
	Addr        netip.AddrPort
	Zone        string
	Slots       int
	OneWayDelay time.Duration
}

// Update makes the upstreams those of targets, keeping what was learned. entries
// is the number of entries that send to them.
func (b *Balancer) Update(targets []Target, entries int) {
	byVM := make(map[string]*Upstream, len(targets))
	upstreams := make([]*Upstream, 0, len(targets))
	b.ejected = 0
	for _, t := range targets {
		u := b.byVM[t.VM]
		if u == nil || u.Addr != t.Addr {
			u = &Upstream{VM: t.VM, Addr: t.Addr}
		}
		u.Zone, u.Slots, u.OneWayDelay = t.Zone, t.Slots, t.OneWayDelay
		u.peers = max(entries-1, 0)
		byVM[t.VM] = u
		upstreams = append(upstreams, u)
		if u.Ejected() {
			b.ejected++
		}
	}
	b.byVM, b.upstreams = byVM, upstreams
}

// Len returns the number of upstreams.
func (b *Balancer) Len() int { return len(b.upstreams) }

// Slots returns the requests that all upstreams in use run at a time.
func (b *Balancer) Slots() int {
	sum := 0
	for _, u := range b.upstreams {
		if !u.Ejected() {
			sum += u.Slots
		}
	}
	return sum
}

// Upstreams returns all upstreams. The caller must not change them.
func (b *Balancer) Upstreams() []*Upstream { return b.upstreams }

// Get returns the upstream on a VM, or nil.
func (b *Balancer) Get(vm string) *Upstream { return b.byVM[vm] }

// Mean returns the service time over all upstreams.
func (b *Balancer) Mean() time.Duration {
	if b.mean == 0 {
		return defaultService
	}
	return b.mean
}

// Pick returns the upstream for a request of a kind and counts it in flight, or
// nil if none may be used. tried are those that it was sent to before.
func (b *Balancer) Pick(now time.Time, rnd Rand, kind string, tried []string) *Upstream {
	best := b.pickBest(now, rnd, kind, tried)
	if best == nil {
		best = b.pickAny(now, rnd, tried)
	}
	if best != nil {
		b.Sent(best)
	}
	return best
}

// Sent counts a request in flight on u.
func (b *Balancer) Sent(u *Upstream) {
	u.inFlight++
	u.outlier.Sent()
}

// pickBest draws a few upstreams and takes the one expected to answer first.
func (b *Balancer) pickBest(now time.Time, rnd Rand, kind string, tried []string) *Upstream {
	n := len(b.upstreams)
	if n == 0 {
		return nil
	}
	var best *Upstream
	var least time.Duration
	average := b.average(kind)
	for range min(choices, n) {
		u := b.upstreams[rnd.IntN(n)]
		if u == best || !usable(now, u, tried) {
			continue
		}
		if expected := u.ExpectedTime(now, average); best == nil || expected < least {
			best, least = u, expected
		}
	}
	return best
}

// pickAny looks at all upstreams, ejected ones last: sending to one that may
// fail beats refusing while no other is left.
func (b *Balancer) pickAny(now time.Time, rnd Rand, tried []string) *Upstream {
	n := len(b.upstreams)
	if n == 0 {
		return nil
	}
	start := rnd.IntN(n)
	var fallback *Upstream
	for i := range n {
		u := b.upstreams[(start+i)%n]
		if usable(now, u, tried) {
			return u
		}
		if fallback == nil && !contains(tried, u.VM) {
			fallback = u
		}
	}
	return fallback
}

func usable(now time.Time, u *Upstream, tried []string) bool {
	if contains(tried, u.VM) {
		return false
	}
	return !u.Ejected() || u.outlier.MayProbe(now)
}

func contains(vms []string, vm string) bool {
	for _, v := range vms {
		if v == vm {
			return true
		}
	}
	return false
}

// Result is what came of a request at an upstream.
type Result struct {
	// Inconclusive is set if nothing was learned of the upstream.
	Inconclusive bool
	// Failed is set if the upstream did not answer properly.
	Failed bool
	// Kind is the kind of the request, and Service the time that the upstream took
	// for it, 0 if not known.
	Kind        string
	ServiceTime time.Duration
	// Running and Queued are the upstream's load, Age ago, if Loaded.
	LoadKnown       bool
	Running, Queued int
	LoadAge         time.Duration
}

// Suspect reports that an upstream was slower than another that was asked later.
func (b *Balancer) Suspect(now time.Time, u *Upstream) { b.fail(now, u) }

// fail counts a failure and ejects the upstream if it is one too many.
func (b *Balancer) fail(now time.Time, u *Upstream) {
	allowed := (b.ejected+1)*100 <= len(b.upstreams)*probe.MaxEjectedPercent
	if u.outlier.Failed(now, allowed) && b.byVM[u.VM] == u {
		b.ejected++
	}
}

// Done reports the end of a request that Pick or Sent counted.
func (b *Balancer) Done(now time.Time, u *Upstream, r Result) {
	u.inFlight--
	if r.LoadKnown {
		u.others = max(0, float64(r.Running+r.Queued-u.inFlight-1))
		u.othersAt = now.Add(-r.LoadAge)
	}
	if r.Failed {
		u.failed++
		b.fail(now, u)
		return
	}
	if r.Inconclusive {
		return
	}
	u.failed = 0
	if u.outlier.Succeeded() && b.byVM[u.VM] == u {
		b.ejected--
	}
	if r.ServiceTime > 0 {
		u.learn(now, r.ServiceTime, b.average(r.Kind))
		b.learn(r.Kind, r.ServiceTime)
	}
}

// average returns the service time of a kind over all upstreams.
func (b *Balancer) average(kind string) time.Duration {
	if d := b.kinds[kind]; d > 0 {
		return d
	}
	return b.Mean()
}

func (b *Balancer) learn(kind string, service time.Duration) {
	if b.kinds == nil {
		b.kinds = map[string]time.Duration{}
	}
	if b.mean == 0 {
		b.mean = service
	}
	if b.kinds[kind] == 0 {
		b.kinds[kind] = service
	}
	b.mean += time.Duration(averageRate * float64(service-b.mean))
	b.kinds[kind] += time.Duration(averageRate * float64(service-b.kinds[kind]))
}
