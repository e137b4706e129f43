// Package slots runs the request path in virtual time over a small fake of
// upstreams with slots, whose speed depends on neighbours that come and go. It
// measures ways to choose upstreams and to admit requests against each other.
package slots

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/front/flow"
	"github.com/ebonyarch/ebonyarch/internal/front/gate"
	"github.com/ebonyarch/ebonyarch/internal/front/route"
	"github.com/ebonyarch/ebonyarch/internal/proof/vtime"
)

// Kind is one kind of request and how it arrives.
type Kind struct {
	gate.Kind
	// Rate is in requests a second over all entries.
	Rate float64
	// Service is the mean time on an undisturbed slot.
	Service  time.Duration
	Deadline time.Duration
}

// Policy says how requests are routed and admitted.
type Policy struct {
	Name string
	// Pick returns an upstream for a try; nil means the project's own way.
	Pick func(s *Sim, entry int) int
	// NoAdmission queues everything first come, first served, without bound.
	NoAdmission bool
}

// Config describes a run.
type Config struct {
	Seed               uint64
	Policy             Policy
	Entries, Upstreams int
	Slots              int
	Kinds              []Kind
	For                time.Duration
	// Noise is the largest slowdown by neighbours, 1 for none.
	Noise float64
	// NoisePeriod is the mean time between changes of neighbours on an upstream.
	NoisePeriod time.Duration
	// FailFast is an upstream that fails everything at once, -1 for none.
	FailFast int
	// ZoneOut takes a third of the upstreams out of reach from half time on.
	ZoneOut bool
	// ReportLag is how old the load is that answers report.
	ReportLag time.Duration
	// RetryShare is the budget of retries and hedges.
	RetryShare float64
}

// KindResult is what became of one kind of request.
type KindResult struct {
	Offered, Answered, Refused, Failed int
	latencies                          []time.Duration
}

// Quantile returns a quantile of the answer times.
func (r *KindResult) Quantile(q float64) time.Duration {
	if len(r.latencies) == 0 {
		return 0
	}
	return r.latencies[min(len(r.latencies)-1, int(q*float64(len(r.latencies))))]
}

// Result is what a run measured.
type Result struct {
	Kinds map[string]*KindResult
	// Sent counts messages to upstreams, Wasted those that were refused or whose
	// answer nobody waited for.
	Sent, Wasted int
	// MostRunning is the most requests that ran at a time on all upstreams.
	MostRunning int
}

// Sim is one run.
type Sim struct {
	cfg Config
	vtime.Loop
	rnd       *rand.Rand
	services  []*flow.Service
	next      []int
	upstreams []*upstream
	running   int
	result    Result
	start     time.Time
}

const hop = 250 * time.Microsecond

// Run plays a run to its end.
func Run(cfg Config) Result {
	s := &Sim{cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, 7)), Loop: vtime.Loop{Now: time.Unix(1_800_000_000, 0)}}
	s.start = s.Now
	s.result.Kinds = map[string]*KindResult{}
	kinds := make([]gate.Kind, 0, len(cfg.Kinds))
	for _, k := range cfg.Kinds {
		kinds = append(kinds, k.Kind)
		s.result.Kinds[k.Name] = &KindResult{}
	}
	s.setUp(kinds)
	for i := range cfg.Kinds {
		s.arrive(&cfg.Kinds[i])
	}
	s.Run(cfg.For)
	for _, r := range s.result.Kinds {
		slices.Sort(r.latencies)
	}
	return s.result
}

func (s *Sim) setUp(kinds []gate.Kind) {
	var targets []route.Target
	for i := range s.cfg.Upstreams {
		slots, shares := s.cfg.Slots, kinds
		u := &upstream{index: i, gate: gate.New(slots, shares), slowdown: 1, inFlight: make([]int, s.cfg.Entries)}
		s.upstreams = append(s.upstreams, u)
		targets = append(targets, route.Target{
			VM: strconv.Itoa(i), Slots: slots, OneWayDelay: hop,
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1),
		})
		if s.cfg.Noise > 1 {
			s.disturb(u)
		}
		s.expire(u)
		if s.cfg.ReportLag > 0 {
			s.report(u)
		}
	}
	shares := map[string]uint32{}
	for _, k := range kinds {
		shares[k.Name] = k.Share
	}
	for range s.cfg.Entries {
		service := &flow.Service{RetryShare: s.cfg.RetryShare}
		service.Update(s.Now, targets, shares, s.cfg.Entries)
		s.services = append(s.services, service)
	}
	s.next = make([]int, s.cfg.Entries)
	if s.cfg.ZoneOut {
		s.After(s.cfg.For/2, func() {
			for i := 0; i < len(s.upstreams); i += 3 {
				s.upstreams[i].dead = true
			}
		})
	}
}

func (s *Sim) arrive(k *Kind) {
	s.After(time.Duration(s.rnd.ExpFloat64()/k.Rate*float64(time.Second)), func() {
		s.request(k)
		s.arrive(k)
	})
}
