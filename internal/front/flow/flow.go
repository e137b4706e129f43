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
	// replyMargin is the part of the time until the deadline that is reserved for
	// returning the reply to the caller.
	replyMargin = 2 * time.Millisecond
	// noUpstreamRetryAfter is the retry delay suggested to the caller of a request for
	// which no upstream is known.
	noUpstreamRetryAfter = time.Second
)

// Request holds the properties of a request that a Flow needs.
type Request struct {
	ID string
	// Kind is the kind of the request within its service.
	Kind       string
	Idempotent bool
	// Stamp is the time at which the caller made the id, zero if the entry made it.
	Stamp    time.Time
	Deadline time.Time
}

// Flow is the state machine of one request. Make it with New. It is not safe for
// concurrent use, nor are two flows that share a Service.
type Flow struct {
	service  *Service
	req      Request
	tries    []try
	triedVMs []string
	// open is the number of tries that are open.
	open int
	// mayHaveRun is set once a try has ended and it is unknown whether it ran the
	// request.
	mayHaveRun bool
	// admitted is set if the request counts towards the limit of its kind.
	admitted bool
	done     bool
}

// try is one sending of the request to an upstream.
type try struct {
	upstream *route.Upstream
	sent     time.Time
	// open is set until Replied or Failed was called for the try.
	open bool
	// failure is the error of a failed try that is being revoked.
	failure error
}

// New returns a Flow for a request to a service. Begin starts it.
func New(s *Service, req Request) *Flow { return &Flow{service: s, req: req} }

// Tries returns the number of tries so far, open ones included.
func (f *Flow) Tries() int { return len(f.tries) }

// Begin returns the first step, which is Send or Done.
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
	return f.send(now, rnd, u)
}

// pick chooses the upstream for the next try and counts the request as in flight
// there.
func (f *Flow) pick(now time.Time, rnd route.Rand) (*route.Upstream, error) {
	if !f.req.Stamp.IsZero() && !f.req.Idempotent {
		return f.pickOwner(now)
	}
	if u := f.service.Balancer.Pick(now, rnd, f.req.Kind, f.triedVMs); u != nil {
		return u, nil
	}
	return nil, codes.WithRetryAfter(codes.New(codes.NoUpstream, "no upstream of the service is known"), noUpstreamRetryAfter)
}

// pickOwner returns the only upstream that may run a non-idempotent request with an
// id that the caller made. If the caller repeats the request, that upstream knows
// the id and refuses to run it twice.
func (f *Flow) pickOwner(now time.Time) (*route.Upstream, error) {
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

// send adds a try at u and returns the step that sends it, or the step after its
// failure if the deadline leaves no time.
func (f *Flow) send(now time.Time, rnd route.Rand, u *route.Upstream) Step {
	f.tries = append(f.tries, try{upstream: u, sent: now, open: true})
	f.triedVMs = append(f.triedVMs, u.VM)
	f.open++
	i := len(f.tries) - 1
	timeout := f.req.Deadline.Sub(now) - replyMargin - 2*u.OneWayDelay
	if timeout <= 0 {
		return f.Failed(now, rnd, i, codes.New(codes.TimedOutNotRun, "the deadline passed before the request was sent"))
	}
	s := Step{Action: Send, Try: i, Upstream: u, Timeout: timeout}
	if f.req.Idempotent && i == 0 {
		s.HedgeAfter = f.service.hedgeAfter()
	}
	return s
}

// Hedge should be called when no reply came within HedgeAfter. If the retry budget
// allows it, the step sends the request to a second upstream as well.
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
	return f.send(now, rnd, u)
}

