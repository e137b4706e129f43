// Package soak runs the real programs as separate processes on loopback, injects faults of
// machines and networks from outside, and checks what callers and workers observe.
//
// The store and the workers are simulated inside the soak's own process, which therefore
// observes every call to them. A seed determines the faults, their times and the load, but not
// how the threads of the processes interleave.
package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/ebonyarch/ebonyarch/internal/proof/asked"
)

// process is a program that the soak starts and restarts.
type process struct {
	name string
	args []string
	// settings is the path of the settings file.
	settings string
	// log takes the output of all incarnations.
	log *os.File

	// restarting is locked while the process is stopped and started again.
	restarting sync.Mutex
	// incarnations is the number of starts so far.
	incarnations atomic.Int64
	// disturbed records the faults of the process.
	disturbed *asked.Faults

	// pauses is the number of pauses in effect.
	pauses atomic.Int64

	// mu guards the fields below.
	mu  sync.Mutex
	cmd *exec.Cmd
	// done is closed when the latest incarnation has exited.
	done chan struct{}
}

// newProcess returns a process that is not started yet, and writes its settings to dir, where
// its log goes too.
func newProcess(dir, name, role string, settings []byte, disturbed *asked.Faults) (*process, error) {
	p := &process{name: name, settings: filepath.Join(dir, name+".jsonc"), disturbed: disturbed}
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

// start starts an incarnation: the executable of the current process with other arguments.
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
	p.incarnations.Add(1)
	go func() {
		defer close(done)
		err := cmd.Wait()
		fmt.Fprintf(p.log, "process exited: %v\n", err)
	}()
	return nil
}

// exited reports whether the latest incarnation has exited.
func (p *process) exited() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// signal sends a signal to the latest incarnation. If that has exited, signal only logs it.
func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	if err := p.cmd.Process.Signal(sig); err != nil {
		fmt.Fprintf(p.log, "cannot send signal: %v\n", err)
	}
}

// pause stops the process with SIGSTOP until end is called. A process that is paused several
// times goes on when the last pause ends.
func (p *process) pause() (end func()) {
	calm := p.disturbed.Begin()
	p.pauses.Add(1)
	p.signal(syscall.SIGSTOP)
	return func() {
		if p.pauses.Add(-1) == 0 {
			p.signal(syscall.SIGCONT)
		}
		calm()
	}
}

// stop sends a signal that ends the process and waits until it has exited.
func (p *process) stop(sig syscall.Signal) {
	p.signal(sig)
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done != nil {
		<-done
	}
}
