// Package limit refuses requests at an entry that the upstreams would refuse
// anyway, so that a flood costs little.
package limit

import "time"

const (
	// cut is what is left of the limit after a refusal.
	cut = 0.85
	// cutEvery spaces the cuts, so that the answers to one burst count once.
	cutEvery = 20 * time.Millisecond
	// slack is how much a limit that is not used up may exceed the use.
	slack = 2.0
	// smallest is the limit of a kind without any guarantee.
	smallest = 1.0
	// forgetAfter is the time without a refusal after which there is no limit.
	forgetAfter = 2 * time.Second
	// minHold and maxHold bound the wait after a refusal at the smallest limit.
	minHold = 2 * time.Millisecond
	maxHold = 50 * time.Millisecond
)

// Limiter bounds the requests of one kind that an entry has in flight. The bound
// follows the upstreams' refusals: it grows by about one for each round of
// answers and shrinks by a fixed part for each round with refusals. The zero
// value refuses nothing before the first refusal.
type Limiter struct {
	// limit is 0 until the first refusal.
	limit    float64
	inFlight int
	cutAt    time.Time
	// hold is how long further requests are held back after a refusal at the
	// smallest limit, until holdUntil; it doubles with each.
	hold      time.Duration
	holdUntil time.Time
	// Floor is what the kind's guaranteed share lets this entry have in flight at
	// least.
	Floor float64
}

// Acquire counts a request in flight if the limit allows one more.
func (l *Limiter) Acquire(now time.Time) bool {
	if l.limit > 0 && now.Sub(l.cutAt) > forgetAfter {
		l.limit, l.hold = 0, 0
	}
	if l.limit > 0 && float64(l.inFlight) >= max(l.limit, l.Floor, smallest) {
		return false
	}
	if now.Before(l.holdUntil) && float64(l.inFlight) >= l.Floor {
		return false
	}
	l.inFlight++
	return true
}

// Release ends a request that Acquire counted. refused says that the upstreams
// had no room for it.
func (l *Limiter) Release(now time.Time, refused bool) {
	if refused && now.Sub(l.cutAt) >= cutEvery {
		if l.limit == 0 {
			l.limit = float64(l.inFlight)
		}
		l.limit = max(l.limit*cut, l.Floor, smallest)
		l.cutAt = now
	}
	switch {
	case !refused:
		l.hold = 0
	case l.limit <= max(l.Floor, smallest)+1:
		l.hold = min(max(2*l.hold, minHold), maxHold)
		l.holdUntil = now.Add(l.hold)
	}
	if !refused && l.limit > 0 {
		l.limit += 1 / max(l.limit, 1)
		l.limit = min(l.limit, slack*float64(l.inFlight)+l.Floor+1)
	}
	l.inFlight--
}

// Limit returns the bound in force, 0 for none.
func (l *Limiter) Limit() float64 { return l.limit }

// InFlight returns the requests that Acquire counted and Release did not.
func (l *Limiter) InFlight() int { return l.inFlight }
