// Package check checks that histories of concurrent calls are linearizable: there must be an
// order of the calls in which every response is correct.
package check

import "time"

// Outcome is what the response said about a call.
type Outcome uint8

// Outcomes of calls.
const (
	// Done means that the call took effect.
	Done Outcome = iota
	// Refused means that the call had no effect because of the object's state.
	Refused
	// NotRun means that the call had no effect for another reason.
	NotRun
	// Unknown means that the call may have taken effect, or may still do so.
	Unknown
)

// Publish is one attempt to publish a team's configuration.
type Publish struct {
	Team string
	// Base is the revision that the call expected, Revision the new one if the outcome is Done.
	Base, Revision uint64
	Outcome        Outcome
	// From and To are the times of the call and of its response.
	From, To time.Time
}

func (p Publish) key() string { return p.Team }

func (p Publish) interval() (from, to time.Time, unknown bool) {
	return p.From, p.To, p.Outcome == Unknown
}

// publishStep returns the possible revisions after a publish; none if its outcome is impossible.
func publishStep(revision uint64, p Publish) []uint64 {
	baseMatches := revision == p.Base
	switch p.Outcome {
	case Done:
		if baseMatches && p.Revision == revision+1 {
			return []uint64{revision + 1}
		}
		return nil
	case Refused:
		if baseMatches {
			return nil
		}
		return []uint64{revision}
	case Unknown:
		if baseMatches {
			return []uint64{revision, revision + 1}
		}
	}
	return []uint64{revision}
}
