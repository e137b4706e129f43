package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	host    = "conteo.example"
	prefix  = "/tally/"
	service = "conteo-api"
	// maxAttempts is the queue's max_attempts.
	maxAttempts = 4
	// vms is the number of VMs, as at the small sites. The last one's worker has the label
	// special, the others have plain.
	vms     = 11
	plain   = "a"
	special = "b"
	// callTimeout is how long clients wait.
	callTimeout = 3 * time.Second
)

// fleet is a small deployment on loopback. Each VM has an address of its own.
type fleet struct {
	// commands holds the commands of the deploy file by role, without the settings file.
	commands        map[string][]string
	self, dir       string
	startedAt       time.Time
	store           string
	entries         []*process
	callers, admins []string
	workers         []*process
	workerAddrs     []string
	peerPort        int

	mu     sync.Mutex
	out    io.Writer
	events []event
	all    []*process
}

// process is a process that the driver started.
type process struct {
	name   string
	args   []string
	cmd    *exec.Cmd
	exited chan struct{}
}

// log writes a line to the record.
func (f *fleet) log(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.write(format, args...)
}

func (f *fleet) write(format string, args ...any) {
	fmt.Fprintf(f.out, "%8.3f  %s\n", time.Since(f.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// start starts a process. The events that a worker writes are recorded, and logs go to a file.
func (f *fleet) start(p *process) {
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.exited = make(chan struct{})
	logs, err := os.OpenFile(filepath.Join(f.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail(err.Error())
	}
	p.cmd.Stderr = logs
	var out io.ReadCloser
	if strings.HasPrefix(p.name, "worker") {
		if out, err = p.cmd.StdoutPipe(); err != nil {
			fail(err.Error())
		}
	} else {
		p.cmd.Stdout = logs
	}
	if err := p.cmd.Start(); err != nil {
		fail(err.Error())
	}
	f.mu.Lock()
	f.all = append(f.all, p)
	f.mu.Unlock()
	f.log("%s starts", p.name)
	cmd, exited := p.cmd, p.exited
	go func() {
		if out != nil {
			f.readEvents(out)
		}
		_ = cmd.Wait() // the state tells how it ended
		logs.Close()
		f.log("%s has ended: %s", p.name, cmd.ProcessState)
		close(exited)
	}()
}

func (f *fleet) readEvents(r io.Reader) {
	for s := bufio.NewScanner(r); s.Scan(); {
		var e event
		if json.Unmarshal(s.Bytes(), &e) != nil {
			continue
		}
		f.mu.Lock()
		f.events = append(f.events, e)
		f.write("%s: %s of %s, run %d", e.Worker, e.What, e.Task, e.Run)
		f.mu.Unlock()
	}
}

// count returns how many events of a kind there are of tasks whose names begin with a prefix.
func (f *fleet) count(task, what string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, e := range f.events {
		if e.What == what && strings.HasPrefix(e.Task, task) {
			n++
		}
	}
	return n
}

// kill sends SIGKILL to a process and waits until it has ended.
func (f *fleet) kill(p *process) {
	f.log("SIGKILL to %s", p.name)
	_ = p.cmd.Process.Kill() // it may have ended already
	<-p.exited
}

// signal sends a signal to a process.
func (f *fleet) signal(p *process, s syscall.Signal) {
	if err := p.cmd.Process.Signal(s); err != nil {
		f.log("cannot send %s to %s: %v", s, p.name, err)
	}
}

// leader returns the index of the entry that leads, by its administrative interface, or -1.
func (f *fleet) leader() int {
	for i, addr := range f.admins {
		resp, err := http.Get("http://" + addr + "/v1/state")
		if err != nil {
			continue
		}
		var state struct {
			Leading bool `json:"leading"`
		}
		err = json.NewDecoder(resp.Body).Decode(&state)
		resp.Body.Close()
		if err == nil && state.Leading {
			return i
		}
	}
	return -1
}

// close ends all processes that the driver started.
func (f *fleet) close() {
	f.mu.Lock()
	all := slices.Clone(f.all)
	f.mu.Unlock()
	for _, p := range all {
		_ = p.cmd.Process.Kill() // it may have ended already
	}
	for _, p := range all {
		<-p.exited
	}
	os.RemoveAll(f.dir)
}

// maxDuration is how long a case may take in all.
const maxDuration = 110 * time.Second

// guard ends the case, with all its processes, when it takes too long or is interrupted.
func (f *fleet) guard() {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case <-interrupted:
	case <-time.After(maxDuration):
	}
	f.close()
	fail("the case was interrupted or took too long")
}

// readCommands returns the commands of the deploy file by role, without the settings file,
// which is their last word.
func readCommands(file string) map[string][]string {
	data, err := os.ReadFile(file)
	if err != nil {
		fail(err.Error())
	}
	commands, role := map[string][]string{}, ""
	for line := range strings.Lines(string(data)) {
		line = strings.TrimSpace(line)
		if name, ok := strings.CutPrefix(line, "[roles."); ok {
			role = strings.TrimSuffix(name, "]")
		}
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			words := strings.Fields(strings.Trim(value, `"`))
			commands[role] = words[:len(words)-1]
		}
	}
	return commands
}

// command returns the command of a role with its settings file.
func (f *fleet) command(role, settings string) []string {
	return append(slices.Clone(f.commands[role]), settings)
}

// ip returns the address of the VM with a number.
func ip(n int) string { return fmt.Sprintf("127.0.0.%d", n+1) }

// freePort returns a port that is free on all VMs' addresses.
func freePort() int {
	for {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			fail(err.Error())
		}
		port := ln.Addr().(*net.TCPAddr).Port
		ln.Close()
		free := true
		for n := range vms + 8 {
			ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip(n), port))
			if free = err == nil; !free {
				break
			}
			ln.Close()
		}
		if free {
			return port
		}
	}
}

