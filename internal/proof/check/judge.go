package check

import (
	"cmp"
	"time"

	"github.com/anishathalye/porcupine"
)

// defaultTimeout is the Timeout of a zero Checker.
const defaultTimeout = 20 * time.Second

// Checker checks histories. The zero value is ready for use.
type Checker struct {
	// Timeout limits the check of one object's history, 20 s if it is zero. A history whose
	// check takes longer does not pass.
	Timeout time.Duration
}

// Config reports whether the history of each team is linearizable as that of a register with
// compare-and-set.
func (c Checker) Config(history []Publish) bool {
	return linearizable(c.timeout(), history, 0, publishStep)
}

// Jobs reports whether the history of each job is linearizable as that of a job that is created
// at most once and ends at most once.
func (c Checker) Jobs(history []JobCall) bool {
	return linearizable(c.timeout(), history, Absent, jobStep)
}

func (c Checker) timeout() time.Duration { return cmp.Or(c.Timeout, defaultTimeout) }

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
// of them, as far as that can be decided within the timeout for each object. step returns the
// possible states after a call; none if the call is impossible.
func linearizable[C call, S comparable](timeout time.Duration, history []C, initial S, step func(state S, c C) []S) bool {
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
		if porcupine.CheckOperationsTimeout(model, ops, timeout) != porcupine.Ok {
			return false
		}
	}
	return true
}