// Replied handles an upstream's reply to try i and returns the next step.
func (f *Flow) Replied(now time.Time, rnd route.Rand, i int, reply *schema.ForwardReply) Step {
	code := codes.Code(reply.GetCode())
	result := route.Result{
		Kind:   f.req.Kind,
		Failed: code == codes.UpstreamFailed || code == codes.TimedOut || reply.GetStatus() >= 500,
	}
	if l := reply.GetLoad(); l != nil {
		result.LoadKnown, result.Running, result.Queued = true, int(l.GetRunning()), int(l.GetQueued())
		result.LoadAge = time.Duration(l.GetAgeMs()) * time.Millisecond
		result.ServiceTime = time.Duration(l.GetServiceUs()) * time.Microsecond
	}
	f.closeTry(now, i, result)
	switch {
	case code != codes.OK:
		err := codes.New(code, "%s", reply.GetMessage())
		return f.handleFailure(now, rnd, i, codes.WithRetryAfter(err, time.Duration(reply.GetRetryAfterMs())*time.Millisecond))
	case reply.GetId() != f.req.ID || reply.GetBodySize() != int64(len(reply.GetBody())):
		return f.handleFailure(now, rnd, i, codes.New(codes.Truncated, "the answer arrived incomplete"))
	}
	f.service.replyTimes.Add(now.Sub(f.tries[i].sent))
	f.suspect(now, i)
	return f.finish(now, reply, nil)
}

// suspect counts a failure of each upstream that has not replied to a try sent
// before the one that was answered.
func (f *Flow) suspect(now time.Time, answered int) {
	for _, t := range f.tries[:answered] {
		if t.open {
			f.service.Balancer.Suspect(now, t.upstream)
		}
	}
}

// Failed handles the failure of try i, to which no reply came, and returns the next
// step. It must also be called for tries that are cancelled because the request is
// done.
func (f *Flow) Failed(now time.Time, rnd route.Rand, i int, err error) Step {
	result := route.Result{Inconclusive: f.done || codes.Of(err) == codes.TimedOutNotRun}
	result.Failed = !result.Inconclusive
	f.closeTry(now, i, result)
	return f.handleFailure(now, rnd, i, err)
}

// closeTry marks a try as no longer open and reports its outcome to the balancer.
func (f *Flow) closeTry(now time.Time, i int, r route.Result) {
	t := &f.tries[i]
	if t.open {
		t.open = false
		f.open--
		f.service.Balancer.Done(now, t.upstream, r)
	}
}

// handleFailure returns the step after the failure of a try. If a non-idempotent
// request may have run, the step revokes the request, which shows whether it did.
func (f *Flow) handleFailure(now time.Time, rnd route.Rand, i int, err error) Step {
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
	return f.retryOrFinish(now, rnd, err)
}

// Revoked handles the outcome of a Revoke of try i and returns the next step. never
// is set if it is certain that the upstream has not run the request and never will.
func (f *Flow) Revoked(now time.Time, rnd route.Rand, i int, never bool) Step {
	err := f.tries[i].failure
	if never {
		return f.retryOrFinish(now, rnd, codes.Wrap(err, codes.Revoked, "revoked before it started"))
	}
	f.mayHaveRun = true
	return f.finish(now, nil, err)
}

// retryOrFinish sends the request to another upstream if that is safe and within the
// retry budget. Otherwise it finishes the request with err.
func (f *Flow) retryOrFinish(now time.Time, rnd route.Rand, err error) Step {
	if f.open > 0 {
		return Step{} // another try may still succeed
	}
	code := codes.Of(err)
	ownerOnly := !f.req.Stamp.IsZero() && !f.req.Idempotent
	if code == codes.Truncated || ownerOnly {
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
	return f.send(now, rnd, u)
}

// outOfCapacity reports whether err says that the upstreams had no capacity for the
// request.
func outOfCapacity(err error) bool {
	switch codes.Of(err) {
	case codes.UpstreamFull, codes.DeadlineTooNear, codes.TimedOutNotRun:
		return true
	}
	return false
}

// finish marks the request as done and returns the step with its reply or error.
func (f *Flow) finish(now time.Time, reply *schema.ForwardReply, err error) Step {
	f.done = true
	if f.admitted {
		f.service.limiter(f.req.Kind).Release(now, outOfCapacity(err))
	}
	if err != nil && f.mayHaveRun && codes.Of(err).Info().Ran == codes.RanNo {
		// The last try did not run the request, but an earlier one may have.
		err = codes.Wrap(err, codes.ConnectionLost, "an earlier try may have run")
	}
	if err != nil && len(f.tries) > 1 {
		err = codes.Wrap(err, codes.Of(err), fmt.Sprintf("after %d tries", len(f.tries)))
	}
	return Step{Action: Done, Reply: reply, Err: err}
}
