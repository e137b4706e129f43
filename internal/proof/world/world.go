// Package world runs the production decision code of entries and agents in
// virtual time on top of fakes of the network, the log and the workers. A fault
// can be injected at any step of a run, and a run with the same seed and faults
// repeats exactly.
//
// It does not model the performance of a real cluster: apart from a random part
// of the network delay, latencies are fixed.
package world

import (
	"io"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/fake/plog"
	"github.com/ebonyarch/ebonyarch/internal/fake/worker"
	"github.com/ebonyarch/ebonyarch/internal/proof/vtime"
)

// Latencies of the fakes, and the intervals and timeouts of entries and agents.
const (
	// oneWayDelay is the minimum network delay of a message. The maximum is twice
	// as long.
	oneWayDelay        = 500 * time.Microsecond
	logPollInterval    = 20 * time.Millisecond
	tickInterval       = 50 * time.Millisecond
	heartbeatInterval  = 1500 * time.Millisecond
	memberSyncInterval = 500 * time.Millisecond
	callTimeout        = time.Second
	// serviceTime is the time that a worker takes for a request.
	serviceTime = 4 * time.Millisecond
	// usageLag is the age of the resource usage that a worker reports.
	usageLag = 2 * time.Second
)

// AppendLatency is the time that an append takes while the log has no fault.
const AppendLatency = 8 * time.Millisecond

// StartTime is the virtual time at which every World starts.
var StartTime = time.Date(2027, 3, 1, 6, 0, 0, 0, time.UTC)

// Proc is a process: an entry or an agent.
type Proc struct {
	Name string
	Dead bool
	// pausedUntil is the end of a pause. Events of the process that are due
	// earlier are delayed until then.
	pausedUntil time.Time
	// clockRate is the speed of the process's clock relative to virtual time. 0
	// means 1.
	clockRate float64
	// logCutUntil is the time until which the process cannot reach the log.
	logCutUntil time.Time
	// incarnation is the number of restarts. Events of earlier incarnations are
	// dropped.
	incarnation int
	// lose, duplicate and delay are faults of the process's next message.
	lose, duplicate bool
	delay           time.Duration
	// loseAppendReply, duplicateAppend and delayAppend are faults of the process's
	// next append.
	loseAppendReply, duplicateAppend bool
	delayAppend                      time.Duration
}

// World is one simulated run of a cluster. New creates it.
type World struct {
	vtime.Loop
	Log     *plog.Log
	Witness *worker.Witness
	Entries []*Entry
	VMs     []*VM
	History History
	// LogDownUntil is the time until which no process can reach the log.
	LogDownUntil time.Time
	// LogLatency is the time that a read or an append takes.
	LogLatency time.Duration
	// Hook is called before each step of a process. It may inject faults and
	// returns true if it killed the process, which then does not take the step.
	Hook func(step Step, p *Proc) bool

	rnd *rand.Rand
	// cuts holds the time until which all messages between two processes are lost,
	// by sender and receiver.
	cuts map[[2]*Proc]time.Time
	// addrs holds the *Entry or *VM with an address.
	addrs  map[netip.AddrPort]any
	logger *slog.Logger
	// addrCount is the number of addresses in use.
	addrCount int
}

// New returns a world without processes. seed determines all random choices.
func New(seed uint64) *World {
	return &World{
		Loop: vtime.Loop{Now: StartTime}, Log: &plog.Log{}, Witness: &worker.Witness{}, LogLatency: AppendLatency,
		rnd: rand.New(rand.NewPCG(seed, 0)), cuts: map[[2]*Proc]time.Time{},
		addrs: map[netip.AddrPort]any{}, logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
}

// Trace writes the log lines of the entries that start from now on to out, each
// with the virtual time since StartTime.
func (w *World) Trace(out io.Writer) {
	w.logger = slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{
		ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
			if a.Key == slog.TimeKey {
				return slog.Duration(slog.TimeKey, w.Elapsed())
			}
			return a
		},
	}))
}

