package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/fake/relay"
	"github.com/ebonyarch/ebonyarch/internal/fake/serve"
	"github.com/ebonyarch/ebonyarch/internal/fake/tasks"
	"github.com/ebonyarch/ebonyarch/internal/fake/topics"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/proof/asked"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
	"github.com/ebonyarch/ebonyarch/platform/fake"
)

const (
	// heartbeatInterval is the time between two heartbeats of a worker.
	heartbeatInterval = 300 * time.Millisecond
)

// capacity is the size of each VM.
var capacity = place.Resources{CPU: 4000, Memory: 16000}

// fleet is a running system: entries and agents as processes, with a simulated store and
// simulated workers.
type fleet struct {
	store   topics.Store
	witness tasks.Witness
	entries []*entry
	vms     []*vm
	// byID holds the VMs by id.
	byID    map[string]*vm
	servers serve.Servers
	log     *slog.Logger
	jobs    jobList
	// entriesDisturbed records the faults of entries and of their paths to the store,
	// storeDisturbed those of the store.
	entriesDisturbed, storeDisturbed asked.Faults
	// overloads is the number of overloads in effect.
	overloads atomic.Int64
	// version is the version of the newest configuration.
	version atomic.Int64
}

// entry is an entry's process with its relay to the store.
type entry struct {
	*process
	// callers is the address for callers, admin the one that serves metrics.
	callers, admin netip.AddrPort
	// store is the relay from the entry to the store.
	store *relay.Relay
}

// vm is a simulated worker with the process of its agent.
type vm struct {
	*process
	id     string
	worker *fake.Worker
	// registry is the address at which the agent takes the worker's heartbeats.
	registry netip.AddrPort
	// toWorker is the relay from the agent to the worker, log the one from the agent to the
	// store.
	toWorker, log *relay.Relay
	// disturbed records the faults of the worker, the agent and the paths between them and to the
	// store.
	disturbed asked.Faults
}

// newFleet starts a system with the given numbers of entries and VMs. After an error it may
// return a part of the fleet, which the caller has to close. Heartbeats stop when ctx ends.
func newFleet(ctx context.Context, dir string, entries, vms int, rng *rand.Rand, log *slog.Logger) (*fleet, error) {
	f := &fleet{log: log, byID: map[string]*vm{}}
	f.witness.Dependencies = f.jobs.dependencies
	f.witness.CheckStart = f.checkStart
	f.publish()
	store, err := f.servers.Serve(fake.NewPagedStore(&f.store, fake.PlatformPage), log)
	if err != nil {
		return nil, err
	}
	addrs := newAddrPool()
	var seeds []netip.AddrPort
	for i := range entries {
		seeds = append(seeds, addrs.entryAddr(i))
	}
	for i := range entries {
		if err := f.addEntry(dir, i, addrs, seeds, store); err != nil {
			return f, err
		}
	}
	for i := range vms {
		if err := f.addVM(ctx, dir, i, addrs, seeds, store, rng.Uint64()); err != nil {
			return f, err
		}
	}
	for _, p := range f.processes() {
		if err := p.start(); err != nil {
			return f, err
		}
	}
	return f, nil
}

// addrPool hands out loopback addresses. It derives a part of 127.0.0.0/8 from the process id,
// so that soaks that run on the same machine use different addresses.
type addrPool struct {
	base netip.Addr
	port uint16
}

const (
	// firstPort is one below the lowest port that is handed out. It leaves room for the ports of
	// a soak below the range from which the kernel takes the ports of outgoing connections.
	firstPort = 20000
	// peerPort is the port at which entries listen for agents and other entries.
	peerPort = 19000
)

func newAddrPool() *addrPool {
	pid := os.Getpid()
	return &addrPool{netip.AddrFrom4([4]byte{127, byte(1 + pid>>8&0x7f), byte(pid), 1}), firstPort}
}

// entryAddr returns the address at which entry i, counted from 0, listens for agents and other
// entries.
func (p *addrPool) entryAddr(i int) netip.AddrPort {
	a := p.base.As4()
	a[3] += byte(i)
	return netip.AddrPortFrom(netip.AddrFrom4(a), peerPort)
}

