package lead

import (
	"fmt"
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/plan"
	"github.com/ebonyarch/ebonyarch/internal/jobs/table"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

const (
	// maxAdviceVMs is the maximum number of VMs in one request. The advisor's response takes
	// longer with each.
	maxAdviceVMs = 12
	// adviceMargin is the time before its expiry from which a ticket is no longer used, at most half
	// of the time for which it is valid.
	adviceMargin = 300 * time.Millisecond
	// adviceRetry is how long a stage waits after the second answer that brought no ticket before it
	// asks for further VMs. It about doubles with each, up to maxAdviceRetry.
	adviceRetry, maxAdviceRetry = 50 * time.Millisecond, 500 * time.Millisecond
	// roundRetry is how long a stage waits after the first round of requests that brought no ticket
	// before it asks for the same VMs again. It doubles with each, up to maxRoundRetry. What the
	// advisor allows changes with a worker's next incarnation only, and a VM with one is asked for
	// sooner.
	roundRetry, maxRoundRetry = 250 * time.Millisecond, 8 * time.Second
	// urgentAdvantage and onTimeAdvantage are how much longer the first request of a stage with
	// the highest priority, or of a job that can be on time, counts as waiting than others.
	urgentAdvantage, onTimeAdvantage = 2 * time.Second, time.Second
)

// AdviceRequest asks the advisor which of the listed VMs may run a step.
type AdviceRequest struct {
	Key plan.StageKey
	// Step is the name by which workers know the step: job, occurrence and step, separated
	// by dots.
	Step string
	VMs  []string
	// waited is how long the stage has waited for the request.
	waited time.Duration
}

// ticket is the advisor's permission to run a stage's tasks on a VM.
type ticket struct {
	text       string
	validUntil time.Time
}

// stageAdvice holds the advisor's tickets for a stage whose queue needs them.
type stageAdvice struct {
	// tickets holds the tickets by VM id, expired ones included.
	tickets map[string]ticket
	// since is when the stage began to wait for its next request, zero if it does not wait. It last
	// wanted one at wantedAt.
	since, wantedAt time.Time
	// nextRequestAt is when the next request may be made.
	nextRequestAt time.Time
	// requested is set once a request was made for the stage.
	requested bool
	// asked holds the incarnations of VMs that were asked for without getting a ticket. Requests
	// leave them out until nextRound.
	asked map[string]int64
	// rounds counts the consecutive rounds of requests, each for all VMs with capacity, that
	// brought no ticket. nextRound is when the next one begins, zero during a round.
	rounds    int
	nextRound time.Time
	// misses counts the requests of the round that brought no ticket.
	misses int
}

// adviceWanted is a stage with tasks that wait for a ticket.
type adviceWanted struct {
	task *plan.Task
	// tasks is the number of tasks that wait, or 1 for a copy.
	tasks int
	// advantage is added to the time that the stage has waited.
	advantage time.Duration
}

// wantAdvice notes that no VM for which a stage has a ticket has capacity for its tasks.
func (p *pass) wantAdvice(t *plan.Task, e *table.Entry, st *table.Stage) {
	a := p.l.advice[t.Key]
	if a == nil {
		a = &stageAdvice{}
		p.l.advice[t.Key] = a
	}
	if a.since.IsZero() || p.now.Sub(a.wantedAt) > adviceForgotten {
		a.since = p.now
	}
	a.wantedAt = p.now
	w := adviceWanted{task: t, tasks: max(1, len(st.Waiting))}
	if !a.requested {
		w.advantage = p.adviceAdvantage(e, st)
	}
	p.l.round.adviceWanted = append(p.l.round.adviceWanted, w)
}

// adviceForgotten is how long after it last wanted a ticket a stage no longer waits for one. A copy is
// wanted with each search for runs to move.
const adviceForgotten = 4 * moveInterval

// adviceAdvantage returns the advantage of a stage's first request.
func (p *pass) adviceAdvantage(e *table.Entry, st *table.Stage) time.Duration {
	w := p.l.describeStage(e, st)
	advantage := time.Duration(0)
	if w.Priority == 0 || w.LongRunning {
		advantage += urgentAdvantage
	}
	if w.OnTime(p.now) {
		advantage += onTimeAdvantage
	}
	return advantage
}

// requestAdvice prepares the next request, unless one is due or in flight. The stage that has waited
// longest comes first, whatever its place in the order of placement.
func (p *pass) requestAdvice() {
	l := p.l
	if l.adviceRequest != nil {
		return
	}
	// An earlier pass of the round may have noted stages that have ended since.
	wanted := slices.DeleteFunc(l.round.adviceWanted, func(w adviceWanted) bool {
		e := l.table.Get(w.task.Key.Job)
		return e == nil || e.State.Ended() || l.advice[w.task.Key] == nil
	})
	l.round.adviceWanted = wanted
	begin := func(w adviceWanted) time.Time { return l.advice[w.task.Key].since.Add(-w.advantage) }
	slices.SortStableFunc(wanted, func(a, b adviceWanted) int { return begin(a).Compare(begin(b)) })
	for i := range wanted {
		w := &wanted[i]
		a := l.advice[w.task.Key]
		if p.now.Before(a.nextRequestAt) {
			continue
		}
		vms := p.adviceVMs(w, a)
		if len(vms) == 0 {
			a.endRound(p.now)
			continue
		}
		for _, id := range vms {
			a.noteAsked(id, l.vms[id].info.Incarnation)
		}
		key := w.task.Key
		l.adviceRequest = &AdviceRequest{Key: key, VMs: vms, Step: fmt.Sprintf("%s.%d.%d", key.Job, key.Occurrence, key.Step), waited: p.now.Sub(a.since)}
		a.requested, a.since = true, time.Time{}
		return
	}
}

// endRound is called when there is no VM to ask for. It ends the round or, once the time for that
// has come, begins the next one.
func (a *stageAdvice) endRound(now time.Time) {
	switch {
	case len(a.asked) == 0: // no VM has capacity
	case a.nextRound.IsZero():
		a.nextRound = now.Add(min(roundRetry<<min(a.rounds, maxDoublings), maxRoundRetry))
		a.rounds++
	case !now.Before(a.nextRound):
		a.asked, a.misses, a.nextRound, a.since = nil, 0, time.Time{}, now
	}
}

// maxDoublings bounds the number of times that a time or a number of VMs is doubled.
const maxDoublings = 10

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
	if err != nil && a != nil {
		a.forget(req.VMs)
	}
	if err != nil || a == nil {
		l.log.Warn("no advice: the request failed or its stage is no longer tracked", "req", req.Key.Job, "step", req.Step, "vms", len(req.VMs), "err", err)
		return
	}
	a.advised(now, req, advice)
	l.log.Info("advice", "req", req.Key.Job, "step", req.Step, "vms", len(req.VMs), "good", len(advice.Tickets), "validFor", advice.ValidFor,
		"waited", req.waited, "misses", a.misses, "rounds", a.rounds)
}