// runAfter calls run after d as an event of process p. The event is dropped if p
// has died by then and delayed while p is paused.
func (w *World) runAfter(p *Proc, d time.Duration, run func()) {
	incarnation := p.incarnation
	w.After(d, func() {
		if p.Dead || p.incarnation != incarnation {
			return
		}
		if w.Now.Before(p.pausedUntil) {
			w.runAfter(p, p.pausedUntil.Sub(w.Now), run)
			return
		}
		run()
	})
}

// runEvery calls run as an event of process p, again and again with interval d.
func (w *World) runEvery(p *Proc, d time.Duration, run func()) {
	w.runAfter(p, d, func() {
		run()
		w.runEvery(p, d, run)
	})
}

// Elapsed returns the virtual time since StartTime.
func (w *World) Elapsed() time.Duration { return w.Now.Sub(StartTime) }

// clock returns the time that the clock of process p shows.
func (w *World) clock(p *Proc) time.Time {
	if p.clockRate == 0 {
		return w.Now
	}
	return StartTime.Add(time.Duration(float64(w.Now.Sub(StartTime)) * p.clockRate))
}

// reachStep passes a step that p is about to take to Hook. It reports whether p
// died, so that it must not take the step.
func (w *World) reachStep(s Step, p *Proc) bool {
	return w.Hook != nil && w.Hook(s, p)
}

// Cut drops all messages that from sends to to during the next d.
func (w *World) Cut(from, to *Proc, d time.Duration) { w.cuts[[2]*Proc{from, to}] = w.Now.Add(d) }

// Pause stops a process for d. Its events that are due in that time run at the end.
func (w *World) Pause(p *Proc, d time.Duration) { p.pausedUntil = w.Now.Add(d) }

// Skew sets the speed of a process's clock relative to virtual time.
func (w *World) Skew(p *Proc, clockRate float64) { p.clockRate = clockRate }

// send calls deliver at the receiver after the network delay. The faults of the
// sender and cuts may drop, duplicate or delay the message.
func (w *World) send(from, to *Proc, deliver func()) {
	d := oneWayDelay + time.Duration(w.rnd.Int64N(int64(oneWayDelay)))
	if from.delay > 0 {
		d, from.delay = d+from.delay, 0
	}
	if w.Now.Before(w.cuts[[2]*Proc{from, to}]) || from.lose {
		from.lose = false
		return
	}
	w.runAfter(to, d, deliver)
	if from.duplicate {
		from.duplicate = false
		w.runAfter(to, d+3*time.Second, deliver)
	}
}

// call sends a request and calls done with the reply, or with nil after the
// timeout. serve runs at the receiver and gets a function that sends the reply.
func call[R any](w *World, from, to *Proc, timeout time.Duration, serve func(reply func(*R)), done func(*R)) {
	replied := false
	finish := func(r *R) {
		if !replied {
			replied = true
			done(r)
		}
	}
	w.send(from, to, func() {
		serve(func(r *R) {
			w.send(to, from, func() { finish(r) })
		})
	})
	w.runAfter(from, timeout, func() { finish(nil) })
}

// CutLog disconnects a process from the log for d. Its other connections keep working.
func (w *World) CutLog(p *Proc, d time.Duration) { p.logCutUntil = w.Now.Add(d) }

// logDown reports whether a process cannot reach the log.
func (w *World) logDown(p *Proc) bool {
	return w.Now.Before(w.LogDownUntil) || w.Now.Before(p.logCutUntil)
}

// ProcFaults are faults of a process's next message or append. LoseAppendReply
// loses the log's reply to an append that takes effect.
type ProcFaults struct {
	Lose, Duplicate, LoseAppendReply, DuplicateAppend bool
	Delay, DelayAppend                                time.Duration
}

// SetFaults sets the faults of the process's next message and next append.
func (p *Proc) SetFaults(f ProcFaults) {
	p.lose, p.duplicate, p.delay = f.Lose, f.Duplicate, f.Delay
	p.loseAppendReply, p.duplicateAppend, p.delayAppend = f.LoseAppendReply, f.DuplicateAppend, f.DelayAppend
}

// Procs returns all processes, entries first.
func (w *World) Procs() []*Proc {
	var procs []*Proc
	for _, e := range w.Entries {
		procs = append(procs, e.Proc)
	}
	for _, v := range w.VMs {
		procs = append(procs, v.Proc)
	}
	return procs
}
