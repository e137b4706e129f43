// Package slots runs the request path in virtual time over a small fake of
// upstreams with slots, whose speed depends on neighbours that come and go. It
// measures ways to choose upstreams and to admit requests against each other.
package slots

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/front/flow"
	"github.com/ebonyarch/ebonyarch/internal/front/gate"
	"github.com/ebonyarch/ebonyarch/internal/front/route"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
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
	cfg       Config
	now       time.Time
	queue     queue
	seq       int
	rnd       *rand.Rand
	services  []*flow.Service
	next      []int
	upstreams []*upstream
	running   int
	result    Result
	start     time.Time
}

type upstream struct {
	index    int
	gate     *gate.Gate
	slowdown float64
	dead     bool
	inFlight []int
	// fifo holds the requests that wait under NoAdmission, busy those that run.
	fifo []*try
	busy int
	// reports holds the load of the last while, every reportEvery.
	reports []*schema.Load
}

const reportEvery = 50 * time.Millisecond

const hop = 250 * time.Microsecond

// Run plays a run to its end.
func Run(cfg Config) Result {
	s := &Sim{cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, 7)), now: time.Unix(1_800_000_000, 0)}
	s.start = s.now
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
	s.play()
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
			VM: strconv.Itoa(i), Slots: slots, Distance: hop,
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
		service.Update(s.now, targets, shares, s.cfg.Entries)
		s.services = append(s.services, service)
	}
	s.next = make([]int, s.cfg.Entries)
	if s.cfg.ZoneOut {
		s.after(s.cfg.For/2, func() {
			for i := 0; i < len(s.upstreams); i += 3 {
				s.upstreams[i].dead = true
			}
		})
	}
}

// report notes the load of an upstream, for answers that report it late.
func (s *Sim) report(u *upstream) {
	u.reports = append(u.reports, u.load(0))
	if n := int(s.cfg.ReportLag / reportEvery); len(u.reports) > n {
		u.reports = u.reports[len(u.reports)-n:]
	}
	s.after(reportEvery, func() { s.report(u) })
}

// disturb changes the neighbours of an upstream now and then.
func (s *Sim) disturb(u *upstream) {
	s.after(time.Duration(s.rnd.ExpFloat64()*float64(s.cfg.NoisePeriod)), func() {
		u.slowdown = 1
		if s.rnd.IntN(3) == 0 {
			u.slowdown = 1 + s.rnd.Float64()*(s.cfg.Noise-1)
		}
		s.disturb(u)
	})
}

func (s *Sim) expire(u *upstream) {
	s.after(5*time.Millisecond, func() {
		late, granted := u.gate.Expire(s.now)
		for _, t := range late {
			t.Data.(*try).refuse(codes.TimedOutNotRun)
		}
		s.grant(granted)
		s.expire(u)
	})
}

func (s *Sim) arrive(k *Kind) {
	s.after(time.Duration(s.rnd.ExpFloat64()/k.Rate*float64(time.Second)), func() {
		s.request(k)
		s.arrive(k)
	})
}

// request is one request at one entry.
type request struct {
	sim   *Sim
	kind  *Kind
	entry int
	flow  *flow.Flow
	from  time.Time
	done  bool
}

func (s *Sim) request(k *Kind) {
	r := &request{sim: s, kind: k, entry: s.rnd.IntN(s.cfg.Entries), from: s.now}
	s.result.Kinds[k.Name].Offered++
	if s.cfg.Policy.Pick != nil {
		s.baseline(r)
		return
	}
	r.flow = flow.New(s.services[r.entry], flow.Request{
		ID: "x", Kind: k.Name, Idempotent: true, Deadline: s.now.Add(k.Deadline),
	})
	r.take(r.flow.Begin(s.now, s.rnd))
}

func (r *request) take(step flow.Step) {
	s := r.sim
	switch step.Action {
	case flow.Done:
		r.finish(step.Err)
	case flow.Send:
		i, _ := strconv.Atoi(step.Upstream.VM)
		t := &try{request: r, upstream: s.upstreams[i], index: step.Try, deadline: s.now.Add(step.Timeout)}
		s.result.Sent++
		s.after(hop, t.arrive)
		s.after(step.Timeout, func() {
			if !t.answered {
				t.answered = true
				r.take(r.flow.Failed(s.now, s.rnd, t.index, codes.New(codes.TimedOut, "")))
			}
		})
		if step.HedgeAfter > 0 {
			s.after(step.HedgeAfter, func() { r.take(r.flow.Late(s.now, s.rnd)) })
		}
	}
}

func (r *request) finish(err error) {
	result := r.sim.result.Kinds[r.kind.Name]
	if r.done {
		return
	}
	r.done = true
	took := r.sim.now.Sub(r.from)
	switch {
	case err == nil && took <= r.kind.Deadline:
		result.Answered++
		if r.sim.now.Sub(r.sim.start) > r.sim.cfg.For/5 { // after warming up
			result.latencies = append(result.latencies, took)
		}
	case err != nil && codes.Of(err).Info().Ran == codes.RanNo:
		result.Refused++
	default:
		result.Failed++
	}
}

