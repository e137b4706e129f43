//go:build crowd

package crowd_test

import (
	"net/http"
	"net/netip"

	. "github.com/onsi/ginkgo/v2"
)

// own is a system with the product's own interface: an entry and an agent, with the stand-ins for
// the log and the worker as processes beside them.
type own struct {
	entry, agent                *process
	callers, peers, admin       netip.AddrPort
	agentPeers, agentAdmin, log netip.AddrPort
	// revision is one below that of the latest configuration.
	revision int
}

const (
	ownHost  = "ebonyarch.example"
	service  = "/v1/teams/presses/services/registry/validate"
	teamPath = "/v1/teams/presses"
	// ownBody is the default limit of a body of a service, in bytes.
	ownBody = 4 << 20
	// presses is a configuration of a team with a service and a kind of batch work.
	presses = `{"services": {"registry": {"replicas": 1, "cpu": 1, "memory": "1GB"}}, "quota": {"cpu": 8, "memory": "8GB"},
		"batch": {"catalogue": {"cpu": 1, "memory": "1GB", "work": "50ms"}}}`
)

// startOwn starts a system and waits until it serves.
func startOwn() *own {
	s := &own{
		callers: nextAddr(), peers: nextAddr(), admin: nextAddr(), agentPeers: nextAddr(), agentAdmin: nextAddr(), log: nextAddr(),
	}
	worker := nextAddr()
	start(ownMachine, "log", "", "standin", "log", "--listen", s.log.String())
	start(ownMachine, "worker", "", "standin", "worker", "--listen", worker.String())
	s.entry = start(ownMachine, "entry", marshal(map[string]any{
		"name": "entry-1", "zone": "a", "callers": s.callers, "peers": s.peers, "admin": s.admin, "log": s.log,
	}), "entry")
	s.agent = start(ownMachine, "agent", marshal(map[string]any{
		"vm": "vm-1", "zone": "a", "peers": s.agentPeers, "admin": s.agentAdmin, "worker": worker,
		"entries": []netip.AddrPort{s.peers}, "cpu": 16, "memory": "60GB",
	}), "agent")
	expectStatus(http.StatusOK, func() (int, string) {
		return call(http.MethodPut, s.callers, ownHost, teamPath+"/config", presses, "If-None-Match", "*")
	})
	s.expectHolds()
	return s
}

// expectHolds checks that the processes live within their machines, and that the entry serves an
// ordinary caller, an operator, readiness checks and metrics on new connections.
func (s *own) expectHolds() {
	GinkgoHelper()
	expectStatus(http.StatusOK, func() (int, string) {
		return call(http.MethodPost, s.callers, ownHost, service, `{"prefix":"978-607-00001"}`, "Idempotent", "true")
	})
	expectStatus(http.StatusAccepted, func() (int, string) {
		return call(http.MethodPost, s.callers, ownHost, teamPath+"/jobs", `{"kind":"catalogue","tasks":1}`, "Idempotency-Key", "ordinary")
	})
	expectStatus(http.StatusOK, func() (int, string) { return call(http.MethodGet, s.callers, ownHost, teamPath+"/config", "") })
	for _, admin := range []netip.AddrPort{s.admin, s.agentAdmin} {
		expectStatus(http.StatusOK, func() (int, string) { return call(http.MethodGet, admin, ownHost, "/readyz", "") })
		expectStatus(http.StatusOK, func() (int, string) { return call(http.MethodGet, admin, ownHost, "/metrics", "") })
	}
	s.entry.expectWithinMachine()
	s.agent.expectWithinMachine()
}

// expectHoldsThroughout checks the system while a crowd stays, and once more after it has left at
// once.
func (s *own) expectHoldsThroughout(c *crowd) {
	GinkgoHelper()
	s.expectHolds()
	c.leave()
	s.expectHolds()
}
