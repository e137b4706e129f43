package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// service is the name of the service that all workers belong to, host and prefix those of its route.
const (
	service = "dewu78a"
	host    = "sefi36.example"
	prefix  = "/dale390/"
)

// Ports are the same on all machines. Each machine has a loopback address of its own.
const (
	frontPort, readyPort, controlPort, peerPort, appPort, storePort = 8161, 8167, 8166, 7720, 8360, 8169
)

// record is the file that says what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	f     *os.File
	began time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// system is a small deployment: the project's processes, and stand-ins for the rest.
type system struct {
	rec     *record
	store   *store
	fleet   *fleet
	workers []*worker
	entries []*process
	agents  []*process
	net     byte
	dir     string
	root    string
}

// process is one of the project's processes.
type process struct {
	name string
	ip   netip.Addr
	args []string
	dir  string
	cmd  *exec.Cmd
	log  *os.File
}

// freeNet returns the second byte of a loopback network in which nothing listens.
func freeNet() (byte, error) {
	for i := range 200 {
		n := byte(20 + (os.Getpid()+i)%200)
		ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.2.1:%d", n, storePort))
		if err == nil {
			ln.Close()
			return n, nil
		}
	}
	return 0, fmt.Errorf("no free loopback network")
}

func (s *system) addr(class, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, s.net, byte(class), byte(n)})
}

// newSystem starts a deployment with entries and workers, and waits until it is ready.
func newSystem(rec *record, root string, entries, workers, cpu, memory int) (*system, error) {
	n, err := freeNet()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "standin3")
	if err != nil {
		return nil, err
	}
	s := &system{rec: rec, store: newStore(), fleet: newFleet(rec), net: n, dir: dir, root: root}
	ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", s.addr(2, 1), storePort))
	if err != nil {
		return nil, err
	}
	go http.Serve(ln, s.store)
	s.configure(1)
	for i := range entries {
		s.entries = append(s.entries, s.entry(i+1))
	}
	for i := range workers {
		a := s.agent(i + 1)
		s.agents = append(s.agents, a)
		w := &worker{
			f: s.fleet, addr: netip.AddrPortFrom(a.ip, appPort), registry: netip.AddrPortFrom(a.ip, controlPort), cpu: cpu, memory: memory,
			zone: fmt.Sprintf("z%d", i%3), rack: fmt.Sprintf("r1-%d", i/3),
		}
		s.workers = append(s.workers, w)
	}
	for _, p := range append(append([]*process{}, s.entries...), s.agents...) {
		if err := p.start(); err != nil {
			return s, err
		}
	}
	for _, w := range s.workers {
		if err := w.boot(); err != nil {
			return s, err
		}
	}
	time.Sleep(5 * time.Second)
	return s, nil
}

// configure writes a version of the operator's configuration.
func (s *system) configure(version int) {
	data, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-one", "host": host, "path_prefix": prefix, "service": service, "timeout_ms": 3000, "priority": 0,
			"max_attempts": maxAttempts, "stretch": 1.5, "target_latency_ms": 250,
		}},
		"services": []map[string]any{{"name": service, "enforces_capacity": false}},
		"limits":   map[string]any{"max_body_bytes": 262144},
	})
	if err != nil {
		panic(err) // cannot happen
	}
	s.store.put("keyed.op", "config", data)
	s.rec.add("operator writes configuration %d", version)
}

// maxAttempts is what the site has for some of its requests.
const maxAttempts = 2

func (s *system) seeds() []string {
	var list []string
	for i := range 3 {
		list = append(list, fmt.Sprintf("%s:%d", s.addr(0, i+1), controlPort))
	}
	return list
}

func (s *system) entry(n int) *process {
	ip := s.addr(0, n)
	return s.process("entry", n, ip, map[string]any{
		"name": fmt.Sprintf("front-%d", n), "zone": fmt.Sprintf("z%d", n%3), "callers": fmt.Sprintf("%s:%d", ip, frontPort),
		"health": fmt.Sprintf("%s:%d", ip, readyPort), "peers": fmt.Sprintf("%s:%d", ip, peerPort), "admin": fmt.Sprintf("%s:9464", ip),
		"store": fmt.Sprintf("%s:%d", s.addr(2, 1), storePort), "recordBytes": recordBytes, "callBytes": callBytes, "memory": "284MB",
		"processors": 0.16, "seeds": s.seeds(),
	})
}

func (s *system) agent(n int) *process {
	ip := s.addr(1, n)
	return s.process("agent", n, ip, map[string]any{
		"name": fmt.Sprintf("side-%d", n), "zone": fmt.Sprintf("z%d", n%3), "registry": fmt.Sprintf("%s:%d", ip, controlPort),
		"admin": fmt.Sprintf("%s:9464", ip), "worker": fmt.Sprintf("%s:%d", ip, appPort), "peerPort": peerPort,
		"store": fmt.Sprintf("%s:%d", s.addr(2, 1), storePort), "memory": "152MB", "seeds": s.seeds(),
	})
}

// process prepares a process with its settings, as the templates of the deploy file render them.
func (s *system) process(role string, n int, ip netip.Addr, settings map[string]any) *process {
	name := fmt.Sprintf("%s-%d", role, n)
	data, err := json.Marshal(settings)
	if err != nil {
		panic(err) // cannot happen
	}
	file := filepath.Join(s.dir, name+".jsonc")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		s.rec.add("cannot write settings: %v", err)
	}
	return &process{name: name, ip: ip, dir: s.dir, args: []string{filepath.Join(s.root, "target", "ebonyarch"), "placed", role, file}}
}

func (p *process) start() error {
	f, err := os.OpenFile(filepath.Join(p.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.log = f
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = f, f
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return p.cmd.Start()
}

// signal sends a signal to the process.
func (p *process) signal(sig syscall.Signal) {
	if p.cmd != nil && p.cmd.Process != nil {
		p.cmd.Process.Signal(sig)
	}
}

// kill ends the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	if p.cmd != nil && p.cmd.Process != nil {
		p.cmd.Wait()
	}
}

// close ends all processes.
func (s *system) close() {
	for _, p := range append(append([]*process{}, s.entries...), s.agents...) {
		p.kill()
	}
	for _, w := range s.workers {
		w.crash()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(s.dir)
	}
}
