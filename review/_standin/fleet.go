package main

import (
	"bufio"
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
