// Package check judges histories of concurrent calls: what callers were told
// must have an order in which it is true.
package check

import "time"

// Outcome is what a caller was told.
type Outcome uint8

// The fates.
const (
	// Done means that the call took effect.
	Done Outcome = iota
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
	Outcome        Outcome
	From, To       time.Time
}

func (p Publish) key() string { return p.Team }

func (p Publish) span() (from, to time.Time, unknown bool) { return p.From, p.To, p.Outcome == Unknown }

// Config reports whether the histories of all teams are those of registers with
// compare-and-set.
func Config(history []Publish) bool { return legal(history, 0, publishStep) }

// publishStep returns the revisions that a publish may leave behind.
func publishStep(revision uint64, p Publish) []uint64 {
	fits := revision == p.Base
	switch p.Outcome {
	case Done:
		if fits && p.Revision == revision+1 {
			return []uint64{revision + 1}
		}
		return nil
	case Refused:
		if fits {
			return nil
		}
		return []uint64{revision}
	case Unknown:
		if fits {
			return []uint64{revision, revision + 1}
		}
	}
	return []uint64{revision}
}
