package route

import (
	"math"
	"net/netip"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/fleet/probe"
)

const (
	// learnRate is the weight of one new measurement of the service time.
	learnRate = 0.2
	// staleAfter is the age at which half of what was measured of an upstream
	// gives way to the average over all.
	staleAfter = 3 * time.Second
	// loadStaleAfter is the age at which the load that other entries cause counts
	// half; it changes much faster than the service time.
	loadStaleAfter = 200 * time.Millisecond
	// fastFailurePenalty multiplies the expected time of an upstream after each
	// failure, so that one that fails at once does not look fast.
	fastFailurePenalty = 2
	maxPenaltySteps    = 6
	// maxSlowness bounds what one measurement may say.
	maxSlowness = 20
)

// Upstream is one replica of a service as one entry sees it.
type Upstream struct {
	// VM and Addr never change, so that they may be read at any time.
	VM   string
	Addr netip.AddrPort
	Zone string
	// Slots is the number of requests that it runs at a time.
	Slots int
	// OneWayDelay is the time that a message takes one way.
	OneWayDelay time.Duration

	// inFlight counts the requests of this entry that are not answered.
	inFlight int
	// slowness is the learned service time as a multiple of the average for the
	// kind of request, and learnedAt its latest measurement.
	slowness  float64
	learnedAt time.Time
	// others is the load that the upstream reported beyond this entry's own.
	others   float64
	othersAt time.Time
	// peers is the number of other entries.
	peers   int
	failed  int
	outlier probe.Health
}

// InFlight returns the requests of this entry that are not answered.
func (u *Upstream) InFlight() int { return u.inFlight }

// Slowness returns the learned service time as a multiple of the average, 0 if
// none was measured.
func (u *Upstream) Slowness() float64 { return u.slowness }

// Ejected reports whether the upstream is out of use, probes aside.
func (u *Upstream) Ejected() bool { return u.outlier.Ejected() }

// ExpectedTime returns how long a request sent now would take that takes service on
// average over all upstreams.
//
// What the upstream said of other entries' requests counts while it is fresh; as
// it ages, the others are assumed to send what this entry sends.
func (u *Upstream) ExpectedTime(now time.Time, average time.Duration) time.Duration {
	service := float64(average)
	if u.slowness > 0 {
		service *= 1 + fade(now.Sub(u.learnedAt), staleAfter)*(u.slowness-1)
	}
	known := halved(now.Sub(u.othersAt), loadStaleAfter)
	own := float64(u.inFlight)
	load := own + known*u.others + (1-known)*own*float64(u.peers)
	slots := float64(max(u.Slots, 1))
	// A request beyond the slots waits for earlier ones; below that, load still
	// costs a little, which keeps equal upstreams evenly used.
	wait := service * max(0, load+1-slots) / slots
	crowd := service * load / slots / 4
	expected := service + wait + crowd
	if u.failed > 0 {
		expected *= math.Pow(fastFailurePenalty, float64(min(u.failed, maxPenaltySteps)))
	}
	return time.Duration(expected) + 2*u.OneWayDelay
}

// halved returns what is left of a figure that halves with each half.
func halved(age, half time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(half))
}

func fade(age, half time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return float64(half) / float64(half+age)
}

// learn takes a measured service time of a kind that takes average over all
// upstreams.
func (u *Upstream) learn(now time.Time, service, average time.Duration) {
	slowness := min(float64(service)/float64(average), maxSlowness)
	u.learnedAt = now
	if u.slowness == 0 {
		u.slowness = slowness
		return
	}
	u.slowness += learnRate * (slowness - u.slowness)
}
