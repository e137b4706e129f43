package lead

import (
	"fmt"
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/plan"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

const (
	// adviceVMs is the maximum number of VMs in one request. The advisor's response takes
	// longer with each.
	adviceVMs = 12
	// adviceMargin is the time before its expiry from which a ticket is no longer used.
	adviceMargin = 300 * time.Millisecond
	// adviceRetry is the minimum time between requests for the same stage. A further
	// request follows if the advisor allowed none of the VMs.
	adviceRetry = 250 * time.Millisecond
)

// AdviceRequest asks the advisor which of the listed VMs may run a step.
type AdviceRequest struct {
	Key plan.StageKey
	// Step is the name by which workers know the step: job, occurrence and step, separated
	// by dots.
	Step string
	VMs  []string
}

// stageAdvice holds the advisor's tickets for a stage whose queue needs them.
type stageAdvice struct {
	// tickets holds the tickets by VM id. They are valid before until.
	tickets    map[string]string
	validUntil time.Time
	// nextRequestAt is when the next request may be made.
	nextRequestAt time.Time
	// asked holds the VMs of earlier requests, so that the next one lists others. It is
	// emptied once no other VM is left.
	asked map[string]bool
}

// requestAdvice prepares a request for a task without a usable ticket, unless another
// request is due or in flight.
func (p *pass) requestAdvice(t *plan.Task) {
	l := p.l
	a := l.advice[t.Key]
	if a == nil {
		a = &stageAdvice{asked: map[string]bool{}}
		l.advice[t.Key] = a
	}
	if l.adviceRequest != nil || p.now.Before(a.nextRequestAt) {
		return
	}
	// The request lists VMs that could run the task if they had a ticket.
	unticketed := *t
	unticketed.Tickets = nil
	unticketed.NeedsTicket = false
	var vms []string
	for _, v := range p.placement {
		if len(vms) < adviceVMs && !a.asked[v.ID] && plan.Choose(&unticketed, []*plan.VM{v}) == 0 {
			vms = append(vms, v.ID)
		}
	}
	if len(vms) == 0 {
		a.asked = map[string]bool{}
		return
	}
	for _, id := range vms {
		a.asked[id] = true
	}
	a.nextRequestAt = p.now.Add(adviceRetry)
	l.adviceRequest = &AdviceRequest{Key: t.Key, VMs: vms, Step: fmt.Sprintf("%s.%d.%d", t.Key.Job, t.Key.Occurrence, t.Key.Step)}
}

// AdviceRequest returns the request to send to the advisor, or nil. Only one request is
// outstanding at a time; Advised takes its response.
func (l *Leader) AdviceRequest() *AdviceRequest {
	if l.adviceInFlight {
		return nil
	}
	l.adviceInFlight = l.adviceRequest != nil
	return l.adviceRequest
}

// Advised processes the advisor's response to a request.
func (l *Leader) Advised(now time.Time, req *AdviceRequest, advice port.Advice, err error) {
	l.adviceRequest, l.adviceInFlight = nil, false
	l.placementDue = true
	a := l.advice[req.Key]
	if err != nil || a == nil {
		l.log.Warn("no advice: the request failed or its stage is no longer tracked", "req", req.Key.Job, "step", req.Step, "vms", len(req.VMs), "err", err)
		return
	}
	l.log.Info("advice", "req", req.Key.Job, "step", req.Step, "vms", len(req.VMs), "good", len(advice.Tickets), "validFor", advice.ValidFor)
	if now.After(a.validUntil) {
		a.tickets = map[string]string{}
	}
	for id, ticket := range advice.Tickets {
		if slices.Contains(req.VMs, id) {
			a.tickets[id] = ticket
		}
	}
	a.validUntil = now.Add(advice.ValidFor - adviceMargin)
}

// tickets returns the valid tickets of a stage by VM id.
func (l *Leader) tickets(now time.Time, key plan.StageKey) map[string]string {
	a := l.advice[key]
	if a == nil || !now.Before(a.validUntil) {
		return nil
	}
	return a.tickets
}
