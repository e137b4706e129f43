package matrix

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/fake/plog"
	"github.com/ebonyarch/ebonyarch/internal/fake/worker"
	"github.com/ebonyarch/ebonyarch/internal/proof/world"
)

// Fault is a fault that can be injected at a step.
type Fault struct {
	Name string
	// injection injects the fault. It returns true if the process died, so that the step must
	// not be taken.
	injection func(r *run, s world.Step, p *world.Proc) bool
	// skipReason returns why the fault does not apply to a step, "" if it does.
	skipReason func(s world.Step) string
}

// Parameters of faults.
const (
	// killDelayDuring is the time from the start of a step to the death of the process; the step
	// is still under way then.
	killDelayDuring = 300 * time.Microsecond
	// killDelayAfter is the time from the start of a step to the death of the process; the step
	// has normally ended by then.
	killDelayAfter = 200 * time.Millisecond
	// entryDowntime is the time until a killed entry starts again.
	entryDowntime = 3 * time.Second
	// agentDowntime is the time until a killed agent starts again.
	agentDowntime = 2 * time.Second
	// vmDowntime is the time until a failed VM is replaced.
	vmDowntime = 9 * time.Second
	// logOutage is how long the log is down, slow or cut off.
	logOutage = 20 * time.Second
	// slowLogLatency is the latency of an append to a slow log.
	slowLogLatency = 1200 * time.Millisecond
	// pauseDuration is how long a process is paused.
	pauseDuration = 12 * time.Second
	// messageDelay is the delay of a delayed message or append.
	messageDelay = 4 * time.Second
	// reorderDelay delays a message such that later ones overtake it.
	reorderDelay = 30 * time.Millisecond
	// cutDuration is how long messages are dropped in one direction.
	cutDuration = 15 * time.Second
	// silentDuration is how long messages are dropped in both directions.
	silentDuration = 3 * time.Second
	// failDuration is how long a worker fails or does not respond.
	failDuration = 10 * time.Second
	// fastClockRate and slowClockRate are rates of a clock; 1 is correct.
	fastClockRate = 1.08
	slowClockRate = 0.92
	// retainedEntries is the number of entries that the log keeps.
	retainedEntries = 25
)

// entrySteps holds the steps that an entry takes; agents take the others.
var entrySteps = map[world.Step]bool{
	world.Submit: true, world.Append: true, world.Place: true, world.Complete: true, world.Cancel: true,
	world.Publish: true, world.Takeover: true, world.Snapshot: true,
}

// atAnyStep is the skipReason of faults that apply to all steps.
func atAnyStep(world.Step) string { return "" }

// atEntrySteps is the skipReason of faults that apply only to steps of entries.
func atEntrySteps(s world.Step) string {
	if entrySteps[s] {
		return ""
	}
	return "an agent takes the step; it appends nothing"
}

// atAgentSteps is the skipReason of faults that apply only to steps of agents.
func atAgentSteps(s world.Step) string {
	if entrySteps[s] {
		return "an entry takes the step; it has no worker"
	}
	return ""
}

// Faults returns all faults. Pairs selects by index, so the order must not change.
func Faults() []Fault {
	return []Fault{
		{"process dies before", func(r *run, _ world.Step, p *world.Proc) bool { r.kill(p); return true }, atAnyStep},
		{"process dies during", func(r *run, _ world.Step, p *world.Proc) bool {
			r.w.After(killDelayDuring, func() { r.kill(p) })
			return false
		}, atAnyStep},
		{"process dies after", func(r *run, _ world.Step, p *world.Proc) bool {
			r.w.After(killDelayAfter, func() { r.kill(p) })
			return false
		}, atAnyStep},
		{"VM fails", func(r *run, _ world.Step, p *world.Proc) bool { r.failVM(p); return true }, atAgentSteps},
		{"answer lost", func(_ *run, s world.Step, p *world.Proc) bool {
			p.SetFaults(world.ProcFaults{Lose: true, LoseAppendReply: entrySteps[s]})
			return false
		}, atAnyStep},
		{"delayed", func(_ *run, s world.Step, p *world.Proc) bool {
			f := world.ProcFaults{Delay: messageDelay}
			if entrySteps[s] {
				f = world.ProcFaults{DelayAppend: messageDelay}
			}
			p.SetFaults(f)
			return false
		}, atAnyStep},
		{"duplicated", func(_ *run, s world.Step, p *world.Proc) bool {
			p.SetFaults(world.ProcFaults{Duplicate: !entrySteps[s], DuplicateAppend: entrySteps[s]})
			return false
		}, atAnyStep},
		{"reordered", func(_ *run, _ world.Step, p *world.Proc) bool {
			p.SetFaults(world.ProcFaults{Delay: reorderDelay})
			return false
		}, atAnyStep},
		{"log down", func(r *run, _ world.Step, _ *world.Proc) bool {
			r.w.LogDownUntil = r.w.Now.Add(logOutage)
			return false
		}, atAnyStep},
		{"log slow", func(r *run, _ world.Step, _ *world.Proc) bool {
			r.w.LogLatency = slowLogLatency
			r.w.After(logOutage, func() { r.w.LogLatency = world.AppendLatency })
			return false
		}, atAnyStep},
		{"cut off from the log alone", func(r *run, _ world.Step, p *world.Proc) bool {
			r.w.CutLog(p, logOutage)
			return false
		}, atEntrySteps},
		{"acknowledgement lost after effect", func(_ *run, _ world.Step, p *world.Proc) bool {
			p.SetFaults(world.ProcFaults{LoseAppendReply: true})
			return false
		}, atEntrySteps},
		{"retention passed", func(r *run, _ world.Step, p *world.Proc) bool {
			r.w.Log.Set(plog.Faults{Retain: retainedEntries})
			r.w.Pause(p, pauseDuration)
			return false
		}, atEntrySteps},
		{"holder paused past its lease", func(r *run, _ world.Step, p *world.Proc) bool {
			r.w.Pause(p, pauseDuration)
			return false
		}, atAnyStep},
		{"connections silent", func(r *run, _ world.Step, p *world.Proc) bool {
			r.cut(p, silentDuration, true, true)
			return false
		}, atAnyStep},
		{"one-way cut from", func(r *run, _ world.Step, p *world.Proc) bool {
			r.cut(p, cutDuration, true, false)
			return false
		}, atAnyStep},
		{"one-way cut to", func(r *run, _ world.Step, p *world.Proc) bool {
			r.cut(p, cutDuration, false, true)
			return false
		}, atAnyStep},
		{"clock fast", func(r *run, _ world.Step, p *world.Proc) bool { r.w.Skew(p, fastClockRate); return false }, atAnyStep},
		{"clock slow", func(r *run, _ world.Step, p *world.Proc) bool { r.w.Skew(p, slowClockRate); return false }, atAnyStep},
		{"worker fails everything", func(r *run, _ world.Step, p *world.Proc) bool {
			v := r.vm(p)
			v.Worker.Set(worker.Faults{FailAll: true})
			r.w.After(failDuration, func() { v.Worker.Set(worker.Faults{}) })
			return false
		}, atAgentSteps},
		{"worker silent", func(r *run, _ world.Step, p *world.Proc) bool {
			v := r.vm(p)
			v.Worker.Set(worker.Faults{Silent: true})
			r.w.After(failDuration, func() { v.Worker.Set(worker.Faults{}) })
			return false
		}, atAgentSteps},
		{"report stale and doubled", func(_ *run, _ world.Step, p *world.Proc) bool {
			p.SetFaults(world.ProcFaults{Duplicate: true, Delay: reorderDelay})
			return false
		}, atAgentSteps},
	}
}