// next returns an address that was not returned before.
func (p *addrPool) next() netip.AddrPort {
	p.port++
	return netip.AddrPortFrom(p.base, p.port)
}

// addEntry adds an entry, whose process it does not start, and its relay to the store.
func (f *fleet) addEntry(dir string, i int, addrs *addrPool, seeds []netip.AddrPort, store netip.AddrPort) error {
	e := &entry{callers: addrs.next(), admin: addrs.next()}
	var err error
	if e.store, err = relay.Listen(store); err != nil {
		return err
	}
	name := fmt.Sprintf("entry-%d", i+1)
	settings, err := json.Marshal(map[string]any{
		"name": name, "zone": "a", "callers": e.callers, "health": addrs.next(), "admin": e.admin,
		"peers": seeds[i], "store": e.store.Addr(), "seeds": seeds,
	})
	if err != nil {
		return err
	}
	e.process, err = newProcess(dir, name, "entry", settings, &f.entriesDisturbed)
	f.entries = append(f.entries, e)
	return err
}

// addVM adds a simulated worker, which sends heartbeats from now on, and an agent, whose process
// it does not start. seed determines the run times of the VM's tasks.
func (f *fleet) addVM(ctx context.Context, dir string, i int, addrs *addrPool, seeds []netip.AddrPort, store netip.AddrPort, seed uint64) error {
	v := &vm{id: fmt.Sprintf("vm-%d", i+1)}
	plan := func(task string, run uint32) tasks.Plan { return f.jobs.plan(seed, task, run) }
	v.worker = fake.NewWorker(tasks.New(time.Now(), v.id, capacity, plan, &f.witness))
	addr, err := f.servers.Serve(v.worker, f.log)
	if err != nil {
		return err
	}
	if v.toWorker, err = relay.Listen(addr); err != nil {
		return err
	}
	if v.log, err = relay.Listen(store); err != nil {
		return err
	}
	v.registry = addrs.next()
	name := fmt.Sprintf("agent-%d", i+1)
	settings, err := json.Marshal(map[string]any{
		"name": name, "zone": "a", "registry": v.registry, "admin": addrs.next(), "worker": v.toWorker.Addr(),
		"peerPort": peerPort, "store": v.log.Addr(), "seeds": seeds,
	})
	if err != nil {
		return err
	}
	v.process, err = newProcess(dir, name, "agent", settings, &v.disturbed)
	f.vms = append(f.vms, v)
	f.byID[v.id] = v
	go f.sendHeartbeats(ctx, v)
	return err
}

// hash returns the 64-bit FNV-1a hash of s.
func hash(s string) uint64 {
	h := uint64(14695981039346656037)
	for _, c := range []byte(s) {
		h = (h ^ uint64(c)) * 1099511628211
	}
	return h
}

// sendHeartbeats sends a worker's heartbeats until ctx ends.
func (f *fleet) sendHeartbeats(ctx context.Context, v *vm) {
	for ctx.Err() == nil {
		var h port.Heartbeat
		v.worker.Do(func(w *tasks.Worker) { w.Advance(time.Now()); h = w.Heartbeat(time.Now()) })
		if data, err := json.Marshal(fake.Heartbeat(h)); err != nil {
			f.log.Error("cannot encode heartbeat", "vm", v.id, "err", err)
		} else if err := fake.SendHeartbeat(ctx, v.registry, v.id, data); err != nil {
			f.log.Debug("cannot send heartbeat", "vm", v.id, "err", err)
		}
		sleep(ctx, heartbeatInterval)
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (f *fleet) processes() []*process {
	var list []*process
	for _, e := range f.entries {
		list = append(list, e.process)
	}
	for _, v := range f.vms {
		list = append(list, v.process)
	}
	return list
}

// close kills all processes and closes the relays and servers.
func (f *fleet) close() {
	for _, p := range f.processes() {
		p.signal(syscall.SIGCONT)
		p.stop(syscall.SIGKILL)
	}
	for _, e := range f.entries {
		e.store.Close()
	}
	for _, v := range f.vms {
		v.toWorker.Close()
		v.log.Close()
	}
	f.servers.Close(f.log)
}
