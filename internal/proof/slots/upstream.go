package slots

import (
	"math"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/front/gate"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// upstream is a fake upstream.
type upstream struct {
	index int
	gate  *gate.Gate
	// slowdown is the factor by which neighbours multiply the service time now.
	slowdown float64
	// dead is set once the upstream is unreachable.
	dead bool
	// inFlight is the number of requests in flight from each entry. Only policies
	// with Pick use it.
	inFlight []int
	// fifo holds the waiting tries under NoAdmission, the oldest first. busy is the
	// number of those that run.
	fifo []*try
	busy int
	// pastLoads holds the loads of the last ReportLag, the oldest first, one each
	// loadInterval.
	pastLoads []*schema.Load
}

// loadInterval is the time between two recorded loads of an upstream.
const loadInterval = 50 * time.Millisecond

// recordLoad records the load of an upstream at each loadInterval, for replies that
// report a load ReportLag later.
func (s *Sim) recordLoad(u *upstream) {
	u.pastLoads = append(u.pastLoads, u.load(0))
	if n := int(s.cfg.ReportLag / loadInterval); len(u.pastLoads) > n {
		u.pastLoads = u.pastLoads[len(u.pastLoads)-n:]
	}
	s.After(loadInterval, func() { s.recordLoad(u) })
}

// varySlowdown sets a new slowdown of an upstream at random intervals with the mean
// SlowdownInterval. In two of three cases, the upstream is not slowed down.
func (s *Sim) varySlowdown(u *upstream) {
	s.After(time.Duration(s.rnd.ExpFloat64()*float64(s.cfg.SlowdownInterval)), func() {
		u.slowdown = 1
		if s.rnd.IntN(3) == 0 {
			u.slowdown = 1 + s.rnd.Float64()*(s.cfg.MaxSlowdown-1)
		}
		s.varySlowdown(u)
	})
}

// expire refuses the queued tries whose deadline has passed, every 5 ms.
func (s *Sim) expire(u *upstream) {
	s.After(5*time.Millisecond, func() {
		expired, granted := u.gate.Expire(s.Now)
		for _, t := range expired {
			t.Data.(*try).refuse(codes.TimedOutNotRun)
		}
		s.runGranted(granted)
		s.expire(u)
	})
}

// runNext runs the oldest waiting try under NoAdmission if a slot is free.
func (u *upstream) runNext(s *Sim) {
	if len(u.fifo) == 0 || u.busy >= s.cfg.Slots {
		return
	}
	t := u.fifo[0]
	u.fifo = u.fifo[1:]
	u.busy++
	t.run()
}

// serviceTime draws a service time from a log-normal distribution with the kind's
// mean, multiplied by the slowdown by neighbours. Without the term -0.045, which is
// -0.3²/2, the mean would be higher.
func (s *Sim) serviceTime(k *Kind, u *upstream) time.Duration {
	spread := math.Exp(0.3*s.rnd.NormFloat64() - 0.045)
	return time.Duration(float64(k.ServiceTime) * spread * u.slowdown)
}

func (s *Sim) runGranted(tickets []*gate.Ticket) {
	for _, t := range tickets {
		t.Data.(*try).run()
	}
}

// load returns the current load. took is the service time to report.
func (u *upstream) load(took time.Duration) *schema.Load {
	g := u.gate
	return &schema.Load{
		Running: uint32(g.Running()), Queued: uint32(g.Queued()), Slots: uint32(g.Slots()),
		ServiceUs: uint32(took.Microseconds()),
	}
}
