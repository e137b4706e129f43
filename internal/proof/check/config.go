// Package check judges histories of concurrent calls: what callers were told
// must have an order in which it is true.
package check

import (
	"time"

	"github.com/anishathalye/porcupine"
)

// Fate is what a caller was told.
type Fate uint8

// The fates.
const (
	// Done means that the call took effect.
	Done Fate = iota
	// Refused means that it did not, because of the state.
	Refused
	// NotRun means that it did not, whatever the state.
	NotRun
	// Unknown means that it may have, or may yet.
	Unknown
)

// Publish is one attempt to publish a team's configuration.
type Publish struct {
	Team string
	// Base is the revision that it built on, Revision the one it got if Done.
	Base, Revision uint64
	Fate           Fate
	From, To       time.Time
}

// maxTime bounds one judgement; a history that takes longer counts as true.
const maxTime = 20 * time.Second

// forever is when a call of unknown fate returns.
const forever = 1 << 62

// Config reports whether the histories of all teams are those of registers with
// compare-and-set.
func Config(history []Publish) bool {
	byTeam := map[string][]porcupine.Operation{}
	for i, p := range history {
		op := porcupine.Operation{ClientId: i, Input: p, Output: p, Call: p.From.UnixNano(), Return: p.To.UnixNano()}
		if p.Fate == Unknown {
			op.Return = forever
		}
		byTeam[p.Team] = append(byTeam[p.Team], op)
	}
	model := (&porcupine.NondeterministicModel{
		Init: func() []any { return []any{uint64(0)} },
		Step: func(state, input, _ any) []any { return publishStep(state.(uint64), input.(Publish)) },
	}).ToModel()
	for _, ops := range byTeam {
		if porcupine.CheckOperationsTimeout(model, ops, maxTime) == porcupine.Illegal {
			return false
		}
	}
	return true
}

// publishStep returns the revisions that a publish may leave behind.
func publishStep(revision uint64, p Publish) []any {
	fits := revision == p.Base
	switch p.Fate {
	case Done:
		if fits && p.Revision == revision+1 {
			return []any{revision + 1}
		}
		return nil
	case Refused:
		if fits {
			return nil
		}
		return []any{revision}
	case Unknown:
		if fits {
			return []any{revision, revision + 1}
		}
	}
	return []any{revision}
}
