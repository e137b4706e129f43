package entry

import "time"

// stepKind says what the event loop did in one step.
type stepKind string

// The steps of the event loop.
const (
	// stepMessage is the handling of a message of an agent or of a caller's request by the leader.
	stepMessage stepKind = "message"
	// stepTick is the leader's periodic work.
	stepTick stepKind = "tick"
	// stepBatch is the placement of waiting tasks and the encoding of a batch.
	stepBatch stepKind = "batch"
	// stepStored is what follows once a batch is stored.
	stepStored stepKind = "stored"
	// stepSend is the sending of the leader's messages.
	stepSend stepKind = "send"
	// stepLead is the beginning of a leadership.
	stepLead stepKind = "lead"
)

const (
	// longStep is the duration from which a step is logged. Pings are due every pingInterval.
	longStep = pingInterval
	// longStepInterval is the least time between two such log lines.
	longStepInterval = time.Second
)

// timeStep runs a step of the event loop, records how long it takes, and logs it if it is long.
// Everything else in the event loop waits meanwhile, as do heartbeats and leases. It must be called in
// the event loop.
func (e *Entry) timeStep(kind stepKind, step func()) {
	startedAt, work := time.Now(), e.work()
	step()
	took := time.Since(startedAt)
	e.metrics.steps.WithLabelValues(string(kind)).Observe(took.Seconds())
	if e.longestSteps == nil {
		e.longestSteps = map[stepKind]time.Duration{}
	}
	if took > e.longestSteps[kind] {
		e.longestSteps[kind] = took
		e.metrics.longestStep.WithLabelValues(string(kind)).Set(took.Seconds())
	}
	if took < longStep || startedAt.Sub(e.longStepLoggedAt) < longStepInterval {
		return
	}
	e.longStepLoggedAt = startedAt
	e.log.Warn("a step of the event loop took long", "kind", string(kind), "took", took, "work", e.work()-work,
		"queued", e.events.Len(), "leading", e.leader != nil, "epoch", e.epoch)
}

// work returns the leader's count of its work, 0 if this entry does not lead.
func (e *Entry) work() uint64 {
	if e.leader == nil {
		return 0
	}
	return e.leader.Work()
}
