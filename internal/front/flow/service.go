// Package flow decides how an entry handles one request, from arrival to reply: to
// which upstream it is sent, what a failure means, and whether it may be sent again.
//
// A Flow is a state machine. The caller executes the steps that it returns and
// reports their outcomes. The package itself neither blocks nor sends anything.
package flow

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/front/limit"
	"github.com/ebonyarch/ebonyarch/internal/front/retry"
	"github.com/ebonyarch/ebonyarch/internal/front/route"
)

// Service is the state that all requests of one service share at one entry. The zero
// value has no upstreams. It is not safe for concurrent use.
type Service struct {
	Balancer route.Balancer
	Owners   route.Owners
	// RetryShare is the load that retries and hedges may add, as a fraction of the
	// requests. 0 disables both.
	RetryShare float64
	// FreshUntil is the time until which this entry certainly knows the same upstreams
	// as the other entries. After that, the owner of an id is not certain.
	FreshUntil time.Time
	budget     retry.Budget
	limits     map[string]*limit.Limiter
	replyTimes retry.Quantile
	stats      Stats
}

// Stats counts the requests of a service and the tries beyond the first.
type Stats struct {
	Requests uint64 `json:"requests"`
	Retries  uint64 `json:"retries"`
	Hedges   uint64 `json:"hedges"`
	Revokes  uint64 `json:"revokes"`
}

// Stats returns the counts so far.
func (s *Service) Stats() Stats { return s.stats }

// Update replaces the upstreams by targets. shares holds the guaranteed share of the
// slots for each kind of request, in percent. entries is the number of entries, this
// one included.
func (s *Service) Update(now time.Time, targets []route.Target, shares map[string]uint32, entries int) {
	s.Balancer.Update(targets, entries)
	s.Owners.Update(now, targets)
	if s.limits == nil {
		s.limits = map[string]*limit.Limiter{}
	}
	slots := float64(s.Balancer.Slots()) / float64(max(entries, 1))
	for kind, share := range shares {
		s.limiter(kind).Floor = slots * float64(share) / 100
	}
}

// limiter returns the limiter of a kind, and creates it if there is none.
func (s *Service) limiter(kind string) *limit.Limiter {
	l := s.limits[kind]
	if l == nil {
		if s.limits == nil {
			s.limits = map[string]*limit.Limiter{}
		}
		l = &limit.Limiter{}
		s.limits[kind] = l
	}
	return l
}

// Limit returns the limit on requests of a kind in flight, 0 for no limit.
func (s *Service) Limit(kind string) float64 { return s.limiter(kind).Limit() }

const (
	// hedgeFactor is the factor on the high quantile of reply times that gives the
	// delay of a hedge.
	hedgeFactor = 1.5
	// minHedge is the least delay of a hedge.
	minHedge = time.Millisecond
)

// hedgeAfter returns the delay after which a request without a reply is sent to a
// second upstream, 0 for never.
func (s *Service) hedgeAfter() time.Duration {
	q, ok := s.replyTimes.Value()
	if !ok || s.RetryShare == 0 {
		return 0
	}
	return max(minHedge, time.Duration(hedgeFactor*float64(q)))
}
