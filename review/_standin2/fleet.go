package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// Fleet is a small deployment on loopback addresses: entries and agents as processes, workers and a
// store as stand-ins.
type Fleet struct {
	rec     *Recorder
	dir     string
	store   *Store
	advisor *Advisor
	workers []*Worker
	entries []string
	procs   []*exec.Cmd
	// reserved is the listener that reserves the deployment's addresses.
	reserved net.Listener
	cfg      Settings
}

// Settings describes a deployment.
type Settings struct {
	entries, workers int
	cpu, mem         int64
	queues           []Queue
	// second is the number of workers, of the last ones, that belong to a second service.
	second int
}

// Queue is a route of the configuration.
type Queue struct {
	name     string
	priority int
	attempts int
	// second is set if the workers of the second service run the queue's tasks.
	second bool
	// advised is set if the queue has advice.
	advised bool
}

const (
	host = "queues.example"
	// The deployment's services. Only some cases have workers of the second one.
	service, service2 = "service-a", "service-b"
	// adminPort is the port of the processes' admin addresses, which the templates name.
	adminPort = 9464
)

func (q Queue) prefix() string { return "/" + q.name + "/" }

// freePorts returns n ports that are free on a loopback address.
func freePorts(ip string, n int) ([]int, error) {
	var ports []int
	for range n {
		ln, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer ln.Close()
		ports = append(ports, ln.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// service returns the service whose workers run the queue's tasks.
func (q Queue) service() string {
	if q.second {
		return service2
	}
	return service
}

// reserveNet returns the second number of the deployment's addresses, which no other one uses for as
// long as this one is kept.
func (f *Fleet) reserveNet() (int, error) {
	var err error
	for range 50 {
		n := rand.IntN(200) + 20
		if f.reserved, err = net.Listen("tcp", fmt.Sprintf("127.%d.4.1:%d", n, adminPort)); err == nil {
			return n, nil
		}
	}
	return 0, err
}

// startFleet starts all processes and waits until an entry accepts requests.
func startFleet(rec *Recorder, cfg Settings) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &Fleet{rec: rec, dir: dir, store: newStore(), cfg: cfg}
	f.stopOnSignal()
	second, err := f.reserveNet()
	if err != nil {
		return f, err
	}
	ip := func(class, i int) string { return fmt.Sprintf("127.%d.%d.%d", second, class, i+1) }
	ports, err := freePorts(ip(1, 0), 5)
	if err != nil {
		return f, err
	}
	front, ready, control, peers, app := ports[0], ports[1], ports[2], ports[3], ports[4]
	storeAddr := fmt.Sprintf("%s:%d", ip(3, 0), front)
	ln, err := net.Listen("tcp", storeAddr)
	if err != nil {
		return f, err
	}
	go http.Serve(ln, f.store)
	f.advisor = newAdvisor(rec)
	advisorAddr := fmt.Sprintf("%s:%d", ip(3, 1), front)
	advice, err := net.Listen("tcp", advisorAddr)
	if err != nil {
		return f, err
	}
	go http.Serve(advice, f.advisor)
	f.configure(1)
	var seeds []string
	for i := range min(3, cfg.entries) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip(1, i), control))
	}
	for i := range cfg.entries {
		addr := fmt.Sprintf("%s:%d", ip(1, i), front)
		err := f.start("entry", fmt.Sprintf("front-mx-centro-a-%d", i+1), seeds, map[string]string{
			"zone": "mx-centro-a", "listen_addrs.front": addr, "listen_addrs.ready": fmt.Sprintf("%s:%d", ip(1, i), ready),
			"ip": ip(1, i), "internal_ports.0": fmt.Sprint(peers), "platform.address": storeAddr, "advice": advisorAddr,
		})
		if err != nil {
			return f, err
		}
		f.entries = append(f.entries, addr)
	}
	for i := range cfg.workers {
		addr := fmt.Sprintf("%s:%d", ip(2, i), control)
		w := &Worker{
			id: fmt.Sprintf("i-%08x%02x", rand.Uint32(), i), service: service, zone: "mx-centro-a", addr: fmt.Sprintf("%s:%d", ip(2, i), app), registry: addr,
			labels: []string{"a", fmt.Sprintf("r1-%d", i/3+1)}, cpu: cfg.cpu, mem: cfg.mem, rec: rec, advisor: f.advisor,
		}
		if i >= cfg.workers-cfg.second {
			w.service = service2
		}
		f.workers = append(f.workers, w)
		err := f.start("agent", fmt.Sprintf("side-mx-centro-a-%d", i+1), seeds, map[string]string{
			"zone": "mx-centro-a", "listen_addrs.control": addr, "ip": ip(2, i), "app": w.addr,
			"internal_ports.0": fmt.Sprint(peers), "platform.address": storeAddr,
		})
		if err != nil {
			return f, err
		}
		if err := w.up(); err != nil {
			return f, err
		}
	}
	return f, f.waitReady()
}

