package route

import (
	"math"
	"net/netip"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/fleet/probe"
)

const (
	// slownessWeight is the weight of one measurement in the moving average of an
	// upstream's slowness.
	slownessWeight = 0.2
	// slownessHalfLife is the age at which the measured slowness of an upstream and
	// the average of all upstreams have equal weight.
	slownessHalfLife = 3 * time.Second
	// loadHalfLife is the time in which the weight of a reported load of other
	// entries halves. It is short because this load changes much faster than the
	// service time.
	loadHalfLife = 200 * time.Millisecond
	// failurePenalty multiplies the expected time of an upstream once for each
	// consecutive failure, at most maxPenalties times. Without the penalty an upstream
	// that fails immediately would look fast and attract requests.
	failurePenalty = 2
	maxPenalties   = 6
	// maxSlowness bounds the slowness taken from a single measurement.
	maxSlowness = 20
)

// Upstream is the state that one entry keeps about one upstream of a service.
type Upstream struct {
	// VM and Addr never change after creation and may be read without a lock.
	VM   string
	Addr netip.AddrPort
	Zone string
	// Slots is the number of requests that the upstream runs at a time.
	Slots int
	// OneWayDelay is the network delay of a message to or from the upstream.
	OneWayDelay time.Duration

	// inFlight is the number of this entry's requests that await a reply.
	inFlight int
	// slowness is a moving average of the service time relative to the average of
	// all upstreams for the same kind of request; 0 means not measured. learnedAt is
	// the time of the latest measurement.
	slowness  float64
	learnedAt time.Time
	// otherLoad is the reported number of running and queued requests of other
	// entries, as of otherLoadAt.
	otherLoad   float64
	otherLoadAt time.Time
	// otherEntries is the number of other entries that send to the upstream.
	otherEntries        int
	consecutiveFailures int
	health              probe.Health
}

// InFlight returns the number of this entry's requests that await a reply.
func (u *Upstream) InFlight() int { return u.inFlight }

// Slowness returns the measured service time as a multiple of the average over all
// upstreams, 0 if none was measured.
func (u *Upstream) Slowness() float64 { return u.slowness }

// Ejected reports whether the upstream is ejected. It then gets only probes, unless
// no other upstream is left.
func (u *Upstream) Ejected() bool { return u.health.Ejected() }

// ExpectedTime estimates the response time of a request sent now. average is the
// mean service time of its kind over all upstreams.
//
// The load of other entries is taken from the upstream's latest report while that
// is recent. As the report ages, the estimate shifts to the assumption that each
// other entry has as many requests in flight as this one.
func (u *Upstream) ExpectedTime(now time.Time, average time.Duration) time.Duration {
	service := float64(average)
	if u.slowness > 0 {
		service *= 1 + hyperbolicDecay(now.Sub(u.learnedAt), slownessHalfLife)*(u.slowness-1)
	}
	freshness := exponentialDecay(now.Sub(u.otherLoadAt), loadHalfLife)
	own := float64(u.inFlight)
	load := own + freshness*u.otherLoad + (1-freshness)*own*float64(u.otherEntries)
	slots := float64(max(u.Slots, 1))
	// A request that finds all slots taken waits for earlier ones. Contention adds a
	// small cost even while slots are free, which spreads requests evenly over equal
	// upstreams.
	wait := service * max(0, load+1-slots) / slots
	contention := service * load / slots / 4
	expected := service + wait + contention
	if u.consecutiveFailures > 0 {
		expected *= math.Pow(failurePenalty, float64(min(u.consecutiveFailures, maxPenalties)))
	}
	return time.Duration(expected) + 2*u.OneWayDelay
}

// exponentialDecay returns the weight of a value of the given age that loses half
// its weight in each halfLife.
func exponentialDecay(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}

// hyperbolicDecay returns the weight of a value of the given age: 1/2 at halfLife,
// 1/3 at twice that, and so on.
func hyperbolicDecay(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return float64(halfLife) / float64(halfLife+age)
}

// learn updates the slowness with a measured service time. average is the mean
// service time of the same kind over all upstreams.
func (u *Upstream) learn(now time.Time, service, average time.Duration) {
	slowness := min(float64(service)/float64(average), maxSlowness)
	u.learnedAt = now
	if u.slowness == 0 {
		u.slowness = slowness
		return
	}
	u.slowness += slownessWeight * (slowness - u.slowness)
}
