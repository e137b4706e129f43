package matrix

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/fake/plog"
	"github.com/ebonyarch/ebonyarch/internal/fake/worker"
	"github.com/ebonyarch/ebonyarch/internal/proof/world"
)

// Fault is something that goes wrong at a step.
type Fault struct {
	Name string
	// strike makes it happen; it returns true if the process died before the step.
	strike func(r *run, s world.Step, p *world.Proc) bool
	// needs says why the fault does not apply to a step, "" if it does.
	needs func(s world.Step) string
}

// Times of faults.
const (
	during       = 300 * time.Microsecond
	afterwards   = 200 * time.Millisecond
	entryAway    = 3 * time.Second
	agentAway    = 2 * time.Second
	vmAway       = 9 * time.Second
	logAway      = 20 * time.Second
	slowLog      = 1200 * time.Millisecond
	pause        = 12 * time.Second
	messageDelay = 4 * time.Second
	reorderDelay = 30 * time.Millisecond
	cutFor       = 15 * time.Second
	silentFor    = 3 * time.Second
	failFor      = 10 * time.Second
	fastClock    = 1.08
	slowClock    = 0.92
	retained     = 25
)

// byEntry are the steps that an entry takes; agents take the others.
var byEntry = map[world.Step]bool{
	world.Submit: true, world.Append: true, world.Place: true, world.Complete: true, world.Cancel: true,
	world.Publish: true, world.Takeover: true, world.Snapshot: true,
}

func always(world.Step) string { return "" }

func onEntry(s world.Step) string {
	if byEntry[s] {
		return ""
	}
	return "an agent takes the step; it appends nothing"
}

func onVM(s world.Step) string {
	if byEntry[s] {
		return "an entry takes the step; it has no worker"
	}
	return ""
}

// Faults lists all faults.
func Faults() []Fault {
	return []Fault{
		{"process dies before", func(r *run, _ world.Step, p *world.Proc) bool { r.kill(p); return true }, always},
		{"process dies during", func(r *run, _ world.Step, p *world.Proc) bool {
			r.w.After(during, func() { r.kill(p) })
			return false
		}, always},
		{"process dies after", func(r *run, _ world.Step, p *world.Proc) bool {
			r.w.After(afterwards, func() { r.kill(p) })
			return false
		}, always},
		{"VM fails", func(r *run, _ world.Step, p *world.Proc) bool { r.fail(p); return true }, onVM},
		{"answer lost", func(_ *run, s world.Step, p *world.Proc) bool {
			p.SetFaults(world.ProcFaults{Lose: true, LoseAppendReply: byEntry[s]})
			return false
		}, always},
		{"delayed", func(_ *run, s world.Step, p *world.Proc) bool {
			f := world.ProcFaults{Delay: messageDelay}
			if byEntry[s] {
				f = world.ProcFaults{DelayAppend: messageDelay}
			}
			p.SetFaults(f)
			return false
		}, always},
		{"duplicated", func(_ *run, s world.Step, p *world.Proc) bool {
			p.SetFaults(world.ProcFaults{Duplicate: !byEntry[s], DuplicateAppend: byEntry[s]})
			return false
		}, always},
		{"reordered", func(_ *run, _ world.Step, p *world.Proc) bool {
			p.SetFaults(world.ProcFaults{Delay: reorderDelay})
			return false
		}, always},
		{"log down", func(r *run, _ world.Step, _ *world.Proc) bool {
			r.w.LogDownUntil = r.w.Now.Add(logAway)
			return false
		}, always},
		{"log slow", func(r *run, _ world.Step, _ *world.Proc) bool {
			r.w.LogLatency = slowLog
			r.w.After(logAway, func() { r.w.LogLatency = world.AppendLatency })
			return false
		}, always},
		{"cut off from the log alone", func(r *run, _ world.Step, p *world.Proc) bool {
			r.w.CutLog(p, logAway)
			return false
		}, onEntry},
		{"acknowledgement lost after effect", func(_ *run, _ world.Step, p *world.Proc) bool {
			p.SetFaults(world.ProcFaults{LoseAppendReply: true})
			return false
		}, onEntry},
		{"retention passed", func(r *run, _ world.Step, p *world.Proc) bool {
			r.w.Log.Set(plog.Faults{Retain: retained})
			r.w.Pause(p, pause)
			return false
		}, onEntry},
		{"holder paused past its lease", func(r *run, _ world.Step, p *world.Proc) bool {
			r.w.Pause(p, pause)
			return false
		}, always},
		{"connections silent", func(r *run, _ world.Step, p *world.Proc) bool {
			r.cut(p, silentFor, true, true)
			return false
		}, always},
		{"one-way cut from", func(r *run, _ world.Step, p *world.Proc) bool {
			r.cut(p, cutFor, true, false)
			return false
		}, always},
		{"one-way cut to", func(r *run, _ world.Step, p *world.Proc) bool {
			r.cut(p, cutFor, false, true)
			return false
		}, always},
		{"clock fast", func(r *run, _ world.Step, p *world.Proc) bool { r.w.Skew(p, fastClock); return false }, always},
		{"clock slow", func(r *run, _ world.Step, p *world.Proc) bool { r.w.Skew(p, slowClock); return false }, always},
		{"worker fails everything", func(r *run, _ world.Step, p *world.Proc) bool {
			v := r.vm(p)
			v.Worker.Set(worker.Faults{FailAll: true})
			r.w.After(failFor, func() { v.Worker.Set(worker.Faults{}) })
			return false
		}, onVM},
		{"worker silent", func(r *run, _ world.Step, p *world.Proc) bool {
			v := r.vm(p)
			v.Worker.Set(worker.Faults{Silent: true})
			r.w.After(failFor, func() { v.Worker.Set(worker.Faults{}) })
			return false
		}, onVM},
		{"report stale and doubled", func(_ *run, _ world.Step, p *world.Proc) bool {
			p.SetFaults(world.ProcFaults{Duplicate: true, Delay: reorderDelay})
			return false
		}, onVM},
	}
}
