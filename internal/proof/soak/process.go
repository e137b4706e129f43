// Package soak runs the real programs as separate processes on loopback, does to them
// from outside what machines and networks do, and checks what callers and workers see.
//
// Store and workers are stand-ins inside the soak's own process, so that they witness
// everything. A seed decides the faults, their times and the load; how the processes'
// threads interleave it does not decide.
package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
)

// process is one program that the soak started, and starts again.
type process struct {
	name string
	args []string
	// settings is the path of the settings file.
	settings string
	log      *os.File

	// restarting is held while the process is ended and started again.
	restarting sync.Mutex
	// starts counts the incarnations.
	starts atomic.Int64

	mu  sync.Mutex
	cmd *exec.Cmd
	// done is closed when the present incarnation has ended.
	done chan struct{}
}

// newProcess returns a process that is not started. Its settings and log are in dir.
func newProcess(dir, name, role string, settings []byte) (*process, error) {
	p := &process{name: name, settings: filepath.Join(dir, name+".jsonc")}
	if err := os.WriteFile(p.settings, settings, 0o600); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	p.log, p.args = log, []string{"placed", role, p.settings}
	return p, nil
}

// start starts the program that runs now with the process's arguments.
func (p *process) start() error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(program, p.args...)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("cannot start %s: %w", p.name, err)
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	p.starts.Add(1)
	go func() {
		defer close(done)
		err := cmd.Wait()
		fmt.Fprintf(p.log, "ended: %v\n", err)
	}()
	return nil
}

// gone reports whether the present incarnation has ended.
func (p *process) gone() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// signal sends a signal to the present incarnation, if it still runs.
func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	if err := p.cmd.Process.Signal(sig); err != nil {
		fmt.Fprintf(p.log, "not signalled: %v\n", err)
	}
}

// end ends the process with a signal and waits until it is gone.
func (p *process) end(sig syscall.Signal) {
	p.signal(sig)
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done != nil {
		<-done
	}
}
