package check

import (
	"time"

	"github.com/anishathalye/porcupine"
)

// JobCall is what was done to the job of one idempotency key.
type JobCall struct {
	Key string
	// What is the kind of call.
	What JobAction
	Fate Fate
	// Seen is what a look found.
	Seen     JobState
	From, To time.Time
}

// JobAction is a kind of call.
type JobAction uint8

// The calls.
const (
	Submit JobAction = iota
	Cancel
	// Look is a look at the job by a reader that knows all that was accepted.
	Look
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

// Jobs reports whether the histories of all jobs are those of a life that begins
// at most once and ends at most once.
func Jobs(history []JobCall) bool {
	byKey := map[string][]porcupine.Operation{}
	for i, c := range history {
		op := porcupine.Operation{ClientId: i, Input: c, Output: c, Call: c.From.UnixNano(), Return: c.To.UnixNano()}
		if c.Fate == Unknown {
			op.Return = forever
		}
		byKey[c.Key] = append(byKey[c.Key], op)
	}
	model := (&porcupine.NondeterministicModel{
		Init: func() []any { return []any{Absent} },
		Step: func(state, input, _ any) []any { return jobStep(state.(JobState), input.(JobCall)) },
	}).ToModel()
	for _, ops := range byKey {
		if porcupine.CheckOperationsTimeout(model, ops, maxTime) == porcupine.Illegal {
			return false
		}
	}
	return true
}

// jobStep returns the states that a call may leave behind. An open job may
// complete at any moment, which a later call then shows.
func jobStep(state JobState, c JobCall) []any {
	var next []any
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

func callStep(state JobState, c JobCall) []any {
	if c.What == Look {
		if c.Seen != state {
			return nil
		}
		return []any{state}
	}
	after := effect(state, c.What)
	switch c.Fate {
	case Done:
		if c.What == Cancel && state == Absent {
			return nil
		}
		return []any{after}
	case Unknown:
		return []any{state, after}
	}
	return []any{state}
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
