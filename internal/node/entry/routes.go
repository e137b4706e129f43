package entry

import (
	"net/netip"
	"sync"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/conf/teams"
	"github.com/ebonyarch/ebonyarch/internal/front/flow"
	"github.com/ebonyarch/ebonyarch/internal/front/route"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// routes is what the request path needs of configuration and members. It is
// replaced as a whole when either changes.
type routes struct {
	// teams names those whose configuration is in force.
	teams map[string]bool
	// services is keyed by "team/service".
	services map[string]*service
}

// service is one service that can be called.
type service struct {
	team, name string
	cfg        teams.Service
	shared     *shared
}

// shared is the part of a service that outlives changes of routes.
type shared struct {
	mu   sync.Mutex
	flow flow.Service
}

// reroute makes routes match the configuration and members, if they changed.
func (e *Entry) reroute() {
	e.mu.Lock()
	defer e.mu.Unlock()
	f, members := e.core.Fold(), e.core.Members()
	if e.routedMembers == members.Version() && e.routedConfig == f.ConfigVersion() {
		return
	}
	e.routedMembers, e.routedConfig = members.Version(), f.ConfigVersion()
	old := e.routes.Load()
	next := &routes{teams: map[string]bool{}, services: map[string]*service{}}
	targets := e.core.Targets(e.cfg.ZoneDelay.Duration)
	for _, t := range f.Teams() {
		if t.Deleted {
			continue
		}
		next.teams[t.Name] = true
		for name, cfg := range t.Config.Services {
			key := t.Name + "/" + name
			s := &service{team: t.Name, name: name, cfg: cfg, shared: &shared{}}
			if was := old.services[key]; was != nil {
				s.shared = was.shared
			}
			s.shared.update(targets[key], &cfg, t.Config.Retry.Share(), len(f.Entries()))
			next.services[key] = s
		}
	}
	e.routes.Store(next)
	e.keepLinks(members.Present())
}

func (s *shared) update(targets []route.Target, cfg *teams.Service, retryShare float64, entries int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flow.Update(time.Now(), targets, cfg.Shares(), entries)
	s.flow.RetryShare = retryShare
}

// keepLinks forgets the connections to VMs that are gone.
func (e *Entry) keepLinks(members []*schema.Member) {
	known := map[netip.AddrPort]bool{}
	for _, m := range members {
		if addr, err := netip.ParseAddrPort(m.GetAddr()); err == nil {
			known[addr] = true
		}
	}
	for _, w := range e.core.Fold().Entries() {
		if addr, err := netip.ParseAddrPort(w.PeerAddr); err == nil {
			known[addr] = true
		}
	}
	for _, addr := range e.cfg.Entries {
		known[addr] = true
	}
	e.links.Keep(func(addr netip.AddrPort) bool { return known[addr] })
}

// setFresh tells the services until when they know the same upstreams as the
// other entries.
func (e *Entry) setFresh(until time.Time) {
	for _, s := range e.routes.Load().services {
		s.shared.mu.Lock()
		s.shared.flow.FreshUntil = until
		s.shared.mu.Unlock()
	}
}
