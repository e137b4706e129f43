// Package limit refuses requests at an entry that the upstreams would probably refuse
// anyway, to keep the cost of an overload low.
package limit

import "time"

const (
	// decreaseFactor is the factor on the limit after a refusal.
	decreaseFactor = 0.85
	// decreaseInterval is the least time between decreases, so that the replies to one
	// burst cause a single decrease.
	decreaseInterval = 20 * time.Millisecond
	// headroomFactor bounds the limit to a multiple of the requests in flight, so that
	// the limit does not grow far beyond them while it is not reached.
	headroomFactor = 2.0
	// minLimit is the lowest limit, for kinds without a guaranteed share.
	minLimit = 1.0
	// removeLimitAfter is the time without a refusal after which the limit is removed.
	removeLimitAfter = 2 * time.Second
	// minBackoff and maxBackoff bound the backoff after a refusal at or near the lowest
	// limit.
	minBackoff = 2 * time.Millisecond
	maxBackoff = 50 * time.Millisecond
)

// Limiter limits the requests of one kind that an entry has in flight, by additive
// increase and multiplicative decrease: the limit grows by about one for each round
// of replies and shrinks by a constant factor for each round with refusals by the
// upstreams. The zero value is ready for use and refuses nothing before the first
// refusal by an upstream. It is not safe for concurrent use.
type Limiter struct {
	// limit is 0 while there is no limit.
	limit    float64
	inFlight int
	// decreasedAt is the time of the latest decrease of the limit.
	decreasedAt time.Time
	// backoff is how long further requests are refused after a refusal at or near
	// the lowest limit, until backoffUntil. It doubles with each such refusal and is
	// reset by a request that was not refused.
	backoff      time.Duration
	backoffUntil time.Time
	// Floor is the number of requests in flight that the kind's guaranteed share
	// allows this entry. Requests below it are never refused.
	Floor float64
}

// Acquire counts one more request as in flight and returns true if the limit allows
// it. A call of Release must follow then.
func (l *Limiter) Acquire(now time.Time) bool {
	if l.limit > 0 && now.Sub(l.decreasedAt) > removeLimitAfter {
		l.limit, l.backoff = 0, 0
	}
	if l.limit > 0 && float64(l.inFlight) >= max(l.limit, l.Floor, minLimit) {
		return false
	}
	if now.Before(l.backoffUntil) && float64(l.inFlight) >= l.Floor {
		return false
	}
	l.inFlight++
	return true
}

// Release ends a request that Acquire counted. refused says that the upstreams had no
// capacity for it.
func (l *Limiter) Release(now time.Time, refused bool) {
	if refused && now.Sub(l.decreasedAt) >= decreaseInterval {
		if l.limit == 0 {
			l.limit = float64(l.inFlight)
		}
		l.limit = max(l.limit*decreaseFactor, l.Floor, minLimit)
		l.decreasedAt = now
	}
	switch {
	case !refused:
		l.backoff = 0
	case l.limit <= max(l.Floor, minLimit)+1:
		l.backoff = min(max(2*l.backoff, minBackoff), maxBackoff)
		l.backoffUntil = now.Add(l.backoff)
	}
	if !refused && l.limit > 0 {
		l.limit += 1 / max(l.limit, 1)
		l.limit = min(l.limit, headroomFactor*float64(l.inFlight)+l.Floor+1)
	}
	l.inFlight--
}

// Limit returns the current limit, 0 for no limit.
func (l *Limiter) Limit() float64 { return l.limit }

// InFlight returns the number of requests that Acquire counted and Release did not
// end yet.
func (l *Limiter) InFlight() int { return l.inFlight }
