package exec

import "github.com/ebonyarch/ebonyarch/internal/jobs/msgs"

// State is the agent's state as shown to operators.
type State struct {
	VM      msgs.VM `json:"vm"`
	Present bool    `json:"present"`
	Epoch   uint64  `json:"epoch"`
	Synced  bool    `json:"synced"`
	Runs    int     `json:"runs"`
	// UnstoredEnds is the number of run ends that the leader has not stored.
	UnstoredEnds int `json:"unstoredEnds"`
	// StoredEnd is the number up to which the worker may forget its run ends.
	StoredEnd int64 `json:"storedEnd"`
	// UnstoredCrashes is the number of crashes of workers that the leader has not stored.
	UnstoredCrashes int `json:"unstoredCrashes"`
}

// State returns the agent's current state.
func (a *Agent) State() State {
	return State{
		VM: a.vm, Present: a.present, Epoch: a.epoch, Synced: a.synced, Runs: len(a.runs),
		UnstoredEnds: len(a.ends), StoredEnd: a.storedEnd, UnstoredCrashes: len(a.crashes),
	}
}
