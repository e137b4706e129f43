// Package flow takes one request from its arrival to its answer: which upstream
// it goes to, what a failure means, and whether it may be sent again.
//
// A Flow is a state machine. The caller carries out its steps and reports what
// came of them; nothing here waits or sends.
package flow

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/front/limit"
	"github.com/ebonyarch/ebonyarch/internal/front/retry"
	"github.com/ebonyarch/ebonyarch/internal/front/route"
)

// Service is what the requests of one service share at one entry. Its zero
// value has no upstreams. It is not safe for concurrent use.
type Service struct {
	Balancer route.Balancer
	Owners   route.Owners
	// RetryShare is the load that retries and hedges may add, as a fraction.
	RetryShare float64
	// FreshUntil is until when this entry knows the same upstreams as the others.
	FreshUntil time.Time
	budget     retry.Budget
	limits     map[string]*limit.Limiter
	answers    retry.Quantile
	stats      Stats
}

// Stats counts the tries of all requests.
type Stats struct {
	Requests uint64 `json:"requests"`
	Retries  uint64 `json:"retries"`
	Hedges   uint64 `json:"hedges"`
	Revokes  uint64 `json:"revokes"`
}

// Stats returns counts of what was sent so far.
func (s *Service) Stats() Stats { return s.stats }

// Update makes the upstreams those of targets. shares holds the guaranteed share
// of each kind of request in percent, and entries is how many entries there are.
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

// limiter returns the limiter of a kind.
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

// Limit returns the bound on requests in flight of a kind, 0 for none.
func (s *Service) Limit(kind string) float64 { return s.limiter(kind).Limit() }

const (
	// hedgeFactor is how far beyond the high quantile a hedge waits.
	hedgeFactor = 1.5
	minHedge    = time.Millisecond
)

// hedgeAfter returns when an unanswered request is sent to a second upstream,
// 0 for never.
func (s *Service) hedgeAfter() time.Duration {
	q, ok := s.answers.Value()
	if !ok || s.RetryShare == 0 {
		return 0
	}
	return max(minHedge, time.Duration(hedgeFactor*float64(q)))
}
