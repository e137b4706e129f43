package check

import "time"

// JobCall is a call that concerns the job of one idempotency key.
type JobCall struct {
	Key    string
	Action JobAction
	// Outcome of a Cancel is Refused if the response was that there is no such job.
	Outcome Outcome
	// Observed is the state that a Read returned.
	Observed JobState
	// From and To are the times of the call and of its response.
	From, To time.Time
}

// JobAction is a kind of call.
type JobAction uint8

// Kinds of calls.
const (
	Submit JobAction = iota
	Cancel
	// Read reads the job's state at any entry.
	Read
)

// JobState is the state of a job.
type JobState uint8

// States of a job.
const (
	Absent JobState = iota
	Open
	Cancelled
	Completed
)

func (c JobCall) key() string { return c.Key }

func (c JobCall) interval() (from, to time.Time, unknown bool) {
	return c.From, c.To, c.Outcome == Unknown
}

// jobStep returns the possible states after a call; none if its outcome is impossible. An open
// job may complete at any time before the call.
func jobStep(state JobState, c JobCall) []JobState {
	var next []JobState
	for _, s := range reachableStates(state) {
		next = append(next, applyCall(s, c)...)
	}
	return next
}

// reachableStates returns the states that a job in the given state may reach without a call.
func reachableStates(state JobState) []JobState {
	if state == Open {
		return []JobState{Open, Completed}
	}
	return []JobState{state}
}

// applyCall returns the possible states after a call to a job that does not change by itself.
func applyCall(state JobState, c JobCall) []JobState {
	if c.Action == Read {
		if c.Observed != state {
			return nil
		}
		return []JobState{state}
	}
	after := effect(state, c.Action)
	switch c.Outcome {
	case Done:
		if c.Action == Cancel && state == Absent {
			return nil
		}
		return []JobState{after}
	case Refused:
		if c.Action == Cancel && state != Absent {
			return nil
		}
	case Unknown:
		return []JobState{state, after}
	}
	return []JobState{state}
}

// effect returns the state after an action took effect.
func effect(state JobState, action JobAction) JobState {
	switch {
	case action == Submit && state == Absent:
		return Open
	case action == Cancel && state == Open:
		return Cancelled
	}
	return state
}
