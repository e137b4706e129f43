// Package route chooses the upstream for each request.
//
// A Balancer samples a few upstreams at random and picks the one with the lowest
// expected response time. The estimate is based on the entry's own requests in
// flight, the load and service time reported in replies, and the network delay.
// Old measurements decay towards the average of all upstreams; otherwise entries
// with outdated reports would all send to the same upstreams.
package route

import (
	"net/netip"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/fleet/probe"
)

// Rand returns random integers in [0, n), as (*rand.Rand).IntN of math/rand/v2
// does.
type Rand interface {
	IntN(n int) int
}

const (
	// defaultServiceTime is the service time assumed before the first measurement.
	defaultServiceTime = 5 * time.Millisecond
	// sampleSize is the number of upstreams sampled for a request. It is larger than
	// two so that the sample includes upstreams that no neighbour slows down, and
	// small enough to spread the load.
	sampleSize = 12
	// meanWeight is the weight of one measurement in the moving averages.
	meanWeight = 0.02
)

// Balancer picks among the upstreams of one service. The zero value has no
// upstreams. It is not safe for concurrent use.
type Balancer struct {
	upstreams []*Upstream
	byVM      map[string]*Upstream
	// mean is the mean service time over all upstreams and kinds of request, and
	// kindMeans the mean of each kind over all upstreams.
	mean      time.Duration
	kindMeans map[string]time.Duration
	// ejected is the number of upstreams that are ejected at present.
	ejected int
}

// Target is the description of an upstream that Update takes; the fields are
// those of Upstream.
type Target struct {
	VM          string
	Addr        netip.AddrPort
	Zone        string
	Slots       int
	OneWayDelay time.Duration
}

// Update replaces the upstreams by targets. An upstream with the same VM and
// address as before keeps its measurements. entries is the number of entries that
// send to these upstreams, this one included.
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
		u.otherEntries = max(entries-1, 0)
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

// Slots returns the total number of slots of all upstreams that are not ejected.
func (b *Balancer) Slots() int {
	sum := 0
	for _, u := range b.upstreams {
		if !u.Ejected() {
			sum += u.Slots
		}
	}
	return sum
}

// Upstreams returns all upstreams. The caller must not modify the slice.
func (b *Balancer) Upstreams() []*Upstream { return b.upstreams }

// Get returns the upstream on a VM, or nil if there is none.
func (b *Balancer) Get(vm string) *Upstream { return b.byVM[vm] }

// Mean returns the mean service time over all upstreams and kinds of request.
func (b *Balancer) Mean() time.Duration {
	if b.mean == 0 {
		return defaultServiceTime
	}
	return b.mean
}

// Pick chooses the upstream for a request of the given kind and counts the request
// as in flight there. It never returns an upstream whose VM is in tried, and
// returns nil if no other is left.
func (b *Balancer) Pick(now time.Time, rnd Rand, kind string, tried []string) *Upstream {
	best := b.pickSampled(now, rnd, kind, tried)
	if best == nil {
		best = b.pickAny(now, rnd, tried)
	}
	if best != nil {
		b.Sent(best)
	}
	return best
}

// Sent counts one more request as in flight on u. A call of Done must follow.
func (b *Balancer) Sent(u *Upstream) {
	u.inFlight++
	u.health.Sent()
}

// pickSampled returns the upstream with the lowest expected response time in a
// random sample, or nil if none in the sample is usable.
func (b *Balancer) pickSampled(now time.Time, rnd Rand, kind string, tried []string) *Upstream {
	n := len(b.upstreams)
	if n == 0 {
		return nil
	}
	var best *Upstream
	var least time.Duration
	average := b.average(kind)
	for range min(sampleSize, n) {
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

// pickAny searches all upstreams for a usable one. If there is none, it returns an
// ejected one: a request that may fail is better than one that is refused.
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

// usable reports whether u was not tried, and is not ejected or is due for a probe.
func usable(now time.Time, u *Upstream, tried []string) bool {
	if contains(tried, u.VM) {
		return false
	}
	return !u.Ejected() || u.health.MayProbe(now)
}

func contains(vms []string, vm string) bool {
	for _, v := range vms {
		if v == vm {
			return true
		}
	}
	return false
}

// Result is the outcome of one try at an upstream.
type Result struct {
	// Inconclusive is set if the outcome says nothing about the upstream.
	Inconclusive bool
	// Failed is set if no reply came or the reply says that the upstream failed.
	Failed bool
	// Kind is the kind of the request, and ServiceTime the processing time that the
	// upstream reported, 0 if unknown.
	Kind        string
	ServiceTime time.Duration
	// Running and Queued are the numbers of requests at the upstream as of LoadAge
	// before the reply arrived. They are valid only if LoadKnown is set.
	LoadKnown       bool
	Running, Queued int
	LoadAge         time.Duration
}

// Suspect counts a failure of an upstream that has not replied yet while another
// has replied to a later try of the same request.
func (b *Balancer) Suspect(now time.Time, u *Upstream) { b.countFailure(now, u) }

// countFailure counts a failure, and ejects the upstream after too many failures
// in a row unless the limit on ejected upstreams is reached.
func (b *Balancer) countFailure(now time.Time, u *Upstream) {
	allowed := (b.ejected+1)*100 <= len(b.upstreams)*probe.MaxEjectedPercent
	if u.health.Failed(now, allowed) && b.byVM[u.VM] == u {
		b.ejected++
	}
}

// Done records the outcome of a request that Pick or Sent counted as in flight.
func (b *Balancer) Done(now time.Time, u *Upstream, r Result) {
	u.inFlight--
	if r.LoadKnown {
		u.otherLoad = max(0, float64(r.Running+r.Queued-u.inFlight-1))
		u.otherLoadAt = now.Add(-r.LoadAge)
	}
	if r.Failed {
		u.consecutiveFailures++
		b.countFailure(now, u)
		return
	}
	if r.Inconclusive {
		return
	}
	u.consecutiveFailures = 0
	if u.health.Succeeded() && b.byVM[u.VM] == u {
		b.ejected--
	}
	if r.ServiceTime > 0 {
		u.learn(now, r.ServiceTime, b.average(r.Kind))
		b.learn(r.Kind, r.ServiceTime)
	}
}

// average returns the mean service time of a kind over all upstreams, or that of
// all kinds if the kind was not measured yet.
func (b *Balancer) average(kind string) time.Duration {
	if d := b.kindMeans[kind]; d > 0 {
		return d
	}
	return b.Mean()
}

// learn updates the moving averages with a measured service time.
func (b *Balancer) learn(kind string, service time.Duration) {
	if b.kindMeans == nil {
		b.kindMeans = map[string]time.Duration{}
	}
	if b.mean == 0 {
		b.mean = service
	}
	if b.kindMeans[kind] == 0 {
		b.kindMeans[kind] = service
	}
	b.mean += time.Duration(meanWeight * float64(service-b.mean))
	b.kindMeans[kind] += time.Duration(meanWeight * float64(service-b.kindMeans[kind]))
}