// configure writes a version of the configuration to the store.
func (f *Fleet) configure(version int) {
	var routes []any
	for _, q := range f.cfg.queues {
		route := map[string]any{
			"name": q.name, "host": host, "path_prefix": q.prefix(), "kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 1000,
			"priority": q.priority, "service": q.service(), "max_attempts": q.attempts, "stretch": 2.0,
		}
		if q.advised {
			route["advice"] = map[string]any{"decide_ms": decideTime.Milliseconds(), "period_ms": periodTime.Milliseconds(), "valid_ms": adviceValid.Milliseconds()}
		}
		routes = append(routes, route)
	}
	var services []any
	for _, name := range []string{service, service2} {
		services = append(services, map[string]any{"name": name, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "enforces_capacity": false, "spare": false})
	}
	data, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		panic(err)
	}
	f.store.put("keyed.op", "config", data)
}

var (
	seedsSection  = regexp.MustCompile(`\{\{#seeds\}\}.*\{\{/seeds\}\}`)
	adviceSection = regexp.MustCompile(`\{\{#advice\}\}(.*)\{\{/advice\}\}`)
	section       = regexp.MustCompile(`(?s)\{\{#[a-z_.]+\}\}.*?\{\{/[a-z_.]+\}\}`)
)

// start starts a process with the command of the deploy file and its settings template.
func (f *Fleet) start(role, node string, seeds []string, values map[string]string) error {
	template, err := os.ReadFile("deploy/" + role + ".jsonc")
	if err != nil {
		return err
	}
	text := seedsSection.ReplaceAllString(string(template), `"`+strings.Join(seeds, `","`)+`"`)
	text = adviceSection.ReplaceAllString(text, "$1")
	text = section.ReplaceAllString(text, "")
	text = strings.ReplaceAll(text, "{{node}}", node)
	for k, v := range values {
		text = strings.ReplaceAll(text, "{{"+k+"}}", v)
	}
	path := filepath.Join(f.dir, node+".jsonc")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(f.dir, node+".log"))
	if err != nil {
		return err
	}
	cmd := exec.Command("target/ebonyarch", "placed", role, path)
	cmd.Env = []string{"EBONYARCH_BOOT=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + f.dir}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	f.procs = append(f.procs, cmd)
	f.rec.add("process-started", "node", node)
	return nil
}

// waitReady waits until a request to each entry is answered by a leader.
func (f *Fleet) waitReady() error {
	c := newClient(f)
	for range 200 {
		answered := 0
		for i := range f.entries {
			if a := c.call(i, http.MethodGet, f.cfg.queues[0], "", nil); a.status == http.StatusOK {
				answered++
			}
		}
		if answered == len(f.entries) {
			time.Sleep(2 * time.Second) // all agents have joined by then
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.tails()
	return fmt.Errorf("the entries did not become ready")
}

// stopOnSignal ends the case when this process is told to end.
func (f *Fleet) stopOnSignal() {
	c := make(chan os.Signal, 1)
	signal.Notify(c, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-c
		f.stop()
		os.Exit(invalid)
	}()
}

// tails records the last line of each process's log.
func (f *Fleet) tails() {
	logs, _ := filepath.Glob(filepath.Join(f.dir, "*.log"))
	for _, path := range logs {
		data, _ := os.ReadFile(path)
		lines := strings.Split(strings.TrimSpace(string(data)), "\n")
		f.rec.add("log", "file", filepath.Base(path), "last", lines[len(lines)-1])
	}
}

// stop ends all processes that were started.
func (f *Fleet) stop() {
	if f.reserved != nil {
		defer f.reserved.Close()
	}
	for _, p := range f.procs {
		p.Process.Kill()
	}
	for _, p := range f.procs {
		p.Wait()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs:", f.dir)
	}
}
