package slots

import (
	"strconv"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/front/flow"
)

// request is a request at an entry.
type request struct {
	sim   *Sim
	kind  *Kind
	entry int
	flow  *flow.Flow
	// arrivedAt is the time of arrival.
	arrivedAt time.Time
	done      bool
}

// request creates a request at a random entry and starts it.
func (s *Sim) request(k *Kind) {
	r := &request{sim: s, kind: k, entry: s.rnd.IntN(s.cfg.Entries), arrivedAt: s.Now}
	s.result.Kinds[k.Name].Offered++
	if s.cfg.Policy.Pick != nil {
		s.sendOnce(r)
		return
	}
	r.flow = flow.New(s.services[r.entry], flow.Request{
		ID: "x", Kind: k.Name, Idempotent: true, Deadline: s.Now.Add(k.Deadline),
	})
	r.perform(r.flow.Begin(s.Now, s.rnd))
}

// perform performs the flow's next step.
func (r *request) perform(step flow.Step) {
	s := r.sim
	switch step.Action {
	case flow.Done:
		r.finish(step.Err)
	case flow.Send:
		i, _ := strconv.Atoi(step.Upstream.VM)
		t := &try{request: r, upstream: s.upstreams[i], index: step.Try, deadline: s.Now.Add(step.Timeout)}
		s.result.Sent++
		s.After(oneWayDelay, t.arrive)
		s.After(step.Timeout, func() {
			if !t.answered {
				t.answered = true
				r.perform(r.flow.Failed(s.Now, s.rnd, t.index, codes.New(codes.TimedOut, "")))
			}
		})
		if step.HedgeAfter > 0 {
			s.After(step.HedgeAfter, func() { r.perform(r.flow.Hedge(s.Now, s.rnd)) })
		}
	}
}

// finish counts the outcome of the request. Only the first call has an effect.
func (r *request) finish(err error) {
	result := r.sim.result.Kinds[r.kind.Name]
	if r.done {
		return
	}
	r.done = true
	took := r.sim.Now.Sub(r.arrivedAt)
	switch {
	case err == nil && took <= r.kind.Deadline:
		result.Answered++
		if r.sim.Now.Sub(r.sim.start) > r.sim.cfg.RunDuration/5 { // after the warm-up
			result.latencies = append(result.latencies, took)
		}
	case err != nil && codes.Of(err).Info().Ran == codes.RanNo:
		result.Refused++
	default:
		result.Failed++
	}
}

// sendOnce sends a request once, to the upstream that the policy picks.
func (s *Sim) sendOnce(r *request) {
	u := s.upstreams[s.cfg.Policy.Pick(s, r.entry)]
	u.inFlight[r.entry]++
	deadline := s.Now.Add(r.kind.Deadline)
	if s.cfg.Policy.NoAdmission {
		deadline = s.Now.Add(time.Hour)
	}
	t := &try{request: r, upstream: u, deadline: deadline}
	s.result.Sent++
	s.After(oneWayDelay, t.arrive)
	s.After(r.kind.Deadline, func() {
		if !t.answered {
			r.finish(codes.New(codes.TimedOut, ""))
		}
	})
}
