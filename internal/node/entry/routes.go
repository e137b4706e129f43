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

// routes holds the parts of the configuration and of the members that are needed
// to route requests. It is immutable and replaced when either changes.
type routes struct {
	// teams holds the names of the teams whose configuration is in force.
	teams map[string]bool
	// services is keyed by "team/service".
	services map[string]*service
}

// service is a service that can be called.
type service struct {
	team, name   string
	cfg          teams.Service
	serviceState *serviceState
}

// serviceState is the state of a service that is kept when routes is replaced.
type serviceState struct {
	mu   sync.Mutex
	flow flow.Service
}

// updateRoutes rebuilds routes if the configuration or the members changed.
func (e *Entry) updateRoutes() {
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
			s := &service{team: t.Name, name: name, cfg: cfg, serviceState: &serviceState{}}
			if oldService := old.services[key]; oldService != nil {
				s.serviceState = oldService.serviceState
			}
			s.serviceState.update(targets[key], &cfg, t.Config.Retry.Share(), len(f.Entries()))
			next.services[key] = s
		}
	}
	e.routes.Store(next)
	e.closeUnusedLinks(members.Present())
}

// update sets the upstreams of the service and the settings of its flows. entries is
// the number of entries that the log lists.
func (s *serviceState) update(targets []route.Target, cfg *teams.Service, retryShare float64, entries int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flow.Update(time.Now(), targets, cfg.Shares(), entries)
	s.flow.RetryShare = retryShare
}

// closeUnusedLinks closes the links to VMs and entries that are gone. The caller
// holds mu.
func (e *Entry) closeUnusedLinks(members []*schema.Member) {
	inUse := map[netip.AddrPort]bool{}
	for _, m := range members {
		if addr, err := netip.ParseAddrPort(m.GetAddr()); err == nil {
			inUse[addr] = true
		}
	}
	for _, w := range e.core.Fold().Entries() {
		if addr, err := netip.ParseAddrPort(w.PeerAddr); err == nil {
			inUse[addr] = true
		}
	}
	for _, addr := range e.cfg.Entries {
		inUse[addr] = true
	}
	e.links.Keep(func(addr netip.AddrPort) bool { return inUse[addr] })
}

// setFreshUntil sets the time until which this entry knows the same upstreams as
// the other entries, for all services.
func (e *Entry) setFreshUntil(until time.Time) {
	for _, s := range e.routes.Load().services {
		s.serviceState.mu.Lock()
		s.serviceState.flow.FreshUntil = until
		s.serviceState.mu.Unlock()
	}
}
