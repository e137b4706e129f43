//go:build crowd

package crowd_test

import (
	"bufio"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

// machine is what a machine gives a process.
type machine struct {
	// memory is in bytes.
	memory int
	// descriptors is the limit of open descriptors, of which reservedFiles are for files.
	descriptors int
}

const reservedFiles = 200

// entryMachine and agentMachine are the smallest machines on which entries and agents run on the
// users' platform. ownMachine is the one for the product's own interface, which names none: the
// usual machine of an entry.
var (
	entryMachine = machine{184e6, 4100}
	agentMachine = machine{128e6, 4096}
	ownMachine   = machine{284e6, 4100}
)

// process is a running process of the system.
type process struct {
	machine
	name string
	log  string
	cmd  *exec.Cmd
	// done is closed when the process has exited, err is then its result.
	done chan struct{}
	err  error
}

// start starts the program with settings, whose path becomes its last argument, and kills it at
// the end of the spec.
func start(m machine, name string, settings string, args ...string) *process {
	dir := GinkgoT().TempDir()
	p := &process{machine: m, name: name, log: filepath.Join(dir, name+".log"), done: make(chan struct{})}
	if settings != "" {
		file := filepath.Join(dir, name+".jsonc")
		Expect(os.WriteFile(file, []byte(settings), 0o600)).To(Succeed())
		args = append(args, file)
	}
	log, err := os.Create(p.log)
	Expect(err).NotTo(HaveOccurred())
	p.cmd = exec.Command(program, args...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	Expect(p.cmd.Start()).To(Succeed())
	limit := &unix.Rlimit{Cur: uint64(m.descriptors), Max: uint64(m.descriptors)}
	Expect(unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_NOFILE, limit, nil)).To(Succeed())
	go func() {
		defer close(p.done)
		defer log.Close()
		p.err = p.cmd.Wait()
	}()
	DeferCleanup(func() {
		if CurrentSpecReport().Failed() {
			AddReportEntry("the end of the log of "+name, tail(p.log))
		}
		_ = p.cmd.Process.Kill() // an error means that it has exited
		<-p.done
	})
	return p
}

// tail returns the last lines of a file.
func tail(file string) string {
	data, err := os.ReadFile(file)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(string(data), "\n")
	return strings.Join(lines[max(0, len(lines)-20):], "\n")
}

// lives reports whether the process has not exited.
func (p *process) lives() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// peakMemory returns the most memory that the process had resident so far, in bytes.
func (p *process) peakMemory() int {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	Expect(err).NotTo(HaveOccurred(), "%s has exited", p.name)
	defer f.Close()
	for s := bufio.NewScanner(f); s.Scan(); {
		if text, ok := strings.CutPrefix(s.Text(), "VmHWM:"); ok {
			kilobytes, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")))
			Expect(err).NotTo(HaveOccurred())
			return kilobytes << 10
		}
	}
	Fail("the kernel does not tell the memory of " + p.name)
	return 0
}

// openDescriptors returns the number of descriptors that the process has open.
func (p *process) openDescriptors() int {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	Expect(err).NotTo(HaveOccurred(), "%s has exited", p.name)
	return len(list)
}

// expectWithinMachine checks that the process lives, and that it stays and has stayed within its
// machine.
func (p *process) expectWithinMachine() {
	GinkgoHelper()
	Expect(p.lives()).To(BeTrue(), "%s has exited: %v", p.name, p.err)
	peak, open := p.peakMemory(), p.openDescriptors()
	AddReportEntry(fmt.Sprintf("%s: peak memory %d MB, %d descriptors", p.name, peak/1e6, open))
	Expect(peak).To(BeNumerically("<", p.memory), "memory of %s", p.name)
	Expect(open).To(BeNumerically("<=", p.descriptors-reservedFiles), "descriptors of %s", p.name)
}

// signal sends a signal.
func (p *process) signal(s syscall.Signal) { Expect(p.cmd.Process.Signal(s)).To(Succeed()) }

// terminate asks the process to shut down.
func (p *process) terminate() { p.signal(syscall.SIGTERM) }

// nextPort is one below the port that nextAddr returns next.
var nextPort = uint16(21000)

// nextAddr returns a loopback address that was not returned before. Its IP address depends on the
// process id, so that several runs on one machine don't collide.
func nextAddr() netip.AddrPort {
	nextPort++
	return netip.AddrPortFrom(loopback(0), nextPort)
}

// loopback returns the nth loopback IP address of this process.
func loopback(n int) netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(129 + pid>>8&0x3f), byte(pid), byte(1 + n)})
}

// patience is how long specs wait for what has to happen at some time.
const patience = 30 * time.Second
