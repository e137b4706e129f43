package entry

import (
	"errors"
	"net/netip"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/lead"
)

// State is what an entry shows of itself.
type State struct {
	Name    string           `json:"name"`
	Leading bool             `json:"leading"`
	Epoch   uint64           `json:"epoch"`
	Leader  netip.AddrPort   `json:"leader"`
	Entries []netip.AddrPort `json:"entries"`
	// LeaderHeard is how long ago the leader was heard, negative if never.
	LeaderHeard time.Duration `json:"leaderHeard"`
	// Config is the version of the configuration in force, 0 if there is none.
	Config          int64       `json:"config"`
	PendingRequests int         `json:"waitingRequests"`
	Peers           []string    `json:"peers,omitempty"`
	LeaderState     *lead.State `json:"lead,omitempty"`
}

// AdminView shows an entry to operators. It implements admin.Process.
type AdminView struct{ entry *Entry }

// AdminView returns what shows the entry to operators.
func (e *Entry) AdminView() AdminView { return AdminView{e} }

// Ready implements admin.Process.
func (v AdminView) Ready() error {
	if !v.entry.Ready() {
		return errors.New("the entry has no configuration yet, or is leaving")
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
	e.sync(func() {
		s.Leading, s.Epoch, s.Leader = e.leader != nil, e.epoch, e.leaderAddr
		s.Entries = append(s.Entries, e.entries...)
		s.LeaderHeard, s.PendingRequests = e.sinceHeard(), len(e.asks)
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
