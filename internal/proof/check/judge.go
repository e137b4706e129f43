package check

import (
	"time"

	"github.com/anishathalye/porcupine"
)

// maxTime bounds one judgement; a history that takes longer counts as true.
const maxTime = 20 * time.Second

// forever is when a call of unknown fate returns.
const forever = 1 << 62

// call is one call of a history.
type call interface {
	// key names the object that the call concerns.
	key() string
	// span is when it was made and answered; unknown calls may take effect later.
	span() (from, to time.Time, unknown bool)
}

// legal reports whether the calls about each object have an order in which step
// allows every one. step returns the states that a call may leave behind.
func legal[C call, S comparable](history []C, first S, step func(state S, c C) []S) bool {
	byKey := map[string][]porcupine.Operation{}
	for i, c := range history {
		from, to, unknown := c.span()
		op := porcupine.Operation{ClientId: i, Input: c, Call: from.UnixNano(), Return: to.UnixNano()}
		if unknown {
			op.Return = forever
		}
		byKey[c.key()] = append(byKey[c.key()], op)
	}
	model := (&porcupine.NondeterministicModel{
		Init: func() []any { return []any{first} },
		Step: func(state, input, _ any) []any {
			var next []any
			for _, s := range step(state.(S), input.(C)) {
				next = append(next, s)
			}
			return next
		},
	}).ToModel()
	for _, ops := range byKey {
		if porcupine.CheckOperationsTimeout(model, ops, maxTime) == porcupine.Illegal {
			return false
		}
	}
	return true
}
