//go:build crowd

package crowd_test

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/netip"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/fake/serve"
	"github.com/ebonyarch/ebonyarch/internal/fake/tasks"
	"github.com/ebonyarch/ebonyarch/internal/fake/topics"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
	"github.com/ebonyarch/ebonyarch/platform/fake"
)

const (
	host   = "presses.example"
	prefix = "/assign/"
	// maxBody is the operator's limit of a body that most specs use, in bytes.
	maxBody = 1 << 20
	// peerPort is the port at which entries listen for other processes.
	peerPort = 19500
)

// placed is a system as on the users' platform: two entries and an agent.
type placed struct {
	store   topics.Store
	witness tasks.Witness
	entries []*placedEntry
	agent   *process
	// registry is the address at which the agent takes heartbeats, agentAdmin its administrative
	// one.
	registry, agentAdmin netip.AddrPort
	// jobs is the number of ordinary jobs so far.
	jobs int
}

type placedEntry struct {
	*process
	callers, health, admin netip.AddrPort
}

// startPlaced starts a system in which the operator limits bodies to bodyLimit bytes, and waits
// until it accepts jobs.
func startPlaced(bodyLimit int) *placed {
	s := &placed{}
	log := slog.New(slog.DiscardHandler)
	var servers serve.Servers
	DeferCleanup(func() { servers.Close(log) })
	s.store.Put("op", port.Record{Key: "config", Value: fmt.Appendf(nil, `{"version":1,"routes":[{"name":"assign","host":%q,`+
		`"path_prefix":%q,"service":"registry","priority":1,"max_attempts":50,"stretch":2,"target_latency_ms":1000}],`+
		`"services":[{"name":"registry"}],"limits":{"max_body_bytes":%d}}`, host, prefix, bodyLimit)})
	store, err := servers.Serve(fake.NewPagedStore(&s.store, fake.PlatformPage), log)
	Expect(err).NotTo(HaveOccurred())
	seeds := []netip.AddrPort{netip.AddrPortFrom(loopback(1), peerPort), netip.AddrPortFrom(loopback(2), peerPort)}
	for i, peers := range seeds {
		e := &placedEntry{callers: nextAddr(), health: nextAddr(), admin: nextAddr()}
		e.process = start(entryMachine, fmt.Sprintf("entry-%d", i+1), marshal(map[string]any{
			"name": fmt.Sprintf("entry-%d", i+1), "zone": "a", "callers": e.callers, "health": e.health, "admin": e.admin,
			"peers": peers, "store": store, "seeds": seeds,
		}), "placed", "entry")
		s.entries = append(s.entries, e)
	}
	s.startAgent(&servers, store, seeds, log)
	for _, e := range s.entries {
		s.expectServed(e)
	}
	return s
}

// startAgent starts an agent and a simulated worker, which sends heartbeats until the end of the
// spec.
func (s *placed) startAgent(servers *serve.Servers, store netip.AddrPort, seeds []netip.AddrPort, log *slog.Logger) {
	const id = "vm-1"
	plan := func(task string, _ uint32) tasks.Plan {
		if strings.HasPrefix(task, crowdID) {
			return tasks.Plan{Work: time.Hour}
		}
		return tasks.Plan{Work: 50 * time.Millisecond}
	}
	worker := fake.NewWorker(tasks.New(time.Now(), id, place.Resources{CPU: 64000, Memory: 256000}, plan, &s.witness))
	addr, err := servers.Serve(worker, log)
	Expect(err).NotTo(HaveOccurred())
	s.registry, s.agentAdmin = nextAddr(), nextAddr()
	s.agent = start(agentMachine, "agent", marshal(map[string]any{
		"name": "agent-1", "zone": "a", "registry": s.registry, "admin": s.agentAdmin, "worker": addr,
		"peerPort": peerPort, "store": store, "seeds": seeds,
	}), "placed", "agent")
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go func() {
		for ctx.Err() == nil {
			var h port.Heartbeat
			worker.Do(func(w *tasks.Worker) { w.Advance(time.Now()); h = w.Heartbeat(time.Now()) })
			if data, err := json.Marshal(fake.Heartbeat(h)); err == nil {
				_ = fake.SendHeartbeat(ctx, s.registry, id, data) // the next one follows
			}
			select {
			case <-ctx.Done():
			case <-time.After(300 * time.Millisecond):
			}
		}
	}()
}

func marshal(v any) string {
	data, err := json.Marshal(v)
	Expect(err).NotTo(HaveOccurred())
	return string(data)
}

// crowdID is the beginning of the ids of a crowd's jobs.
const crowdID = "000000cc"

// jobPath returns the path of a job of a crowd.
func jobPath(i int) string { return fmt.Sprintf("%s%s%08x", prefix, crowdID, i) }

// expectServed checks that an entry accepts an ordinary job on a new connection.
func (s *placed) expectServed(e *placedEntry) {
	GinkgoHelper()
	s.jobs++
	path := fmt.Sprintf("%s%016x", prefix, s.jobs)
	expectStatus(http.StatusOK, func() (int, string) {
		return call(http.MethodPost, e.callers, host, path, ordinaryJob, "X-Deadline-Ms", "3000")
	})
}

const ordinaryJob = `{"spec":"ordinary","steps":[{"count":2,"cpu":100,"mem_mb":100,"estimate_ms":50}]}`

// expectHolds checks that all processes live within their machines, and that the entries serve
// ordinary callers, readiness checks and metrics on new connections.
func (s *placed) expectHolds() {
	GinkgoHelper()
	for _, e := range s.entries {
		s.expectServed(e)
		expectStatus(http.StatusOK, func() (int, string) { return call(http.MethodGet, e.health, host, "/ready", "") })
		expectStatus(http.StatusOK, func() (int, string) { return call(http.MethodGet, e.admin, host, "/metrics", "") })
		e.expectWithinMachine()
	}
	s.agent.expectWithinMachine()
}

// expectHoldsThroughout checks the system while a crowd stays, and once more after it has left at
// once.
func (s *placed) expectHoldsThroughout(c *crowd) {
	GinkgoHelper()
	s.expectHolds()
	c.leave()
	s.expectHolds()
}
