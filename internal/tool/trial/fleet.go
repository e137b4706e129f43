// Package trial runs a whole system on loopback, with stand-ins for the platform, and
// checks it under load while VMs fail and drain and the configuration changes.
package trial

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/netip"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/conf/jsonc"
	"github.com/ebonyarch/ebonyarch/internal/conf/proc"
	"github.com/ebonyarch/ebonyarch/internal/conf/teams"
	"github.com/ebonyarch/ebonyarch/internal/fake/plog"
	"github.com/ebonyarch/ebonyarch/internal/fake/relay"
	"github.com/ebonyarch/ebonyarch/internal/fake/worker"
	"github.com/ebonyarch/ebonyarch/internal/front/intake"
	"github.com/ebonyarch/ebonyarch/internal/node/agent"
	"github.com/ebonyarch/ebonyarch/internal/node/entry"
	"github.com/ebonyarch/ebonyarch/internal/node/link"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// FleetConfig describes a fleet.
type FleetConfig struct {
	// Entries and Agents are the numbers of these processes.
	Entries, Agents int
	// CPU, in processors, and Memory are the capacity of each VM.
	CPU    teams.CPU
	Memory jsonc.Memory
	// ServiceTime is the processing time of a request at a worker.
	ServiceTime time.Duration
	// Relayed puts a relay between the entries and each agent.
	Relayed bool
}

// VM is one VM of a fleet: its agent, its worker and the worker's server.
type VM struct {
	Name   string
	Agent  *agent.Agent
	Worker *worker.Worker
	server *link.Server
}

// Kill stops all processes of the VM without a shutdown.
func (v *VM) Kill() {
	v.Worker.Kill()
	v.server.Close()
	v.Agent.Kill()
}

// Fleet is a running system on loopback. Create it with Start.
type Fleet struct {
	// Log is the stand-in for the platform's log.
	Log *plog.Log
	// Relays holds the relay of each VM if FleetConfig.Relayed is set.
	Relays []*relay.Relay
	// LogAddr is the address of Log.
	LogAddr netip.AddrPort
	Entries []*entry.Entry
	VMs     []*VM
	// Witness records what the workers run.
	Witness *worker.Witness
	servers []*link.Server
	conf    FleetConfig
	log     *slog.Logger
}

// Start starts the log, the entries and the VMs. The caller must call Stop, also after an
// error.
func Start(conf FleetConfig, log *slog.Logger) (*Fleet, error) {
	f := &Fleet{Log: &plog.Log{}, Witness: &worker.Witness{}, conf: conf, log: log}
	server, err := f.serve(plog.Handler(f.Log))
	if err != nil {
		return f, err
	}
	f.LogAddr = server.Addr()
	for range conf.Entries {
		if err := f.AddEntry(); err != nil {
			return f, err
		}
	}
	for range conf.Agents {
		if err := f.AddVM(); err != nil {
			return f, err
		}
	}
	return f, nil
}

// serve starts a server for a handler on a free port.
func (f *Fleet) serve(h http.Handler) (*link.Server, error) {
	s, err := link.Listen(loopback, h, &intake.Intake{})
	if err != nil {
		return nil, err
	}
	f.servers = append(f.servers, s)
	go func() {
		if err := s.Serve(); err != nil {
			f.log.Error("stand-in failed", "err", err)
		}
	}()
	return s, nil
}

// usageLag is the age of the resource usage that workers report.
const usageLag = 2 * time.Second

// zone returns the availability zone of the process or VM with index i, one of four.
func zone(i int) string { return fmt.Sprintf("zone-%c", 'a'+i%4) }

// AddEntry starts another entry, in the availability zone after that of the latest one.
func (f *Fleet) AddEntry() error {
	i := len(f.Entries)
	cfg := proc.Entry{
		Name: fmt.Sprintf("entry-%d", i+1), Zone: zone(i), Callers: loopback, Peers: loopback, Admin: loopback,
		Log: f.LogAddr, Entries: f.peerAddrs(),
	}
	e, err := entry.Start(cfg, plog.NewClient(f.LogAddr, &http.Client{Transport: &http.Transport{}}), f.log.With("entry", cfg.Name))
	if err != nil {
		return err
	}
	f.Entries = append(f.Entries, e)
	return nil
}

func (f *Fleet) peerAddrs() []netip.AddrPort {
	var addrs []netip.AddrPort
	for _, e := range f.Entries {
		addrs = append(addrs, e.PeerAddr())
	}
	return addrs
}

// AddVM starts another VM, in the availability zone after that of the latest one.
func (f *Fleet) AddVM() error {
	i := len(f.VMs)
	cfg := proc.Agent{
		VM: fmt.Sprintf("vm-%d", i+1), Zone: zone(i), Rack: fmt.Sprintf("rack-%d", i/3), Region: "region-1",
		Peers: loopback, Admin: loopback, Entries: f.peerAddrs(), CPU: f.conf.CPU, Memory: f.conf.Memory,
	}
	w := worker.New(worker.Config{
		VM: cfg.VM, Capacity: cfg.Capacity(), ServiceTime: f.conf.ServiceTime, Witness: f.Witness, UsageLag: usageLag,
	})
	server, err := f.serve(worker.Handler(w))
	if err != nil {
		return err
	}
	cfg.Worker = server.Addr()
	if err := f.relay(&cfg); err != nil {
		return err
	}
	client := worker.NewClient(server.Addr(), &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}})
	a, err := agent.Start(cfg, client, f.log.With("vm", cfg.VM))
	if err != nil {
		return err
	}
	if f.conf.Relayed {
		f.Relays[i].SetTarget(a.Addr())
	}
	f.VMs = append(f.VMs, &VM{cfg.VM, a, w, server})
	return nil
}

// relay starts the relay of an agent and sets the agent's advertised address to it, if
// relays are configured.
func (f *Fleet) relay(cfg *proc.Agent) error {
	if !f.conf.Relayed {
		return nil
	}
	r, err := relay.Listen(netip.AddrPort{})
	if err != nil {
		return err
	}
	f.Relays = append(f.Relays, r)
	cfg.Advertise = r.Addr()
	return nil
}

// Stop stops all processes without a shutdown.
func (f *Fleet) Stop() {
	for _, e := range f.Entries {
		e.Kill()
	}
	for _, v := range f.VMs {
		v.Agent.Kill()
	}
	for _, s := range f.servers {
		s.Close()
	}
	for _, r := range f.Relays {
		r.Close()
	}
}

// pollUntil calls ok every 20 ms until it returns true or ctx is done. what names the
// awaited event in the error.
func pollUntil(ctx context.Context, what string, ok func() bool) error {
	for !ok() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s: %w", what, ctx.Err())
		case <-time.After(20 * time.Millisecond):
		}
	}
	return nil
}

// WorkerAddr returns the address of the VM's worker.
func (v *VM) WorkerAddr() netip.AddrPort { return v.server.Addr() }