// settings writes the settings file of a process. It has the fields of the templates in deploy.
func (f *fleet) settings(name string, values map[string]any) string {
	data, err := json.Marshal(values)
	if err != nil {
		fail(err.Error())
	}
	file := filepath.Join(f.dir, name+".jsonc")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		fail(err.Error())
	}
	return file
}

// startFleet starts a store, entries and VMs, and waits until tasks run on both kinds of VM.
func startFleet(deployFile, recordFile string, entries int) *fleet {
	out, err := os.Create(recordFile)
	if err != nil {
		fail(err.Error())
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fail(err.Error())
	}
	self, err := os.Executable()
	if err != nil {
		fail(err.Error())
	}
	f := &fleet{commands: readCommands(deployFile), self: self, dir: dir, startedAt: time.Now(), out: out, peerPort: freePort()}
	go f.guard()
	f.store = fmt.Sprintf("%s:%d", ip(0), freePort())
	f.start(&process{name: "store", args: []string{self, "store", f.store}})
	f.configure()
	var seeds []string
	callers, health, admin := freePort(), freePort(), freePort()
	for i := range min(entries, 3) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip(1+i), f.peerPort))
	}
	for i := range entries {
		name, addr := fmt.Sprintf("front-%d", i+1), ip(1+i)
		file := f.settings(name, map[string]any{
			"name": name, "zone": "z1", "callers": fmt.Sprintf("%s:%d", addr, callers), "health": fmt.Sprintf("%s:%d", addr, health),
			"peers": fmt.Sprintf("%s:%d", addr, f.peerPort), "admin": fmt.Sprintf("%s:%d", addr, admin), "store": f.store,
			"processors": 0.4, "seeds": seeds,
		})
		p := &process{name: name, args: f.command("entry", file)}
		f.entries, f.callers = append(f.entries, p), append(f.callers, fmt.Sprintf("%s:%d", addr, callers))
		f.admins = append(f.admins, fmt.Sprintf("%s:%d", addr, admin))
		f.start(p)
	}
	registry, app := freePort(), freePort()
	for i := range vms {
		name, addr := fmt.Sprintf("side-%d", i+1), ip(1+entries+i)
		file := f.settings(name, map[string]any{
			"name": name, "zone": "z1", "registry": fmt.Sprintf("%s:%d", addr, registry), "admin": fmt.Sprintf("%s:%d", addr, admin),
			"worker": fmt.Sprintf("%s:%d", addr, app), "peerPort": f.peerPort, "store": f.store, "seeds": seeds,
		})
		f.start(&process{name: name, args: f.command("agent", file)})
		label := plain
		if i == vms-1 {
			label = special
		}
		id := fmt.Sprintf("i-%08x", 0x7f3a91c0+i)
		w := &process{name: fmt.Sprintf("worker-%d", i+1), args: []string{
			self, "worker", fmt.Sprintf("%s:%d", addr, app), fmt.Sprintf("%s:%d", addr, registry), id, service, label, "16000", "62500",
		}}
		f.workers, f.workerAddrs = append(f.workers, w), append(f.workerAddrs, w.args[2])
		f.start(w)
	}
	f.warmUp()
	return f
}

