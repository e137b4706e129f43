// Package slots runs the request path in virtual time on top of fake upstreams that
// have a limited number of slots and are slowed down by a varying load of other
// tasks on the same VM. It compares policies for choosing upstreams and admitting
// requests.
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

// Kind is a kind of request with its load. Arrivals are a Poisson process.
type Kind struct {
	gate.Kind
	// Rate is the mean number of requests per second over all entries.
	Rate float64
	// ServiceTime is the mean service time without a slowdown by neighbours.
	ServiceTime time.Duration
	// Deadline is the time that a request has from its arrival at an entry.
	Deadline time.Duration
}

// Policy says how requests are routed and admitted.
type Policy struct {
	Name string
	// Pick returns the index of the upstream for a request, which is sent once. If
	// Pick is nil, requests take the project's own flow, with retries and hedges.
	Pick func(s *Sim, entry int) int
	// NoAdmission makes each upstream queue all requests in one unbounded FIFO
	// queue instead of using its gate.
	NoAdmission bool
}

// Config holds the parameters of a run.
type Config struct {
	Seed               uint64
	Policy             Policy
	Entries, Upstreams int
	// Slots is the number of slots of each upstream.
	Slots int
	Kinds []Kind
	// RunDuration is the virtual duration of the run.
	RunDuration time.Duration
	// MaxSlowdown is the largest factor by which neighbours multiply the service
	// time. 1 means no slowdown.
	MaxSlowdown float64
	// SlowdownInterval is the mean time between changes of an upstream's slowdown.
	SlowdownInterval time.Duration
	// FailingUpstream is the index of an upstream that fails every request at once,
	// or -1.
	FailingUpstream int
	// ZoneOutage makes a third of the upstreams unreachable after half of the run.
	ZoneOutage bool
	// ReportLag is the age of the load that replies report.
	ReportLag time.Duration
	// RetryShare is the budget of retries and hedges as a share of the requests.
	RetryShare float64
}

// KindResult counts the requests of one kind by outcome. Answered counts those with
// a response before the deadline, Refused the unsuccessful ones that certainly did
// not run, and Failed all others.
type KindResult struct {
	Offered, Answered, Refused, Failed int
	// latencies holds the response times of answered requests after the warm-up,
	// sorted when the run ends.
	latencies []time.Duration
}

// Quantile returns a quantile of the response times, or 0 if there are none.
func (r *KindResult) Quantile(q float64) time.Duration {
	if len(r.latencies) == 0 {
		return 0
	}
	return r.latencies[min(len(r.latencies)-1, int(q*float64(len(r.latencies))))]
}

// Result holds the measurements of a run.
type Result struct {
	// Kinds holds the results by kind.
	Kinds map[string]*KindResult
	// Sent is the number of tries sent to upstreams. Wasted is the number of those
	// that an upstream refused, or whose reply came after the request had ended.
	Sent, Wasted int
	// PeakRunning is the largest number of requests that ran at a time, over all
	// upstreams.
	PeakRunning int
}

// Sim is the state of a run.
type Sim struct {
	cfg Config
	vtime.Loop
	rnd *rand.Rand
	// services holds the routes of each entry.
	services []*flow.Service
	// nextUpstream holds the round-robin counter of each entry.
	nextUpstream []int
	upstreams    []*upstream
	// running is the number of requests that run now.
	running int
	result  Result
	start   time.Time
}

// oneWayDelay is the network delay of each message.
const oneWayDelay = 250 * time.Microsecond

// Run simulates a run and returns its result.
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
	s.Run(cfg.RunDuration)
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
			VM: strconv.Itoa(i), Slots: slots, OneWayDelay: oneWayDelay,
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1),
		})
		if s.cfg.MaxSlowdown > 1 {
			s.varySlowdown(u)
		}
		s.expire(u)
		if s.cfg.ReportLag > 0 {
			s.recordLoad(u)
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
	s.nextUpstream = make([]int, s.cfg.Entries)
	if s.cfg.ZoneOutage {
		s.After(s.cfg.RunDuration/2, func() {
			for i := 0; i < len(s.upstreams); i += 3 {
				s.upstreams[i].dead = true
			}
		})
	}
}

// arrive schedules the next arrival of a kind, and so all later ones.
func (s *Sim) arrive(k *Kind) {
	s.After(time.Duration(s.rnd.ExpFloat64()/k.Rate*float64(time.Second)), func() {
		s.request(k)
		s.arrive(k)
	})
}
