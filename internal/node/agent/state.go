package agent

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/base/ident"
	"github.com/ebonyarch/ebonyarch/internal/front/gate"
	"github.com/ebonyarch/ebonyarch/internal/sched/guard"
	"github.com/ebonyarch/ebonyarch/internal/sched/runner"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// State is the state of an agent as the administrative address shows it.
type State struct {
	Role    string `json:"role"`
	VM      string `json:"vm"`
	Cell    string `json:"cell"`
	Leaving bool   `json:"leaving"`
	// Entry is the address of the entry that the heartbeats go to.
	Entry string `json:"entry"`
	// Term is the highest term seen.
	Term uint64 `json:"term"`
	// Lease is the remaining time of the VM's lease, as a Go duration.
	Lease    string       `json:"lease"`
	Config   ConfigState  `json:"config"`
	Capacity *schema.Size `json:"capacity"`
	Used     *schema.Size `json:"used"`
	Gates    []GateState  `json:"gates"`
	Attempts []string     `json:"attempts"`
	// UnacknowledgedResults is the number of results that the leader has not
	// acknowledged.
	UnacknowledgedResults int `json:"resultsNotAcknowledged"`
	// RequestIDs is the number of ids of non-idempotent requests that are remembered.
	RequestIDs int `json:"requestIDs"`
	// Connections is the number of open connections from entries, and PeakOpen the
	// largest number that were open at the same time.
	Connections int64        `json:"connections"`
	PeakOpen    int64        `json:"mostConnections"`
	Stats       runner.Stats `json:"stats"`
	Guard       guard.Stats  `json:"guard"`
}

// ConfigState describes the configuration in the leader's latest reply.
type ConfigState struct {
	Version uint64 `json:"version"`
	// Age is the time since the reply, as a Go duration.
	Age string `json:"age"`
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
	repliedAt, version := a.host.LastLeaderReply()
	r := a.host.Runner
	s := State{
		Role: "agent", VM: a.cfg.VM, Cell: a.cfg.Cell, Leaving: a.host.Leaving(), Entry: a.host.Entry().String(),
		Term: r.Term(), Lease: r.Lease(now).String(), Capacity: a.cfg.Capacity(),
		Used: r.Used(), RequestIDs: a.host.RequestIDs(), Connections: a.peers.OpenConnections(),
		PeakOpen: a.peers.PeakConnections(), Stats: r.Stats(), Guard: a.host.GuardStats(),
		Config: ConfigState{version, now.Sub(repliedAt).Round(time.Millisecond).String()},
	}
	req := &schema.BeatRequest{}
	r.Fill(req)
	for _, at := range req.GetAttempts() {
		s.Attempts = append(s.Attempts, ident.AttemptOf(at.GetTask()).String())
	}
	s.UnacknowledgedResults = len(req.GetResults())
	a.host.Gates(func(service string, g *gate.Gate) {
		s.Gates = append(s.Gates, GateState{service, g.Slots(), g.Running(), g.Queued()})
	})
	return s
}

// Ready implements admin.Process.
func (a *Agent) Ready() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if repliedAt, _ := a.host.LastLeaderReply(); repliedAt.IsZero() {
		return codes.New(codes.NotReady, "no leader has answered yet")
	}
	return nil
}
