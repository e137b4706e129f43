// Package exec is an agent's part: it carries out the leader's orders at the worker
// on its VM, keeps the lease of what runs there while a leader is heard, and reports
// every end until the leader has stored it.
//
// It calls nothing itself. The process around it makes the Calls that it is handed
// and brings back what came of them.
package exec

import (
	"log/slog"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

const (
	// clockSlow is the part by which the worker's clock may be slow, with room.
	clockSlow = 0.03
	// lapseSlack is added to the wait for the worker's lease to end.
	lapseSlack = 100 * time.Millisecond
	// absentAfter is how long no process must have listened at the worker's address
	// for its life to be over.
	absentAfter = 150 * time.Millisecond
	// maxTries is how often a start is tried before it is taken back.
	maxTries = 3
)

// Agent is the part of one agent. Make it with New. It is not safe for concurrent
// use.
type Agent struct {
	log *slog.Logger
	// node is the agent's name.
	node string
	vm   msgs.VM
	// present is set while the worker is believed to live.
	present bool
	// epoch is the highest leadership heard of, joined is set while its leader is
	// connected and synced once that leader knows all that runs.
	epoch          uint64
	joined, synced bool
	// permitted is until when the leader lets the VM's runs go on.
	permitted time.Time
	// clock is what the worker's clock showed at clockAt or later.
	clock   time.Duration
	clockAt time.Time
	// deadline is the latest end of the lease that was sent to the worker.
	deadline time.Duration
	runs     map[key]*run
	// ends holds the ends that the leader has not stored, seen is the highest number
	// that it has.
	ends []msgs.RunEnd
	seen int64
	// beats holds when each beat was sent that has no answer.
	beats map[uint64]time.Time
	seq   uint64
	// beatAt is when the latest was sent.
	beatAt time.Time
	// absentSince is since when no process listens at the worker's address.
	absentSince time.Time
	// unsure is set after a look that failed: the worker may have been started again, so
	// that the numbers of its ends mean others.
	unsure bool
	// lookAt is when the look under way began.
	lookAt time.Time
	calls  []Call
	out    []*msgs.Message
}

type key struct {
	task   string
	number uint32
}

// run is a run that was ordered or is present.
type run struct {
	start msgs.Start
	row   msgs.RunStatus
	// present is set once the worker has confirmed the start, listed while its latest
	// list has the run.
	present, listed bool
	tries           int
	// stopping is set once the run is to end.
	stopping bool
	// doubted is why the run may not be present, since doubtedAt: the next look that
	// begins later tells.
	doubted   string
	doubtedAt time.Time
}

// Call is a call to the worker that the process makes. One of the orders is set.
type Call struct {
	Start    *port.StartOrder
	Stop     *port.Order
	Throttle *port.Order
	// Percent goes with Pace.
	Percent int
	// Life is the worker's life that the call is meant for.
	Life int64
	// After is how long to wait before the call.
	After time.Duration
}

// New returns the agent named node, which knows nothing of its worker.
func New(node string, log *slog.Logger) *Agent {
	return &Agent{node: node, log: log, runs: map[key]*run{}, beats: map[uint64]time.Time{}}
}

// Epoch returns the highest leadership heard of.
func (a *Agent) Epoch() uint64 { return a.epoch }

// VM returns what is known of the VM.
func (a *Agent) VM() msgs.VM { return a.vm }

// Calls returns the calls to make and forgets them.
func (a *Agent) Calls() []Call {
	calls := a.calls
	a.calls = nil
	return calls
}

// Messages returns the messages for the leader and forgets them.
func (a *Agent) Messages() []*msgs.Message {
	out := a.out
	a.out = nil
	return out
}

func (a *Agent) send(m *msgs.Message) {
	if a.joined {
		a.out = append(a.out, m)
	}
}

// LeaderConnected notes that the leader of an epoch is connected. It returns false if a
// later one is known.
func (a *Agent) LeaderConnected(epoch uint64) bool {
	if epoch < a.epoch {
		return false
	}
	a.epoch, a.joined, a.synced = epoch, true, false
	a.beatAt = time.Time{}
	a.beats = map[uint64]time.Time{}
	return true
}

// LeaderDisconnected notes that the leader's connection has ended.
func (a *Agent) LeaderDisconnected() {
	a.joined, a.synced = false, false
	a.out = nil
}

// Heartbeat takes the worker's announcement.
func (a *Agent) Heartbeat(now time.Time, h port.Heartbeat) {
	known := a.vm.ID != ""
	switch {
	case known && h.VM.Life < a.vm.Life:
		a.log.Info("ignored a heartbeat of an earlier life", "vm", h.VM.ID, "life", h.VM.Life, "latest", a.vm.Life)
		return
	case known && h.VM.ID != a.vm.ID:
		a.over(now, "another worker announces itself")
	case known && h.VM.Life > a.vm.Life:
		a.renew(now, h.VM.Life)
	case known && !a.present:
		a.log.Info("the worker is heard again", "vm", h.VM.ID, "life", h.VM.Life)
		a.synced = false
	}
	changed := !known || !a.present || h.VM.Draining != a.vm.Draining
	if changed {
		a.log.Info("worker seen", "vm", h.VM.ID, "life", h.VM.Life, "service", h.VM.Service, "draining", h.VM.Draining,
			"remaining", h.VM.Remaining, "seq", h.Seq)
	}
	if !a.present {
		a.present = true
		a.absentSince = time.Time{}
		a.clock, a.clockAt = h.Clock, now
	}
	if a.vm.Draining && h.VM.Life == a.vm.Life {
		h.VM.Draining = true // a worker that drains never comes back in this life
	}
	a.vm = h.VM
	a.vm.Node = a.node
	if changed && a.synced {
		a.beat(now, false)
	}
}

// renew begins a new life of the same worker: all of before is over.
func (a *Agent) renew(now time.Time, life int64) {
	a.log.Info("the worker was started again", "vm", a.vm.ID, "life", life, "before", a.vm.Life, "runs", len(a.runs))
	a.forget()
	a.vm.Life = life
	a.vm.Draining = false
	a.clock, a.clockAt = 0, now
	a.synced = false
}

func (a *Agent) forget() {
	a.runs = map[key]*run{}
	a.ends, a.seen, a.deadline = nil, 0, 0
	a.absentSince = time.Time{}
}

// over ends the worker's life: nothing of it runs any more.
func (a *Agent) over(now time.Time, reason string) {
	a.log.Info("the worker is gone", "vm", a.vm.ID, "life", a.vm.Life, "runs", len(a.runs), "unstoredEnds", len(a.ends), "reason", reason)
	gone := a.vm
	gone.Down = true
	a.report()
	a.sendBeat(now, &msgs.LeaseRequest{VM: gone})
	a.forget()
	a.vm = msgs.VM{}
	a.present, a.synced = false, false
}

// report tells the leader all ends that it has not stored.
func (a *Agent) report() {
	if len(a.ends) > 0 {
		a.send(&msgs.Message{Report: &msgs.Report{VM: a.vm.ID, Life: a.vm.Life, Ends: append([]msgs.RunEnd(nil), a.ends...)}})
	}
}

// lose reports a run that certainly does not run.
func (a *Agent) lose(k key, reason string) {
	delete(a.runs, k)
	a.log.Info("run is lost", "task", k.task, "run", k.number, "vm", a.vm.ID, "reason", reason)
	a.send(&msgs.Message{Report: &msgs.Report{VM: a.vm.ID, Life: a.vm.Life, Ends: []msgs.RunEnd{
		{Task: k.task, Run: k.number, Outcome: msgs.Lost, Reason: reason},
	}}})
}
