package entry

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/front/flow"
	"github.com/ebonyarch/ebonyarch/internal/sched/leader"
	"github.com/ebonyarch/ebonyarch/internal/state/fold"
	"github.com/ebonyarch/ebonyarch/internal/state/writer"
)

// State is the dump of an entry.
type State struct {
	Role     string         `json:"role"`
	Name     string         `json:"name"`
	Zone     string         `json:"zone"`
	Writer   string         `json:"writer"`
	Leaving  bool           `json:"leaving"`
	InFlight int64          `json:"requestsInFlight"`
	LogDown  bool           `json:"logDown"`
	Offset   uint64         `json:"nextOffset"`
	Pending  int            `json:"recordsPending"`
	Fold     fold.Stats     `json:"fold"`
	Appends  writer.Stats   `json:"appends"`
	Config   []ConfigState  `json:"config"`
	Cells    []CellState    `json:"cells"`
	Entries  []PeerState    `json:"entries"`
	VMs      []VMState      `json:"vms"`
	Services []ServiceState `json:"services"`
	// Discarded counts connections that were given up.
	Discarded int `json:"discardedConnections"`
}

// ConfigState is the revision in force for a team.
type ConfigState struct {
	Team     string `json:"team"`
	Revision uint64 `json:"revision"`
	Age      string `json:"age"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// CellState is the leadership of a cell.
type CellState struct {
	Cell    string       `json:"cell"`
	Term    uint64       `json:"term"`
	Leader  string       `json:"leader"`
	Leads   bool         `json:"leads"`
	Waiting int          `json:"waitingTasks"`
	Stats   leader.Stats `json:"stats"`
}

// PeerState is another entry as the log has it.
type PeerState struct {
	Writer string `json:"writer"`
	Name   string `json:"name"`
	Peer   string `json:"peer"`
}

// VMState is a VM as this entry knows it.
type VMState struct {
	VM       string `json:"vm"`
	Cell     string `json:"cell"`
	Zone     string `json:"zone"`
	Addr     string `json:"addr"`
	Leaving  bool   `json:"leaving"`
	Replicas int    `json:"replicas"`
	Attempts int    `json:"attempts"`
}

// ServiceState is a service as this entry routes to it.
type ServiceState struct {
	Service   string          `json:"service"`
	Mean      string          `json:"meanServiceTime"`
	Tries     flow.Stats      `json:"tries"`
	Upstreams []UpstreamState `json:"upstreams"`
}

// UpstreamState is one upstream as this entry sees it.
type UpstreamState struct {
	VM       string  `json:"vm"`
	InFlight int     `json:"inFlight"`
	Slowness float64 `json:"slowness"`
	Ejected  bool    `json:"ejected"`
}

// State implements admin.Process.
func (e *Entry) State() any {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	f := e.core.Fold()
	s := State{
		Role: "entry", Name: e.cfg.Name, Zone: e.cfg.Zone, Writer: e.core.Writer().ID(),
		Leaving: e.leaving.Load(), InFlight: e.inFlight.Load(), LogDown: e.core.Writer().Down(now),
		Offset: f.Next(), Pending: e.core.Writer().Pending(), Fold: f.Stats(),
		Appends: e.core.Writer().Stats(), Discarded: e.links.Discarded(),
	}
	for _, t := range f.Teams() {
		age := now.Sub(t.Changed).Round(time.Millisecond)
		s.Config = append(s.Config, ConfigState{t.Name, t.Revision, age.String(), t.Deleted})
	}
	for _, cell := range e.cfg.Cells {
		c, l := f.Cell(cell), e.core.Leader(cell)
		waiting := 0
		for _, j := range f.Waiting(cell) {
			waiting += int(j.Waiting())
		}
		s.Cells = append(s.Cells, CellState{cell, c.Term, c.Leader, l.Leads(now), waiting, l.Stats()})
	}
	for _, w := range f.Entries() {
		s.Entries = append(s.Entries, PeerState{w.ID, w.Name, w.PeerAddr})
	}
	for _, m := range e.core.Members().Present() {
		s.VMs = append(s.VMs, VMState{
			m.GetVm(), m.GetCell(), m.GetZone(), m.GetAddr(), m.GetLeaving(),
			len(m.GetReplicas()), len(f.Held(m.GetVm())),
		})
	}
	s.Services = e.serviceStates()
	return s
}

func (e *Entry) serviceStates() []ServiceState {
	var states []ServiceState
	for name, svc := range e.routes.Load().services {
		svc.shared.mu.Lock()
		balancer := &svc.shared.flow.Balancer
		state := ServiceState{Service: name, Mean: balancer.Mean().String(), Tries: svc.shared.flow.Stats()}
		for _, u := range balancer.Upstreams() {
			state.Upstreams = append(state.Upstreams, UpstreamState{u.VM, u.InFlight(), u.Slowness(), u.Ejected()})
		}
		svc.shared.mu.Unlock()
		states = append(states, state)
	}
	return states
}

// Ready implements admin.Process.
func (e *Entry) Ready() error {
	if e.leaving.Load() {
		return codes.New(codes.Leaving, "the entry is shutting down")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ready()
}
