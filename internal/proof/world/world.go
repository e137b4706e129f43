// Package world drives the real decision code of entries and agents in virtual
// time, over fakes of the network, the log and the workers, so that a fault can
// be put at any step of a run and the run repeats exactly.
//
// It is no model of a cluster: a handful of processes, fixed latencies, and
// switches for faults.
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

// Latencies of the fakes.
const (
	hop         = 500 * time.Microsecond
	readEvery   = 20 * time.Millisecond
	tickEvery   = 50 * time.Millisecond
	beatEvery   = 1500 * time.Millisecond
	syncEvery   = 500 * time.Millisecond
	callTimeout = time.Second
	serviceTime = 4 * time.Millisecond
	usageLag    = 2 * time.Second
)

// AppendLatency is how long an append takes while the log is well.
const AppendLatency = 8 * time.Millisecond

// Epoch is when every world begins.
var Epoch = time.Date(2027, 3, 1, 6, 0, 0, 0, time.UTC)

// Proc is a process: an entry or an agent.
type Proc struct {
	Name string
	Dead bool
	// pausedUntil delays everything that happens to the process.
	pausedUntil time.Time
	// rate is how fast the process's clock runs.
	rate float64
	// logCutUntil ends a cut between the process and the log alone.
	logCutUntil time.Time
	// generation grows with each restart; events of former ones are dropped.
	generation int
	// The next message of the process is lost, sent twice or delayed.
	lose, double bool
	delay        time.Duration
	// The same for the answer to its next append.
	loseAck, doubleAppend bool
	delayAppend           time.Duration
}

// World is one run. Make it with New.
type World struct {
	vtime.Loop
	Log     *plog.Log
	Witness *worker.Witness
	Entries []*Entry
	VMs     []*VM
	History History
	// LogDownUntil and LogLatency are the log's faults.
	LogDownUntil time.Time
	LogLatency   time.Duration
	// Hook is called at each step of interest; it returns true if the process
	// died of it and the step must not be taken.
	Hook func(step Step, p *Proc) bool

	rnd    *rand.Rand
	cuts   map[[2]*Proc]time.Time
	addrs  map[netip.AddrPort]any
	logger *slog.Logger
	made   int
}

// New returns an empty world whose random choices follow from seed.
func New(seed uint64) *World {
	return &World{
		Loop: vtime.Loop{Now: Epoch}, Log: &plog.Log{}, Witness: &worker.Witness{}, LogLatency: AppendLatency,
		rnd: rand.New(rand.NewPCG(seed, 0)), cuts: map[[2]*Proc]time.Time{},
		addrs: map[netip.AddrPort]any{}, logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
}

// Trace sends the log lines of all processes to out, with the world's time.
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

// on calls run in process p when d has passed, unless p died; a paused process
// runs it later.
func (w *World) on(p *Proc, d time.Duration, run func()) {
	generation := p.generation
	w.After(d, func() {
		if p.Dead || p.generation != generation {
			return
		}
		if w.Now.Before(p.pausedUntil) {
			w.on(p, p.pausedUntil.Sub(w.Now), run)
			return
		}
		run()
	})
}

// every calls run in process p again and again.
func (w *World) every(p *Proc, d time.Duration, run func()) {
	w.on(p, d, func() {
		run()
		w.every(p, d, run)
	})
}

// Elapsed returns the time since the world began.
func (w *World) Elapsed() time.Duration { return w.Now.Sub(Epoch) }

// clock is the time that process p sees.
func (w *World) clock(p *Proc) time.Time {
	if p.rate == 0 {
		return w.Now
	}
	return Epoch.Add(time.Duration(float64(w.Now.Sub(Epoch)) * p.rate))
}

// step reports a step of interest and whether p died of it.
func (w *World) step(s Step, p *Proc) bool {
	return w.Hook != nil && w.Hook(s, p)
}

// Cut loses all messages from one process to another for a while.
func (w *World) Cut(from, to *Proc, d time.Duration) { w.cuts[[2]*Proc{from, to}] = w.Now.Add(d) }

// Pause stops a process for a while; what happens to it meanwhile is late.
func (w *World) Pause(p *Proc, d time.Duration) { p.pausedUntil = w.Now.Add(d) }

// Skew makes the clock of a process run at another rate from now on.
func (w *World) Skew(p *Proc, rate float64) { p.rate = rate }

// send delivers a message, as far as the faults let it.
func (w *World) send(from, to *Proc, deliver func()) {
	d := hop + time.Duration(w.rnd.Int64N(int64(hop)))
	if from.delay > 0 {
		d, from.delay = d+from.delay, 0
	}
	if w.Now.Before(w.cuts[[2]*Proc{from, to}]) || from.lose {
		from.lose = false
		return
	}
	w.on(to, d, deliver)
	if from.double {
		from.double = false
		w.on(to, d+3*time.Second, deliver)
	}
}

// call sends a request and calls done with the answer, or with nil after the
// timeout. serve gets a function that sends the answer.
func call[R any](w *World, from, to *Proc, timeout time.Duration, serve func(reply func(*R)), done func(*R)) {
	answered := false
	finish := func(r *R) {
		if !answered {
			answered = true
			done(r)
		}
	}
	w.send(from, to, func() {
		serve(func(r *R) {
			w.send(to, from, func() { finish(r) })
		})
	})
	w.on(from, timeout, func() { finish(nil) })
}

// CutLog keeps a process from the log, and from nothing else, for a while.
func (w *World) CutLog(p *Proc, d time.Duration) { p.logCutUntil = w.Now.Add(d) }

// logDown reports whether the log does not answer a process.
func (w *World) logDown(p *Proc) bool {
	return w.Now.Before(w.LogDownUntil) || w.Now.Before(p.logCutUntil)
}

// ProcFaults are the faults of a process's next message or append.
type ProcFaults struct {
	Lose, Duplicate, LoseAppendReply, DuplicateAppend bool
	Delay, DelayAppend                                time.Duration
}

// SetFaults sets what goes wrong next.
func (p *Proc) SetFaults(f ProcFaults) {
	p.lose, p.double, p.delay = f.Lose, f.Duplicate, f.Delay
	p.loseAck, p.doubleAppend, p.delayAppend = f.LoseAppendReply, f.DuplicateAppend, f.DelayAppend
}

// Procs returns all processes.
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
