package exec

import "github.com/ebonyarch/ebonyarch/internal/jobs/msgs"

// State is what an agent shows of itself.
type State struct {
	VM      msgs.VM `json:"vm"`
	Present bool    `json:"present"`
	Epoch   uint64  `json:"epoch"`
	Synced  bool    `json:"synced"`
	Runs    int     `json:"runs"`
	// UnstoredEnds is the number of ends that the leader has not stored.
	UnstoredEnds int `json:"unstoredEnds"`
}

// State returns what the agent knows, for people.
func (a *Agent) State() State {
	return State{VM: a.vm, Present: a.present, Epoch: a.epoch, Synced: a.synced, Runs: len(a.runs), UnstoredEnds: len(a.ends)}
}
