package check

import "time"

// JobCall is what was done to the job of one idempotency key.
type JobCall struct {
	Key string
	// Action is the kind of call.
	Action  JobAction
	Outcome Outcome
	// Observed is what a look found.
	Observed JobState
	From, To time.Time
}

// JobAction is a kind of call.
type JobAction uint8

// The calls.
const (
	Submit JobAction = iota
	Cancel
	// Read is a look at the job by a reader that knows all that was accepted.
	Read
)

// JobState is where a job stands.
type JobState uint8

// The states of a job.
const (
	Absent JobState = iota
	Open
	Cancelled
	Completed
)

func (c JobCall) key() string { return c.Key }

func (c JobCall) span() (from, to time.Time, unknown bool) { return c.From, c.To, c.Outcome == Unknown }

// Jobs reports whether the histories of all jobs are those of a life that begins
// at most once and ends at most once.
func Jobs(history []JobCall) bool { return legal(history, Absent, jobStep) }

// jobStep returns the states that a call may leave behind. An open job may
// complete at any moment, which a later call then shows.
func jobStep(state JobState, c JobCall) []JobState {
	var next []JobState
	for _, s := range spontaneous(state) {
		next = append(next, callStep(s, c)...)
	}
	return next
}

func spontaneous(state JobState) []JobState {
	if state == Open {
		return []JobState{Open, Completed}
	}
	return []JobState{state}
}

func callStep(state JobState, c JobCall) []JobState {
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
	case Unknown:
		return []JobState{state, after}
	}
	return []JobState{state}
}

func effect(state JobState, what JobAction) JobState {
	switch {
	case what == Submit && state == Absent:
		return Open
	case what == Cancel && state == Open:
		return Cancelled
	}
	return state
}