// forget removes VMs from those that were asked for without getting a ticket.
func (a *stageAdvice) forget(ids []string) {
	for _, id := range ids {
		delete(a.asked, id)
	}
}

// advised records the advisor's response.
func (a *stageAdvice) advised(now time.Time, req *AdviceRequest, advice port.Advice) {
	if a.tickets == nil {
		a.tickets = map[string]ticket{}
	}
	a.since = time.Time{} // if it wants more, it begins to wait now
	validUntil := now.Add(advice.ValidFor - min(adviceMargin, advice.ValidFor/2))
	granted := 0
	for _, id := range req.VMs {
		if text, ok := advice.Tickets[id]; ok {
			granted++
			a.forget([]string{id})
			a.tickets[id] = ticket{text, validUntil}
		}
	}
	if granted > 0 {
		a.misses, a.rounds, a.nextRound = 0, 0, time.Time{}
		return
	}
	a.nextRequestAt = now.Add(min(adviceRetry*(1<<min(a.misses, maxDoublings)-1), maxAdviceRetry))
	a.misses++
}

// noteAsked adds a VM to those that were asked for without getting a ticket.
func (a *stageAdvice) noteAsked(id string, incarnation int64) {
	if a.asked == nil {
		a.asked = map[string]int64{}
	}
	a.asked[id] = incarnation
}

// refused records that a worker refused a start for which the stage had a ticket. Another VM is
// tried first then, unless it was only the ticket that had expired.
func (a *stageAdvice) refused(vm string, incarnation int64, expired bool) {
	if expired {
		a.tickets = nil
		return
	}
	delete(a.tickets, vm)
	a.noteAsked(vm, incarnation)
	a.rounds = 0 // the worker may accept a start soon
}

// tickets returns the valid tickets of a stage by VM id.
func (l *Leader) tickets(now time.Time, key plan.StageKey) map[string]string {
	a := l.advice[key]
	if a == nil {
		return nil
	}
	valid := map[string]string{}
	for id, t := range a.tickets {
		if now.Before(t.validUntil) {
			valid[id] = t.text
		}
	}
	return valid
}
