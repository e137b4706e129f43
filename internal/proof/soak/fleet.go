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
	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
	"github.com/ebonyarch/ebonyarch/platform/fake"
)

const (
	// heartbeatEvery spaces the workers' announcements.
	heartbeatEvery = 300 * time.Millisecond
	// taskTime and taskSpread bound a task's run time.
	taskTime, taskSpread = 100 * time.Millisecond, 400 * time.Millisecond
)

var (
	capacity = place.Resources{CPU: 4000, Memory: 16000}
	taskSize = place.Resources{CPU: 1000, Memory: 1000}
)

// fleet is a running system.
type fleet struct {
	store   topics.Store
	witness tasks.Witness
	entries []*entry
	vms     []*vm
	servers serve.Servers
	log     *slog.Logger
	// version is that of the newest configuration.
	version atomic.Int64
}

// entry is an entry's process and what lies between it and the store.
type entry struct {
	*process
	callers netip.AddrPort
	store   *relay.Relay
}

// vm is a worker, the agent beside it, and what lies between these and the store.
type vm struct {
	*process
	id            string
	worker        *fake.Worker
	registry      netip.AddrPort
	toWorker, log *relay.Relay
}

// newFleet starts the processes of a system of so many entries and VMs.
func newFleet(ctx context.Context, dir string, entries, vms int, rng *rand.Rand, log *slog.Logger) (*fleet, error) {
	f := &fleet{log: log}
	f.witness.Dependencies = before
	f.publish()
	store, err := f.servers.Serve(fake.NewStore(&f.store), log)
	if err != nil {
		return nil, err
	}
	net := newNetwork()
	var seeds []netip.AddrPort
	for i := range entries {
		seeds = append(seeds, net.entry(i))
	}
	for i := range entries {
		if err := f.addEntry(dir, i, net, seeds, store); err != nil {
			return f, err
		}
	}
	for i := range vms {
		if err := f.addVM(ctx, dir, i, net, seeds, store, rng.Uint64()); err != nil {
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

// before returns the tasks of the step before a task's step.
func before(task string) []string {
	ref, err := model.ParseTaskRef(task)
	if err != nil || ref.Step == 0 {
		return nil
	}
	var list []string
	for i := range width {
		list = append(list, model.TaskRef{Job: ref.Job, Step: ref.Step - 1, Index: i}.String())
	}
	return list
}

// network hands out loopback addresses that no other soak on the machine uses: it has a
// part of 127.0.0.0/8 of its own, by the number of the process.
type network struct {
	base netip.Addr
	port uint16
}

const (
	// firstPort is the first port that is handed out, below those of outgoing connections.
	firstPort = 20000
	// peerPort is where entries listen for other processes.
	peerPort = 19000
)

func newNetwork() *network {
	pid := os.Getpid()
	return &network{netip.AddrFrom4([4]byte{127, byte(1 + pid>>8&0x7f), byte(pid), 1}), firstPort}
}

// entry returns the address of the nth entry, from 0.
func (n *network) entry(i int) netip.AddrPort {
	a := n.base.As4()
	a[3] += byte(i)
	return netip.AddrPortFrom(netip.AddrFrom4(a), peerPort)
}

// next returns an address that was not handed out before.
func (n *network) next() netip.AddrPort {
	n.port++
	return netip.AddrPortFrom(n.base, n.port)
}

func (f *fleet) addEntry(dir string, i int, net *network, seeds []netip.AddrPort, store netip.AddrPort) error {
	e := &entry{callers: net.next()}
	var err error
	if e.store, err = relay.Listen(store); err != nil {
		return err
	}
	name := fmt.Sprintf("entry-%d", i+1)
	settings, err := json.Marshal(map[string]any{
		"name": name, "zone": "a", "callers": e.callers, "health": net.next(), "admin": net.next(),
		"peers": seeds[i], "store": e.store.Addr(), "seeds": seeds,
	})
	if err != nil {
		return err
	}
	e.process, err = newProcess(dir, name, "entry", settings)
	f.entries = append(f.entries, e)
	return err
}

func (f *fleet) addVM(ctx context.Context, dir string, i int, net *network, seeds []netip.AddrPort, store netip.AddrPort, seed uint64) error {
	v := &vm{id: fmt.Sprintf("vm-%d", i+1)}
	plan := func(task string, run uint32) tasks.Plan {
		rng := rand.New(rand.NewPCG(seed, hash(task)+uint64(run)))
		return tasks.Plan{Size: taskSize, Work: taskTime + time.Duration(rng.Int64N(int64(taskSpread)))}
	}
	v.worker = fake.NewWorker(tasks.New(time.Now(), v.id, capacity, plan, &f.witness))
	at, err := f.servers.Serve(v.worker, f.log)
	if err != nil {
		return err
	}
	if v.toWorker, err = relay.Listen(at); err != nil {
		return err
	}
	if v.log, err = relay.Listen(store); err != nil {
		return err
	}
	v.registry = net.next()
	name := fmt.Sprintf("agent-%d", i+1)
	settings, err := json.Marshal(map[string]any{
		"name": name, "zone": "a", "registry": v.registry, "admin": net.next(), "worker": v.toWorker.Addr(),
		"peerPort": peerPort, "store": v.log.Addr(), "seeds": seeds,
	})
	if err != nil {
		return err
	}
	v.process, err = newProcess(dir, name, "agent", settings)
	f.vms = append(f.vms, v)
	go f.heartbeats(ctx, v)
	return err
}

func hash(s string) uint64 {
	h := uint64(14695981039346656037)
	for _, c := range []byte(s) {
		h = (h ^ uint64(c)) * 1099511628211
	}
	return h
}

// heartbeats announces a worker until the soak ends.
func (f *fleet) heartbeats(ctx context.Context, v *vm) {
	for ctx.Err() == nil {
		var h port.Heartbeat
		v.worker.Do(func(w *tasks.Worker) { w.Advance(time.Now()); h = w.Heartbeat(time.Now()) })
		if data, err := json.Marshal(fake.Heartbeat(h)); err != nil {
			f.log.Error("cannot encode a heartbeat", "vm", v.id, "err", err)
		} else if err := fake.SendHeartbeat(ctx, v.registry, v.id, data); err != nil {
			f.log.Debug("heartbeat not taken", "vm", v.id, "err", err)
		}
		pause(ctx, heartbeatEvery)
	}
}

// pause waits, or until the soak ends.
func pause(ctx context.Context, d time.Duration) {
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

func (f *fleet) close() {
	for _, p := range f.processes() {
		p.signal(syscall.SIGCONT)
		p.end(syscall.SIGKILL)
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