// try is a request at an upstream.
type try struct {
	request  *request
	upstream *upstream
	index    int
	deadline time.Time
	ticket   *gate.Ticket
	answered bool
}

func (t *try) arrive() {
	s, u := t.request.sim, t.upstream
	switch {
	case u.dead:
		return
	case u.index == s.cfg.FailFast:
		t.reply(&schema.ForwardReply{Id: "x", Status: 500, Load: t.load(time.Microsecond)})
		return
	}
	if s.cfg.Policy.NoAdmission {
		u.fifo = append(u.fifo, t)
		u.runNext(s)
		return
	}
	ticket, decision := u.gate.Ask(s.now, t.request.kind.Name, t.deadline)
	t.ticket = ticket
	ticket.Data = t
	switch decision {
	case gate.Granted:
		t.run()
	case gate.Full:
		t.refuse(codes.UpstreamFull)
	case gate.Late:
		t.refuse(codes.DeadlineTooNear)
	}
}

func (t *try) run() {
	s := t.request.sim
	s.running++
	s.result.MostRunning = max(s.result.MostRunning, s.running)
	took := s.serviceTime(t.request.kind, t.upstream)
	s.after(took, func() {
		s.running--
		if t.ticket == nil {
			t.upstream.busy--
			t.upstream.runNext(s)
			t.reply(&schema.ForwardReply{Id: "x", Status: 200})
			return
		}
		s.grant(t.upstream.gate.Done(s.now, t.ticket, took))
		t.reply(&schema.ForwardReply{Id: "x", Status: 200, Load: t.load(took)})
	})
}

// runNext starts the oldest waiting request under NoAdmission.
func (u *upstream) runNext(s *Sim) {
	if len(u.fifo) == 0 || u.busy >= s.cfg.Slots {
		return
	}
	t := u.fifo[0]
	u.fifo = u.fifo[1:]
	u.busy++
	t.run()
}

// serviceTime draws a time around the kind's mean, slowed by neighbours.
func (s *Sim) serviceTime(k *Kind, u *upstream) time.Duration {
	spread := math.Exp(0.3*s.rnd.NormFloat64() - 0.045)
	return time.Duration(float64(k.Service) * spread * u.slowdown)
}

func (s *Sim) grant(tickets []*gate.Ticket) {
	for _, t := range tickets {
		t.Data.(*try).run()
	}
}

func (t *try) load(took time.Duration) *schema.Load {
	if t.request.sim.cfg.ReportLag > 0 && len(t.upstream.reports) > 0 {
		l := t.upstream.reports[0]
		return &schema.Load{
			Running: l.GetRunning(), Queued: l.GetQueued(), Slots: l.GetSlots(), ServiceUs: uint32(took.Microseconds()),
			AgeMs: uint32(t.request.sim.cfg.ReportLag.Milliseconds()),
		}
	}
	return t.upstream.load(took)
}

func (u *upstream) load(took time.Duration) *schema.Load {
	g := u.gate
	return &schema.Load{
		Running: uint32(g.Running()), Queued: uint32(g.Queued()), Slots: uint32(g.Slots()),
		ServiceUs: uint32(took.Microseconds()),
	}
}

func (t *try) refuse(code codes.Code) {
	t.request.sim.result.Wasted++
	t.reply(&schema.ForwardReply{Id: "x", Code: uint32(code), Load: t.load(0)})
}

func (t *try) reply(reply *schema.ForwardReply) {
	s, r := t.request.sim, t.request
	s.after(hop, func() {
		if r.done && reply.GetCode() == 0 {
			s.result.Wasted++
		}
		if t.answered {
			return
		}
		t.answered = true
		if r.flow != nil {
			r.take(r.flow.Replied(s.now, s.rnd, t.index, reply))
			return
		}
		t.upstream.inFlight[r.entry]--
		if code := codes.Code(reply.GetCode()); code != codes.OK || reply.GetStatus() >= 500 {
			r.finish(codes.New(max(code, codes.UpstreamFull), ""))
			return
		}
		r.finish(nil)
	})
}

// baseline sends a request once, by a policy of the bench.
func (s *Sim) baseline(r *request) {
	u := s.upstreams[s.cfg.Policy.Pick(s, r.entry)]
	u.inFlight[r.entry]++
	deadline := s.now.Add(r.kind.Deadline)
	if s.cfg.Policy.NoAdmission {
		deadline = s.now.Add(time.Hour)
	}
	t := &try{request: r, upstream: u, deadline: deadline}
	s.result.Sent++
	s.after(hop, t.arrive)
	s.after(r.kind.Deadline, func() {
		if !t.answered {
			r.finish(codes.New(codes.TimedOut, ""))
		}
	})
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type queue []*event

// Len implements heap.Interface.
func (q queue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q queue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}

// Swap implements heap.Interface.
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { *q = append(*q, x.(*event)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

func (s *Sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, &event{s.now.Add(d), s.seq, run})
}

func (s *Sim) play() {
	end := s.now.Add(s.cfg.For)
	for len(s.queue) > 0 && s.queue[0].at.Before(end) {
		e := heap.Pop(&s.queue).(*event)
		s.now = e.at
		e.run()
	}
}
