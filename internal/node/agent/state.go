package agent

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/sched/runner"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// State is the dump of an agent.
type State struct {
	Role        string       `json:"role"`
	VM          string       `json:"vm"`
	Cell        string       `json:"cell"`
	Leaving     bool         `json:"leaving"`
	Entry       string       `json:"entry"`
	Term        uint64       `json:"term"`
	Lease       string       `json:"lease"`
	Config      ConfigState  `json:"config"`
	Capacity    *schema.Size `json:"capacity"`
	Used        *schema.Size `json:"used"`
	Gates       []GateState  `json:"gates"`
	Attempts    []string     `json:"attempts"`
	Results     int          `json:"resultsNotAcknowledged"`
	RequestIDs  int          `json:"requestIDs"`
	Connections int64        `json:"connections"`
	MostOpen    int64        `json:"mostConnections"`
	Stats       runner.Stats `json:"stats"`
}

// ConfigState says which configuration is in force.
type ConfigState struct {
	Version uint64 `json:"version"`
	Age     string `json:"age"`
}

// GateState is the state of one service's slots.
type GateState struct {
	Service string `json:"service"`
	Slots   int    `json:"slots"`
	Running int    `json:"running"`
	Queued  int    `json:"queued"`
}

// State implements admin.Process.
func (a *Agent) State() any {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	s := State{
		Role: "agent", VM: a.cfg.VM, Cell: a.cfg.Cell, Leaving: a.leaving, Entry: a.entry.String(),
		Term: a.runner.Term(), Lease: a.runner.Lease(now).String(), Capacity: a.cfg.Capacity(),
		Used: a.runner.Used(), RequestIDs: a.once.Len(), Connections: a.peers.Open(),
		MostOpen: a.peers.Most(), Stats: a.runner.Stats(),
		Config: ConfigState{a.configVersion, now.Sub(a.answeredAt).Round(time.Millisecond).String()},
	}
	req := &schema.BeatRequest{}
	a.runner.Fill(req)
	for _, at := range req.GetAttempts() {
		s.Attempts = append(s.Attempts, at.GetTask().GetJob())
	}
	s.Results = len(req.GetResults())
	for name, g := range a.gates {
		s.Gates = append(s.Gates, GateState{name, g.Slots(), g.Running(), g.Queued()})
	}
	return s
}

// Ready implements admin.Process.
func (a *Agent) Ready() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.answeredAt.IsZero() {
		return codes.New(codes.NotReady, "no leader has answered yet")
	}
	return nil
}
