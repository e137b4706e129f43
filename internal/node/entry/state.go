package entry

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/node/view"
)

// State implements admin.Process.
func (e *Entry) State() any {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	f := e.core.Fold()
	s := view.Entry{
		Role: "entry", Name: e.cfg.Name, Zone: e.cfg.Zone, Writer: e.core.Writer().ID(),
		Leaving: e.leaving.Load(), InFlight: e.inFlight.Load(), LogDown: e.core.Writer().LogUnavailable(now),
		NextOffset: f.Next(), LogAge: e.core.LogAge(now).Round(time.Millisecond).String(), Pending: e.core.Writer().Pending(), Fold: f.Stats(),
		Appends: e.core.Writer().Stats(), Discarded: e.links.Discarded(),
	}
	for _, t := range f.Teams() {
		age := now.Sub(t.Changed).Round(time.Millisecond)
		s.Config = append(s.Config, view.Revision{
			Team: t.Name, Revision: t.Revision, Age: age.String(), Deleted: t.Deleted,
		})
	}
	for _, cell := range e.cfg.Cells {
		c, l := f.Cell(cell), e.core.Leader(cell)
		waiting := 0
		for _, j := range f.Waiting(cell) {
			waiting += int(j.Waiting())
		}
		s.Cells = append(s.Cells, view.Cell{
			Cell: cell, Term: c.Term, Leader: c.Leader, Leads: l.Leads(now), Waiting: waiting, Stats: l.Stats(),
		})
	}
	for _, w := range f.Entries() {
		s.Entries = append(s.Entries, view.Peer{Writer: w.ID, Name: w.Name, Peer: w.PeerAddr})
	}
	for _, m := range e.core.Members().Present() {
		s.VMs = append(s.VMs, view.VM{
			VM: m.GetVm(), Cell: m.GetCell(), Zone: m.GetZone(), Addr: m.GetAddr(), Leaving: m.GetLeaving(),
			Replicas: len(m.GetReplicas()), Attempts: len(f.GrantedTo(m.GetVm())),
		})
	}
	s.Services = e.serviceStates()
	return s
}

func (e *Entry) serviceStates() []view.Service {
	var states []view.Service
	for name, svc := range e.routes.Load().services {
		svc.serviceState.mu.Lock()
		balancer := &svc.serviceState.flow.Balancer
		state := view.Service{Service: name, Mean: balancer.Mean().String(), Tries: svc.serviceState.flow.Stats()}
		for _, u := range balancer.Upstreams() {
			state.Upstreams = append(state.Upstreams, view.Upstream{
				VM: u.VM, InFlight: u.InFlight(), Slowness: u.Slowness(), Ejected: u.Ejected(),
			})
		}
		svc.serviceState.mu.Unlock()
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
	return e.checkReady()
}
