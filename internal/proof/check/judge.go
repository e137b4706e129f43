package check

import (
	"time"

	"github.com/anishathalye/porcupine"
)

// checkTimeout limits the check of one object's history. A history whose check takes longer
// does not pass.
const checkTimeout = 20 * time.Second

// endOfTime, in Unix nanoseconds, is the return time of calls with an unknown outcome: these may
// take effect at any later time.
const endOfTime = 1 << 62

// call is a call in a history.
type call interface {
	// key returns the name of the object that the call concerns.
	key() string
	// interval returns when the call was made and when it returned, and whether its outcome is
	// unknown.
	interval() (from, to time.Time, unknown bool)
}

// linearizable reports whether the calls to each object have an order in which step allows each
// of them. step returns the possible states after a call; none if the call is impossible.
func linearizable[C call, S comparable](history []C, initial S, step func(state S, c C) []S) bool {
	byKey := map[string][]porcupine.Operation{}
	for i, c := range history {
		from, to, unknown := c.interval()
		op := porcupine.Operation{ClientId: i, Input: c, Call: from.UnixNano(), Return: to.UnixNano()}
		if unknown {
			op.Return = endOfTime
		}
		byKey[c.key()] = append(byKey[c.key()], op)
	}
	model := (&porcupine.NondeterministicModel{
		Init: func() []any { return []any{initial} },
		Step: func(state, input, _ any) []any {
			var next []any
			for _, s := range step(state.(S), input.(C)) {
				next = append(next, s)
			}
			return next
		},
	}).ToModel()
	for _, ops := range byKey {
		if porcupine.CheckOperationsTimeout(model, ops, checkTimeout) != porcupine.Ok {
			return false
		}
	}
	return true
}
