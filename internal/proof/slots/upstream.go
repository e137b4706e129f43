package slots

import (
	"math"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/front/gate"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

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

// report notes the load of an upstream, for answers that report it late.
func (s *Sim) report(u *upstream) {
	u.reports = append(u.reports, u.load(0))
	if n := int(s.cfg.ReportLag / reportEvery); len(u.reports) > n {
		u.reports = u.reports[len(u.reports)-n:]
	}
	s.After(reportEvery, func() { s.report(u) })
}

// disturb changes the neighbours of an upstream now and then.
func (s *Sim) disturb(u *upstream) {
	s.After(time.Duration(s.rnd.ExpFloat64()*float64(s.cfg.NoisePeriod)), func() {
		u.slowdown = 1
		if s.rnd.IntN(3) == 0 {
			u.slowdown = 1 + s.rnd.Float64()*(s.cfg.Noise-1)
		}
		s.disturb(u)
	})
}

func (s *Sim) expire(u *upstream) {
	s.After(5*time.Millisecond, func() {
		late, granted := u.gate.Expire(s.Now)
		for _, t := range late {
			t.Data.(*try).refuse(codes.TimedOutNotRun)
		}
		s.grant(granted)
		s.expire(u)
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

func (u *upstream) load(took time.Duration) *schema.Load {
	g := u.gate
	return &schema.Load{
		Running: uint32(g.Running()), Queued: uint32(g.Queued()), Slots: uint32(g.Slots()),
		ServiceUs: uint32(took.Microseconds()),
	}
}
