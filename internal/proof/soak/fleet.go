package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/fake/relay"
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
	capacity = place.Amount{CPU: 4000, Memory: 16000}
	taskSize = place.Amount{CPU: 1000, Memory: 1000}
)

// fleet is a running system.
type fleet struct {
	store   topics.Store
	witness tasks.Witness
	entries []*entry
	vms     []*vm
	servers []*http.Server
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
	f.witness.Before = before
	f.publish()
	store, err := f.serve(fake.NewStore(&f.store))
	if err != nil {
		return nil, err
	}
	peerPort, err := freePort()
	if err != nil {
		return nil, err
	}
	var seeds []string
	for i := range entries {
		seeds = append(seeds, fmt.Sprintf("127.0.0.%d:%d", i+1, peerPort))
	}
	for i := range entries {
		if err := f.addEntry(dir, i, seeds, store); err != nil {
			return f, err
		}
	}
	for i := range vms {
		if err := f.addVM(ctx, dir, i, peerPort, seeds, store, rng.Uint64()); err != nil {
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

// freePort returns a port that nothing listens at.
func freePort() (int, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer ln.Close()
	return ln.Addr().(*net.TCPAddr).Port, nil
}

// freeAddrs returns loopback addresses that nothing listens at.
func freeAddrs(n int) ([]string, error) {
	var list []string
	for range n {
		p, err := freePort()
		if err != nil {
			return nil, err
		}
		list = append(list, fmt.Sprintf("127.0.0.1:%d", p))
	}
	return list, nil
}

func (f *fleet) serve(h http.Handler) (netip.AddrPort, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Second, ErrorLog: slog.NewLogLogger(f.log.Handler(), slog.LevelDebug)}
	f.servers = append(f.servers, s)
	go func() {
		if err := s.Serve(ln); err != nil {
			f.log.Debug("no longer serves", "addr", ln.Addr().String(), "err", err)
		}
	}()
	return netip.MustParseAddrPort(ln.Addr().String()), nil
}

func (f *fleet) addEntry(dir string, i int, seeds []string, store netip.AddrPort) error {
	addrs, err := freeAddrs(3)
	if err != nil {
		return err
	}
	e := &entry{callers: netip.MustParseAddrPort(addrs[0])}
	if e.store, err = relay.Listen(store); err != nil {
		return err
	}
	name := fmt.Sprintf("entry-%d", i+1)
	settings, err := json.Marshal(map[string]any{
		"name": name, "zone": "a", "callers": addrs[0], "health": addrs[1], "admin": addrs[2],
		"peers": seeds[i], "store": e.store.Addr(), "seeds": seeds,
	})
	if err != nil {
		return err
	}
	e.process, err = newProcess(dir, name, "entry", settings)
	f.entries = append(f.entries, e)
	return err
}

func (f *fleet) addVM(ctx context.Context, dir string, i, peerPort int, seeds []string, store netip.AddrPort, seed uint64) error {
	v := &vm{id: fmt.Sprintf("vm-%d", i+1)}
	plan := func(task string, run uint32) tasks.Plan {
		rng := rand.New(rand.NewPCG(seed, hash(task)+uint64(run)))
		return tasks.Plan{Size: taskSize, Work: taskTime + time.Duration(rng.Int64N(int64(taskSpread)))}
	}
	v.worker = fake.NewWorker(tasks.New(time.Now(), v.id, capacity, plan, &f.witness))
	at, err := f.serve(v.worker)
	if err != nil {
		return err
	}
	if v.toWorker, err = relay.Listen(at); err != nil {
		return err
	}
	if v.log, err = relay.Listen(store); err != nil {
		return err
	}
	addrs, err := freeAddrs(2)
	if err != nil {
		return err
	}
	v.registry = netip.MustParseAddrPort(addrs[0])
	name := fmt.Sprintf("agent-%d", i+1)
	settings, err := json.Marshal(map[string]any{
		"name": name, "zone": "a", "registry": addrs[0], "admin": addrs[1], "worker": v.toWorker.Addr(),
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
		} else if err := fake.Announce(ctx, v.registry, v.id, data); err != nil {
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
	for _, s := range f.servers {
		if err := s.Close(); err != nil {
			f.log.Debug("server not closed", "err", err)
		}
	}
}
