// Package demo runs entries and agents on loopback, with stand-ins for the platform's
// store and workers. The processes call them through the same adapters as the real
// platform.
package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/conf/proc"
	"github.com/ebonyarch/ebonyarch/internal/fake/serve"
	"github.com/ebonyarch/ebonyarch/internal/fake/tasks"
	"github.com/ebonyarch/ebonyarch/internal/fake/topics"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/run/agent"
	"github.com/ebonyarch/ebonyarch/internal/run/entry"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
	"github.com/ebonyarch/ebonyarch/platform"
	"github.com/ebonyarch/ebonyarch/platform/fake"
)

const (
	// entries and vms are the numbers of entries and VMs of a fleet.
	entries = 2
	vms     = 3
	// taskDuration is the run time of a task.
	taskDuration = 150 * time.Millisecond
	// heartbeatInterval is the time between two heartbeats of a worker.
	heartbeatInterval = 200 * time.Millisecond
)

// capacity is the capacity of each VM.
var capacity = place.Resources{CPU: 16000, Memory: 64000}

// Fleet is a running set of processes. Create it with Start.
type Fleet struct {
	Store topics.Store
	// Witness records what the workers run, and violated invariants.
	Witness tasks.Witness
	Entries []*Entry
	workers []*fake.Worker
	agents  []*agent.Agent
	servers serve.Servers
	log     *slog.Logger
	ctx     context.Context
	cancel  context.CancelFunc
}

// Entry is a running entry.
type Entry struct {
	*entry.Entry
	// Callers is the address for callers.
	Callers netip.AddrPort
	peers   net.Listener
}

// Start starts a fleet with the given configuration in its store.
func Start(log *slog.Logger, configuration string) (*Fleet, error) {
	f := &Fleet{log: log}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.Store.Put("op", port.Record{Key: "config", Value: []byte(configuration)})
	store, err := f.servers.Serve(fake.NewStore(&f.Store), log)
	if err != nil {
		return nil, err
	}
	var seeds proc.Seeds
	for i := range entries {
		if seeds, err = f.startEntry(i, store, seeds); err != nil {
			f.Close()
			return nil, err
		}
	}
	for i := range vms {
		if err := f.startVM(i, store, seeds); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

func addrOf(ln net.Listener) netip.AddrPort { return netip.MustParseAddrPort(ln.Addr().String()) }

// startEntry starts an entry. All entries listen on the same port, each with its own IP
// address, as on VMs. It returns the seeds with the entry's address added.
func (f *Fleet) startEntry(i int, store netip.AddrPort, seeds proc.Seeds) (proc.Seeds, error) {
	peerPort := 0
	if len(seeds) > 0 {
		peerPort = int(seeds[0].Port())
	}
	ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.%d:%d", i+1, peerPort))
	if err != nil {
		return nil, err
	}
	cfg := proc.JobEntry{Name: fmt.Sprintf("entry-%d", i+1), Zone: "mx-a", Peers: addrOf(ln), Store: store, Seeds: seeds}
	log := f.log.With("node", cfg.Name)
	e := &Entry{Entry: entry.New(cfg, platform.NewStore(store, log), nil, log), peers: ln}
	if e.Callers, err = f.servers.Serve(platform.NewIngress(e, e.Config, log), log); err != nil {
		return nil, err
	}
	f.Entries = append(f.Entries, e)
	go func() {
		if err := e.Serve(ln); err != nil {
			log.Debug("stopped listening for other processes", "err", err)
		}
	}()
	go e.Run()
	return append(seeds, cfg.Peers), nil
}

// startVM starts a worker and the agent beside it.
func (f *Fleet) startVM(i int, store netip.AddrPort, seeds proc.Seeds) error {
	id := fmt.Sprintf("vm-%d", i+1)
	plan := func(string, uint32) tasks.Plan {
		return tasks.Plan{Size: place.Resources{CPU: 1000, Memory: 1000}, Work: taskDuration}
	}
	worker := fake.NewWorker(tasks.New(time.Now(), id, capacity, plan, &f.Witness))
	f.workers = append(f.workers, worker)
	addr, err := f.servers.Serve(worker, f.log)
	if err != nil {
		return err
	}
	cfg := proc.JobAgent{Name: "node-" + id, Zone: "mx-a", Worker: addr, PeerPort: seeds[0].Port(), Seeds: seeds, Store: store}
	log := f.log.With("node", cfg.Name)
	a := agent.New(cfg, platform.NewWorker(addr), platform.NewStore(store, log), log)
	f.agents = append(f.agents, a)
	registry, err := f.servers.Serve(platform.NewRegistry(a, log), log)
	if err != nil {
		return err
	}
	go a.Run()
	go f.sendHeartbeats(worker, id, registry)
	return nil
}

// sendHeartbeats sends the heartbeats of a worker until the fleet is closed.
func (f *Fleet) sendHeartbeats(worker *fake.Worker, id string, registry netip.AddrPort) {
	for f.ctx.Err() == nil {
		var h port.Heartbeat
		worker.Do(func(w *tasks.Worker) { h = w.Heartbeat(time.Now()) })
		if err := sendHeartbeat(f.ctx, registry, id, h); err != nil {
			f.log.Debug("heartbeat was not accepted", "vm", id, "err", err)
		}
		select {
		case <-f.ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

func sendHeartbeat(ctx context.Context, registry netip.AddrPort, id string, h port.Heartbeat) error {
	data, err := json.Marshal(fake.Heartbeat(h))
	if err != nil {
		return err
	}
	return fake.SendHeartbeat(ctx, registry, id, data)
}

// Faults returns the violated invariants that the workers have observed.
func (f *Fleet) Faults() []string {
	for _, w := range f.workers {
		w.Do(func(*tasks.Worker) {}) // wait for calls in progress
	}
	return f.Witness.Faults()
}

// Close stops all processes.
func (f *Fleet) Close() {
	f.cancel()
	for _, e := range f.Entries {
		e.Kill()
	}
	for _, a := range f.agents {
		a.Close()
	}
	f.servers.Close(f.log)
}

// Kill stops an entry without a shutdown.
func (e *Entry) Kill() {
	e.Close()
	if err := e.peers.Close(); err != nil {
		return // already closed
	}
}

// Call sends a caller's request and returns the status and body of the response.
func Call(ctx context.Context, method string, addr netip.AddrPort, host, path, body string) (int, string, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr.String()+path, bytes.NewBufferString(body))
	if err != nil {
		return 0, "", err
	}
	req.Host = host
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}