// configure writes the first configuration as the operator.
func (f *fleet) configure() {
	body := fmt.Sprintf(`{"version":3,"routes":[{"name":"tally","host":%q,"path_prefix":%q,"service":%q,"kind":"unsafe",`+
		`"timeout_ms":3000,"target_latency_ms":250,"priority":0,"max_attempts":%d,"stretch":1.5}],`+
		`"services":[{"name":%q,"enforces_capacity":false}],"limits":{"max_body_bytes":262144}}`, host, prefix, service, maxAttempts, service)
	for range 100 {
		resp, err := http.Post("http://"+f.store+"/operator?key=config", "application/json", strings.NewReader(body))
		if err == nil {
			resp.Body.Close()
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.close()
	fail("the store does not start")
}

// warmUp waits until a job has been completed on each kind of VM.
func (f *fleet) warmUp() {
	until := time.Now().Add(20 * time.Second)
	for i, label := range []string{plain, special} {
		id := fmt.Sprintf("%016x", 0xaa00+i)
		for f.submit(id, label, "work 50ms") != http.StatusOK || f.state(id) != "completed" {
			if time.Now().After(until) {
				f.close()
				fail("the deployment does not start")
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	time.Sleep(time.Second)
}

// call sends a client's request to an entry over a new connection and returns the status, 0 if
// there is no response.
func (f *fleet) call(entry int, method, path, body string) (int, map[string]any) {
	client := http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	return f.callWith(&client, entry, method, path, body)
}

// callWith is call with a client that may have an open connection.
func (f *fleet) callWith(client *http.Client, entry int, method, path, body string) (int, map[string]any) {
	req, err := http.NewRequest(method, "http://"+f.callers[entry]+path, bytes.NewReader([]byte(body)))
	if err != nil {
		fail(err.Error())
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	f.log("client to front-%d: %s %s %s", entry+1, method, path, body)
	resp, err := client.Do(req)
	if err != nil {
		f.log("client: no response to %s %s: %v", method, path, err)
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	f.log("client: %s %s -> %d %s", method, path, resp.StatusCode, data)
	var values map[string]any
	if err != nil || json.Unmarshal(data, &values) != nil {
		return resp.StatusCode, nil
	}
	return resp.StatusCode, values
}

// submit hands in a job of one task that needs a worker with a label. The task lasts if its spec
// names no run time.
func (f *fleet) submit(id, label, spec string) int {
	lasts := ""
	if workOf(spec) == 0 {
		lasts = `,"long_running":true`
	}
	body := fmt.Sprintf(`{"spec":%q,"steps":[{"count":1,"cpu":240,"mem_mb":480,"estimate_ms":800,"requires":%q%s}]}`, spec, label, lasts)
	status, _ := f.call(0, http.MethodPost, prefix+id, body)
	return status
}

// state returns the state that a job is shown in, empty if there is none.
func (f *fleet) state(id string) string {
	_, values := f.call(len(f.callers)-1, http.MethodGet, prefix+id, "")
	s, _ := values["state"].(string)
	return s
}

// setUnhealthy makes a worker refuse orders to start, or ends that.
func (f *fleet) setUnhealthy(i int, on bool) {
	f.log("worker-%d unhealthy: %v", i+1, on)
	resp, err := http.Post(fmt.Sprintf("http://%s/unhealthy?on=%v", f.workerAddrs[i], on), "", nil)
	if err != nil {
		f.close()
		fail(err.Error())
	}
	resp.Body.Close()
}
