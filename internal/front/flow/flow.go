package flow

import (
	"fmt"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/front/retry"
	"github.com/ebonyarch/ebonyarch/internal/front/route"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

const (
	// answerMargin is kept of the deadline for the way back.
	answerMargin = 2 * time.Millisecond
	// noUpstreamAfter is when a request without an upstream may come again.
	noUpstreamAfter = time.Second
)

// Request is what a flow needs to know of a request.
type Request struct {
	ID string
	// Kind is the kind of the request within its service.
	Kind       string
	Idempotent bool
	// Stamp is when the caller made the id, zero if the entry did.
	Stamp    time.Time
	Deadline time.Time
}

// Action is what the caller of a flow does next.
type Action uint8

// The actions.
const (
	// Wait for what is under way.
	Wait Action = iota
	// Send the request to Upstream; Replied or Failed must follow.
	Send
	// Revoke the request at Upstream; Revoked must follow.
	Revoke
	// Done: Reply is the answer, or Err says why there is none.
	Done
)

// Step is one action.
type Step struct {
	Action   Action
	Try      int
	Upstream *route.Upstream
	// Timeout is what the upstream gets for a Send.
	Timeout time.Duration
	// HedgeAfter is when Late should be called if no answer came; 0 is never.
	HedgeAfter time.Duration
	Reply      *schema.ForwardReply
	Err        error
}

// Flow is one request on its way. Make it with New. It is not safe for
// concurrent use; it shares its Service with other flows.
type Flow struct {
	service *Service
	req     Request
	tries   []try
	tried   []string
	open    int
	// mayHaveRun is set once a try ended with an unknown fate.
	mayHaveRun bool
	// admitted is set while the request counts against its kind's limit.
	admitted bool
	done     bool
}

type try struct {
	upstream *route.Upstream
	sent     time.Time
	open     bool
	// failure is why the try failed, while its revocation is under way.
	failure error
}

// New returns the flow of a request to a service.
func New(s *Service, req Request) *Flow { return &Flow{service: s, req: req} }

// Tries returns the number of upstreams that the request was sent to.
func (f *Flow) Tries() int { return len(f.tries) }

// Begin returns the first step.
func (f *Flow) Begin(now time.Time, rnd route.Rand) Step {
	f.service.stats.Requests++
	if !f.service.limiter(f.req.Kind).Acquire(now) {
		err := codes.New(codes.Overloaded, "the upstreams refuse more requests of kind %q", f.req.Kind)
		return f.finish(now, nil, codes.WithRetryAfter(err, f.service.Balancer.Mean()))
	}
	f.admitted = true
	f.service.budget.Deposit(f.service.RetryShare)
	u, err := f.pick(now, rnd)
	if err != nil {
		return f.finish(now, nil, err)
	}
	return f.send(now, u)
}

func (f *Flow) pick(now time.Time, rnd route.Rand) (*route.Upstream, error) {
	if !f.req.Stamp.IsZero() && !f.req.Idempotent {
		return f.pickHome(now)
	}
	if u := f.service.Balancer.Pick(now, rnd, f.req.Kind, f.tried); u != nil {
		return u, nil
	}
	return nil, codes.WithRetryAfter(codes.New(codes.NoUpstream, "no upstream of the service is known"), noUpstreamAfter)
}

// pickHome returns the one upstream that may run a caller's non-idempotent
// request, so that a second sending meets the memory of the first.
func (f *Flow) pickHome(now time.Time) (*route.Upstream, error) {
	u := f.service.Balancer.Get(f.service.Owners.Owner(f.req.ID, f.req.Stamp))
	if !now.Before(f.service.FreshUntil) {
		return nil, codes.New(codes.StaleID, "other entries may know other upstreams; whether it ran is not known")
	}
	if u == nil {
		return nil, codes.New(codes.StaleID, "the upstreams changed since the id was made; whether it ran is not known")
	}
	f.service.Balancer.Sent(u)
	return u, nil
}

func (f *Flow) send(now time.Time, u *route.Upstream) Step {
	f.tries = append(f.tries, try{upstream: u, sent: now, open: true})
	f.tried = append(f.tried, u.VM)
	f.open++
	i := len(f.tries) - 1
	timeout := f.req.Deadline.Sub(now) - answerMargin - 2*u.OneWayDelay
	if timeout <= 0 {
		return f.Failed(now, nil, i, codes.New(codes.TimedOutNotRun, "the deadline passed before the request was sent"))
	}
	s := Step{Action: Send, Try: i, Upstream: u, Timeout: timeout}
	if f.req.Idempotent && i == 0 {
		s.HedgeAfter = f.service.hedgeAfter()
	}
	return s
}

// Hedge is called when no answer came for HedgeAfter; it may send the request to
// a second upstream.
func (f *Flow) Hedge(now time.Time, rnd route.Rand) Step {
	if f.done || f.open != 1 || len(f.tries) != 1 {
		return Step{}
	}
	t := retry.Request{
		Idempotent: f.req.Idempotent, Tries: 1, Deadline: f.req.Deadline, ExpectedTime: f.service.Balancer.Mean(),
	}
	if !f.service.budget.Allow(now, t) {
		return Step{}
	}
	u, err := f.pick(now, rnd)
	if err != nil {
		return Step{}
	}
	f.service.stats.Hedges++
	return f.send(now, u)
}

// Replied takes an upstream's answer to a try.
func (f *Flow) Replied(now time.Time, rnd route.Rand, i int, reply *schema.ForwardReply) Step {
	code := codes.Code(reply.GetCode())
	report := route.Result{
		Kind:   f.req.Kind,
		Failed: code == codes.UpstreamFailed || code == codes.TimedOut || reply.GetStatus() >= 500,
	}
	if l := reply.GetLoad(); l != nil {
		report.LoadKnown, report.Running, report.Queued = true, int(l.GetRunning()), int(l.GetQueued())
		report.LoadAge = time.Duration(l.GetAgeMs()) * time.Millisecond
		report.ServiceTime = time.Duration(l.GetServiceUs()) * time.Microsecond
	}
	f.closeTry(now, i, report)
	switch {
	case code != codes.OK:
		err := codes.New(code, "%s", reply.GetMessage())
		return f.failed(now, rnd, i, codes.WithRetryAfter(err, time.Duration(reply.GetRetryAfterMs())*time.Millisecond))
	case reply.GetId() != f.req.ID || reply.GetBodySize() != int64(len(reply.GetBody())):
		return f.failed(now, rnd, i, codes.New(codes.Truncated, "the answer arrived incomplete"))
	}
	f.service.answers.Add(now.Sub(f.tries[i].sent))
	f.suspect(now, i)
	return f.finish(now, reply, nil)
}

// suspect notes the upstreams that still owe an answer to tries that were sent
// before the one that was answered.
func (f *Flow) suspect(now time.Time, answered int) {
	for _, t := range f.tries[:answered] {
		if t.open {
			f.service.Balancer.Suspect(now, t.upstream)
		}
	}
}

// Failed takes the failure of a try that brought no answer. Calls that were cut
// off because the request is done are reported too.
func (f *Flow) Failed(now time.Time, rnd route.Rand, i int, err error) Step {
	report := route.Result{Inconclusive: f.done || codes.Of(err) == codes.TimedOutNotRun}
	report.Failed = !report.Inconclusive
	f.closeTry(now, i, report)
	return f.failed(now, rnd, i, err)
}

func (f *Flow) closeTry(now time.Time, i int, r route.Result) {
	t := &f.tries[i]
	if t.open {
		t.open = false
		f.open--
		f.service.Balancer.Done(now, t.upstream, r)
	}
}

func (f *Flow) failed(now time.Time, rnd route.Rand, i int, err error) Step {
	if f.done {
		return Step{}
	}
	if codes.Of(err).Info().Ran == codes.RanUnknown {
		if !f.req.Idempotent {
			f.tries[i].failure = err
			f.service.stats.Revokes++
			return Step{Action: Revoke, Try: i, Upstream: f.tries[i].upstream}
		}
		f.mayHaveRun = true
	}
	return f.again(now, rnd, err)
}

// Revoked takes the answer to a Revoke: whether the request certainly never
// runs on that upstream.
func (f *Flow) Revoked(now time.Time, rnd route.Rand, i int, never bool) Step {
	err := f.tries[i].failure
	if never {
		return f.again(now, rnd, codes.Wrap(err, codes.Revoked, "revoked before it started"))
	}
	f.mayHaveRun = true
	return f.finish(now, nil, err)
}

// again sends the request to another upstream if that is safe and within the
// budget.
func (f *Flow) again(now time.Time, rnd route.Rand, err error) Step {
	if f.open > 0 {
		return Step{} // another try may still answer
	}
	code := codes.Of(err)
	home := !f.req.Stamp.IsZero() && !f.req.Idempotent
	if code == codes.Truncated || home {
		return f.finish(now, nil, err)
	}
	allowed := f.service.RetryShare > 0 && f.service.budget.Allow(now, retry.Request{
		NotRun: code.Info().Ran == codes.RanNo, Idempotent: f.req.Idempotent,
		Tries: len(f.tries), Deadline: f.req.Deadline, ExpectedTime: f.service.Balancer.Mean(),
	})
	if !allowed {
		return f.finish(now, nil, err)
	}
	u, pickErr := f.pick(now, rnd)
	if pickErr != nil {
		return f.finish(now, nil, err)
	}
	f.service.stats.Retries++
	return f.send(now, u)
}

// full reports whether an upstream had no room for a request.
func full(err error) bool {
	switch codes.Of(err) {
	case codes.UpstreamFull, codes.DeadlineTooNear, codes.TimedOutNotRun:
		return true
	}
	return false
}

func (f *Flow) finish(now time.Time, reply *schema.ForwardReply, err error) Step {
	f.done = true
	if f.admitted {
		f.service.limiter(f.req.Kind).Release(now, full(err))
	}
	if err != nil && f.mayHaveRun && codes.Of(err).Info().Ran == codes.RanNo {
		// An earlier try may have run, so the whole request may have.
		err = codes.Wrap(err, codes.ConnectionLost, "an earlier try may have run")
	}
	if err != nil && len(f.tries) > 1 {
		err = codes.Wrap(err, codes.Of(err), fmt.Sprintf("after %d tries", len(f.tries)))
	}
	return Step{Action: Done, Reply: reply, Err: err}
}
