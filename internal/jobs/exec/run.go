package exec

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
)

// runKey identifies a run by its task's name and its number.
type runKey struct {
	task   string
	number uint32
}

// run is a run that the leader ordered or that is present at the worker.
type run struct {
	start  msgs.Start
	status msgs.RunStatus
	// orderedAt is when the leader ordered the run, presentSince when the worker first
	// confirmed it. proven is set once the worker has run it for provenAfter.
	orderedAt, presentSince time.Time
	proven                  bool
	// brokenOff is set if a call to start the run ended with its connection. The worker may have
	// crashed during the call.
	brokenOff bool
	// present is set once the worker has confirmed the start or listed the run, listed
	// if the result of the latest poll lists it.
	present, listed bool
	// seen is set once a poll has listed the run, gone if the latest complete list does not name it
	// any more: it has ended.
	seen, gone bool
	// missingSince is when the first complete list arrived that does not name the run although it
	// was present, zero if a later list does.
	missingSince time.Time
	// tries is the number of calls made to start the run. It is reset if the worker
	// refused a call because its fencing token was out of date.
	tries int
	// unanswered is set once a call to start the run got no response. The worker may still
	// carry it out until it has confirmed a stop.
	unanswered bool
	// stopping is set once the run is to be stopped, stopConfirmed once the worker has confirmed
	// that it stops.
	stopping, stopConfirmed bool
	// stopOrderedAt is when the leader ordered the stop, zero if it did not.
	stopOrderedAt time.Time
	// stopDelay is the delay before the latest repeated call to stop the run.
	stopDelay time.Duration
	// stopReason is why the run is stopped although it is not present, empty if the leader
	// ordered it.
	stopReason string
	// unconfirmedReason is not empty if it is unknown since unconfirmedAt whether the run
	// is present. The next poll that starts later shows it.
	unconfirmedReason string
	unconfirmedAt     time.Time
	// limitDue is when the speed limit is to be set again, zero if it is not. An earlier call to
	// set one may be carried out until limitUnsureUntil.
	limitDue, limitUnsureUntil time.Time
}

// markUnconfirmed records that it is unknown whether a run is present.
func (r *run) markUnconfirmed(now time.Time, reason string) {
	if r.unconfirmedReason == "" {
		r.unconfirmedReason, r.unconfirmedAt = reason, now
	}
}
