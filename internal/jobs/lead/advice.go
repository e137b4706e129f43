package lead

import (
	"fmt"
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/plan"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

const (
	// adviceVMs bounds the VMs of one question: the answer takes longer for each.
	adviceVMs = 12
	// adviceMargin is the time before its end at which a ticket is no longer used.
	adviceMargin = 300 * time.Millisecond
	// adviceRetry spaces the questions for a step after one that gave no VM.
	adviceRetry = 250 * time.Millisecond
)

// AdviceRequest asks which of some VMs may run a step.
type AdviceRequest struct {
	Key plan.StageKey
	// Step is the step's name, as workers know it.
	Step string
	VMs  []string
}

// stageAdvice is what is known of a step of an advised queue.
type stageAdvice struct {
	tickets map[string]string
	until   time.Time
	// askedAt is when the next question may be asked.
	askedAt time.Time
	// asked holds VMs that were named already, so that others are named next.
	asked map[string]bool
}

// requestAdvice notes that a step needs advice, for one question at a time.
func (p *pass) requestAdvice(t *plan.Task) {
	l := p.l
	a := l.advice[t.Key]
	if a == nil {
		a = &stageAdvice{asked: map[string]bool{}}
		l.advice[t.Key] = a
	}
	if l.adviceRequest != nil || p.now.Before(a.askedAt) {
		return
	}
	fresh := *t
	fresh.Tickets = nil
	fresh.Advised = false
	var vms []string
	for _, v := range p.placement {
		if len(vms) < adviceVMs && !a.asked[v.ID] && plan.Choose(&fresh, []*plan.VM{v}) == 0 {
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
	a.askedAt = p.now.Add(adviceRetry)
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

// Advised takes the answer to a question.
func (l *Leader) Advised(now time.Time, q *AdviceRequest, advice port.Advice, err error) {
	l.adviceRequest, l.adviceInFlight = nil, false
	l.placementDue = true
	a := l.advice[q.Key]
	if err != nil || a == nil {
		l.log.Warn("no advice", "req", q.Key.Job, "step", q.Step, "vms", len(q.VMs), "err", err)
		return
	}
	l.log.Info("advice", "req", q.Key.Job, "step", q.Step, "vms", len(q.VMs), "good", len(advice.Tickets), "validFor", advice.For)
	if now.After(a.until) {
		a.tickets = map[string]string{}
	}
	for id, ticket := range advice.Tickets {
		if slices.Contains(q.VMs, id) {
			a.tickets[id] = ticket
		}
	}
	a.until = now.Add(advice.For - adviceMargin)
}

// tickets returns the valid tickets of a step.
func (l *Leader) tickets(now time.Time, key plan.StageKey) map[string]string {
	a := l.advice[key]
	if a == nil || !now.Before(a.until) {
		return nil
	}
	return a.tickets
}
