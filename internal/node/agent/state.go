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

// State is the dump of an agent.
type State struct {
	Role                  string       `json:"role"`
	VM                    string       `json:"vm"`
	Cell                  string       `json:"cell"`
	Leaving               bool         `json:"leaving"`
	Entry                 string       `json:"entry"`
	Term                  uint64       `json:"term"`
	Lease                 string       `json:"lease"`
	Config                ConfigState  `json:"config"`
	Capacity              *schema.Size `json:"capacity"`
	Used                  *schema.Size `json:"used"`
	Gates                 []GateState  `json:"gates"`
	Attempts              []string     `json:"attempts"`
	UnacknowledgedResults int          `json:"resultsNotAcknowledged"`
	RequestIDs            int          `json:"requestIDs"`
	Connections           int64        `json:"connections"`
	PeakOpen              int64        `json:"mostConnections"`
	Stats                 runner.Stats `json:"stats"`
	Guard                 guard.Stats  `json:"guard"`
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
	answeredAt, version := a.host.LastLeaderReply()
	r := a.host.Runner
	s := State{
		Role: "agent", VM: a.cfg.VM, Cell: a.cfg.Cell, Leaving: a.host.Leaving(), Entry: a.host.Entry().String(),
		Term: r.Term(), Lease: r.Lease(now).String(), Capacity: a.cfg.Capacity(),
		Used: r.Used(), RequestIDs: a.host.RequestIDs(), Connections: a.peers.OpenConnections(),
		PeakOpen: a.peers.PeakConnections(), Stats: r.Stats(), Guard: a.host.GuardStats(),
		Config: ConfigState{version, now.Sub(answeredAt).Round(time.Millisecond).String()},
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
	if answeredAt, _ := a.host.LastLeaderReply(); answeredAt.IsZero() {
		return codes.New(codes.NotReady, "no leader has answered yet")
	}
	return nil
}
