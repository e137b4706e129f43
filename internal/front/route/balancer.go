// Package route chooses the upstream for each request.
//
// A Balancer draws two upstreams at random and takes the one that is expected
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
	// maxDraws bounds the draws for an upstream that may be used.
	maxDraws = 8
)

// Balancer holds the upstreams of one service. Its zero value has none. It is
// not safe for concurrent use.
type Balancer struct {
	upstreams []*Upstream
	byVM      map[string]*Upstream
	// mean is the service time over all upstreams.
	mean time.Duration
	// ejected counts the upstreams that are out of use.
	ejected int
}

// Target describes an upstream to Update.
type Target struct {
	VM       string
	Addr     netip.AddrPort
	Zone     string
	Slots    int
	Distance time.Duration
}

// Update makes the upstreams those of targets, keeping what was learned.
func (b *Balancer) Update(targets []Target) {
	byVM := make(map[string]*Upstream, len(targets))
	upstreams := make([]*Upstream, 0, len(targets))
	b.ejected = 0
	for _, t := range targets {
		u := b.byVM[t.VM]
		if u == nil || u.Addr != t.Addr {
			u = &Upstream{VM: t.VM}
		}
		u.Addr, u.Zone, u.Slots, u.Distance = t.Addr, t.Zone, t.Slots, t.Distance
		u.index = len(upstreams)
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

// Pick returns the upstream for a request and counts it in flight, or nil if
// none may be used. tried are those that the request was sent to before.
func (b *Balancer) Pick(now time.Time, rnd Rand, tried []string) *Upstream {
	best := b.pickTwo(now, rnd, tried)
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

func (b *Balancer) pickTwo(now time.Time, rnd Rand, tried []string) *Upstream {
	n := len(b.upstreams)
	if n == 0 {
		return nil
	}
	var first *Upstream
	for range maxDraws {
		u := b.upstreams[rnd.IntN(n)]
		if u == first || !usable(now, u, tried) {
			continue
		}
		if first == nil {
			first = u
			continue
		}
		if u.Expected(now, b.Mean()) < first.Expected(now, b.Mean()) {
			return u
		}
		return first
	}
	return first
}

// pickAny looks at all upstreams, ejected ones last: sending to one that may
// fail beats refusing while none is healthy.
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
		if fallback == nil && !contains(tried, u.VM) && b.ejected == n {
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

// Report is what came of a request at an upstream.
type Report struct {
	// Failed is set if the upstream did not answer properly.
	Failed bool
	// Service is the time that the upstream took, 0 if not known.
	Service time.Duration
	// Running and Queued are the upstream's load when it answered, if Loaded.
	Loaded          bool
	Running, Queued int
}

// Done reports the end of a request that Pick or Sent counted.
func (b *Balancer) Done(now time.Time, u *Upstream, r Report) {
	u.inFlight--
	if r.Loaded {
		u.others = max(0, float64(r.Running+r.Queued-u.inFlight-1))
		u.othersAt = now
	}
	if r.Failed {
		u.failed++
		allowed := (b.ejected+1)*100 <= len(b.upstreams)*probe.MaxEjectedPercent
		if u.outlier.Failed(now, allowed) && b.byVM[u.VM] == u {
			b.ejected++
		}
		return
	}
	u.failed = 0
	if u.outlier.Succeeded() && b.byVM[u.VM] == u {
		b.ejected--
	}
	if r.Service > 0 {
		u.learn(now, r.Service)
		b.learn(r.Service)
	}
}

func (b *Balancer) learn(service time.Duration) {
	if b.mean == 0 {
		b.mean = service
		return
	}
	b.mean += time.Duration(learnRate / 4 * float64(service-b.mean))
}
