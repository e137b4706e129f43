package entry

import (
	"errors"
	"net/netip"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/lead"
)

// State is the state of an entry as the admin endpoint returns it.
type State struct {
	Name    string           `json:"name"`
	Leading bool             `json:"leading"`
	Epoch   uint64           `json:"epoch"`
	Leader  netip.AddrPort   `json:"leader"`
	Entries []netip.AddrPort `json:"entries"`
	// LeaderHeard is the time since the leader's latest message, negative if there was
	// none.
	LeaderHeard time.Duration `json:"leaderHeard"`
	// Config is the version of the current configuration, 0 if there is none.
	Config int64 `json:"config"`
	// PendingRequests is the number of callers' requests without a response.
	PendingRequests int `json:"waitingRequests"`
	// Peers holds the names of the connected agents and entries.
	Peers []string `json:"peers,omitempty"`
	// LeaderState is set if this entry leads.
	LeaderState *lead.State `json:"lead,omitempty"`
}

// AdminView is the operator's view of an entry. It implements admin.Process.
type AdminView struct{ entry *Entry }

// AdminView returns the operator's view of the entry.
func (e *Entry) AdminView() AdminView { return AdminView{e} }

// Ready implements admin.Process.
func (v AdminView) Ready() error {
	if !v.entry.Ready() {
		return errors.New("the entry has no configuration yet or is stopping")
	}
	return nil
}

// State implements admin.Process.
func (v AdminView) State() any {
	e := v.entry
	s := State{Name: e.cfg.Name}
	if cfg := e.Config(); cfg != nil {
		s.Config = cfg.Version
	}
	e.postAndWait(func() {
		s.Leading, s.Epoch, s.Leader = e.leader != nil, e.epoch, e.leaderAddr
		s.Entries = append(s.Entries, e.entries...)
		s.LeaderHeard, s.PendingRequests = e.sinceLeaderHeard(), e.pending.Len()
		for _, c := range e.conns {
			s.Peers = append(s.Peers, c.node)
		}
		if e.leader != nil {
			lead := e.leader.State(time.Now())
			s.LeaderState = &lead
		}
	})
	return s
}
